package kv

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a lost response being taken for a write without effect, and
// against a definite rejection being taken for an unknown one.
func TestWriteErrors(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	status := func(n int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(n) }
	}
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		want    error
	}{
		{"lost response", abort, ErrUnknown},
		{"conflict", status(409), ErrConflict},
		{"too large", status(413), ErrTooLarge},
		{"rate limit", status(429), ErrUnavailable},
		{"outage", status(503), ErrUnavailable},
		{"gateway timeout", status(504), ErrUnknown},
		{"no revision", status(200), ErrUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			_, err := New(Config{Address: server.URL}).Put(t.Context(), "a/b", nil, 0)
			if !errors.Is(err, c.want) {
				t.Errorf("Put with %s = %v, want %v", c.name, err, c.want)
			}
		})
	}
}

// Guards against calling a write unknown when no server accepted a connection.
func TestWriteWithoutConnection(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := New(Config{Address: server.URL}).Put(t.Context(), "a", nil, 0)
	is.True(errors.Is(err, ErrUnavailable))
}

// Guards against a timed-out write being reported as without effect.
func TestWriteTimeout(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	_, err := New(Config{Address: server.URL, Timeout: 20 * time.Millisecond}).Put(t.Context(), "a", nil, 0)
	is.True(errors.Is(err, ErrUnknown))
	is.True(errors.Is(err, context.DeadlineExceeded))
}

// Guards against a lease that its holder trusts for longer than the service
// keeps it: a slow response must not move the deadline.
func TestLeaseDeadlineCountsFromBeforeTheRequest(t *testing.T) {
	is := is.New(t)
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	now := start
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		now = now.Add(3 * time.Second)
		_, _ = w.Write([]byte(`{"id":"a","fence":7,"deadline":"2036-01-02T03:04:05Z"}`))
	}))
	defer server.Close()
	c := New(Config{Address: server.URL, Now: func() time.Time { return now }})
	l, err := c.Grant(t.Context(), 10*time.Second)
	is.NoErr(err)
	is.Equal(l.Deadline, start.Add(10*time.Second))
	is.True(l.Valid(now, 6*time.Second))
	is.True(!l.Valid(now, 7*time.Second))
	l, err = c.Renew(t.Context(), l)
	is.NoErr(err)
	is.Equal(l.Deadline, start.Add(13*time.Second))
}
