package kv

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabiworks.example/wasabiworks/internal/platform/rest"
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

// Guards against a transport that repeats a lost write by itself: on a reused
// connection, net/http does so for requests that it takes to be idempotent.
func TestLostWriteIsSentOnce(t *testing.T) {
	is := is.New(t)
	var writes atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			writes.Add(1)
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Revision", "1")
	}))
	defer server.Close()
	c := New(Config{Address: server.URL})
	for i := range int32(20) {
		_, err := c.Get(t.Context(), "a") // opens the connection
		is.NoErr(err)
		if i%2 == 0 {
			_, err = c.Put(t.Context(), "a", []byte("1"), 0)
		} else {
			err = c.Delete(t.Context(), "a", 1)
		}
		is.True(errors.Is(err, ErrUnknown))
		is.Equal(writes.Load(), i+1)
	}
}

// Guards against a watcher that ends, goes back to an older revision or calls
// an absent value a change.
func TestWatchWaitsForANewerRevision(t *testing.T) {
	is := is.New(t)
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.String(), "/watch/a/b%20c?after=7")
		calls++
		switch calls {
		case 1:
			w.WriteHeader(http.StatusNoContent)
		case 2:
			w.Header().Set("Revision", "6")
		default:
			w.Header().Set("Revision", "8")
			_, _ = w.Write([]byte("8"))
		}
	}))
	defer server.Close()
	v, err := New(Config{Address: server.URL}).Watch(t.Context(), "a/b c", 7)
	is.NoErr(err)
	is.Equal(v, Value{Data: []byte("8"), Revision: 8})
	is.Equal(calls, 3)
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

// Guards against a response that exhausts the memory.
func TestResponseIsBounded(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Revision", "1")
		_, _ = w.Write(make([]byte, MaxValue+1))
	}))
	defer server.Close()
	_, err := New(Config{Address: server.URL}).Get(t.Context(), "a")
	is.True(errors.Is(err, ErrUnavailable))
	is.True(errors.Is(err, rest.ErrBodyTooLarge))
}
