package services_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const nonRepeatablePath = "/v1/services/kalendar-app/deposits"

func newBackend(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Guards against a second run of a call in any state of its idempotency key.
func TestAtMostOnce(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	url, instance := newSystem(t, newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header().Set("Content-Type", "text/plain")
		w.WriteHeader(http.StatusCreated)
		io.WriteString(w, strings.Repeat("r", len(r.URL.Query().Get("size"))))
	}))
	check := func(path, body, key string, status int, outcome, replayed string, wantRuns int64) {
		t.Helper()
		var header []string
		if key != "" {
			header = []string{"Idempotency-Key", key}
		}
		res, _, err := send(t, "POST", url+path, body, header...)
		is.NoErr(err)
		is.Equal(res.StatusCode, status)
		is.Equal(res.Header.Get("Wasabiworks-Outcome"), outcome)
		is.Equal(res.Header.Get("Wasabiworks-Replayed"), replayed)
		is.Equal(runs.Load(), wantRuns)
	}
	check(nonRepeatablePath, "1", "", http.StatusBadRequest, "not-run", "", 0)
	instance.journalDown = true
	check(nonRepeatablePath, "1", "a", http.StatusServiceUnavailable, "not-run", "", 0)
	instance.journalDown = false
	check(nonRepeatablePath, "1", "a", http.StatusCreated, "", "", 1)
	check(nonRepeatablePath, "1", "a", http.StatusCreated, "", "true", 1)
	check(nonRepeatablePath, "2", "a", http.StatusUnprocessableEntity, "not-run", "", 1)
	large := nonRepeatablePath + "?size=" + strings.Repeat("x", 5000)
	check(large, "1", "b", http.StatusCreated, "", "", 2)
	check(large, "1", "b", http.StatusConflict, "unknown", "", 2) // larger than 4 KiB, so not kept
	check(nonRepeatablePath, strings.Repeat("x", 1<<20+1), "c", http.StatusRequestEntityTooLarge, "not-run", "", 2)
}

// Guards against a call whose response is not recorded in the journal because
// the client disconnects while the call runs.
func TestCallCompletesAfterClientDisconnects(t *testing.T) {
	is := is.New(t)
	running, release := make(chan struct{}), make(chan struct{})
	url, instance := newSystem(t, newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		close(running)
		<-release
		io.WriteString(w, "done")
	}))
	instance.completed = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", url+nonRepeatablePath, strings.NewReader("1"))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer secret")
	req.Header.Set("Idempotency-Key", "k")
	clientDone := make(chan struct{})
	go func() {
		http.DefaultClient.Do(req)
		close(clientDone)
	}()
	<-running
	cancel()
	<-clientDone
	res, _, _ := send(t, "POST", url+nonRepeatablePath, "1", "Idempotency-Key", "k")
	is.Equal(res.StatusCode, http.StatusConflict) // the call is still running
	is.Equal(res.Header.Get("Wasabiworks-Outcome"), "unknown")
	close(release)
	<-instance.completed
	res, body, _ := send(t, "POST", url+nonRepeatablePath, "1", "Idempotency-Key", "k")
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(body, "done")
}

// Guards against hop-by-hop and method override headers that are forwarded,
// against a client's token that reaches a service, and against lost request IDs.
func TestHopByHopHeadersAndTokenNotForwarded(t *testing.T) {
	is := is.New(t)
	got := make(chan http.Header, 1)
	url, _ := newSystem(t, newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header.Clone()
		w.Header().Set("Connection", "X-Private")
		w.Header().Set("X-Private", "1")
		w.Header().Set("X-Public", r.URL.String())
		w.Header().Set("X-Request-Id", "other")
		io.WriteString(w, "ok")
	}))
	res, _, err := send(t, "GET", url+"/v1/services/kalendar-app/a%20b/c?d=%20e", "", "Connection", "X-Hop", "X-Hop", "1", "Te", "trailers",
		"X-Http-Method-Override", "POST", "X-Request-Id", "r-1", "X-End", "2")
	is.NoErr(err)
	h := <-got
	for _, name := range []string{"X-Hop", "Te", "Authorization", "X-Http-Method-Override", "User-Agent-Default"} {
		is.Equal(h.Get(name), "")
	}
	is.Equal(h.Get("X-End"), "2")
	is.Equal(h.Get("X-Request-Id"), "r-1")
	is.True(h.Get("Attempt") != "")
	is.Equal(res.Header.Get("X-Private"), "")
	is.Equal(res.Header.Get("X-Public"), "/a%20b/c?d=%20e")
	is.Equal(res.Header.Values("X-Request-Id"), []string{"r-1"})
}

// Guards against treating a call as repeatable whose path only shares a prefix
// with a rule, or which a service may resolve to another path.
func TestRepeatablePathMatching(t *testing.T) {
	url, _ := newSystem(t, newBackend(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }))
	for path, want := range map[string]int{
		"quotes":                 http.StatusOK,
		"quotes/1":               http.StatusOK,
		"quotes-paid":            http.StatusBadRequest,
		"quotes/%2e%2e/deposits": http.StatusBadRequest,
		"quotes%2fdeposits":      http.StatusBadRequest,
		"quotes/..%5cdeposits":   http.StatusBadRequest,
		"":                       http.StatusBadRequest,
	} {
		res, _, _ := send(t, "POST", url+"/v1/services/kalendar-app/"+path, "")
		if res.StatusCode != want {
			t.Errorf("POST %q without a key: got status %d, want %d", path, res.StatusCode, want)
		}
	}
}

// Guards against a truncated response that looks complete, and against a
// response of unlimited size.
func TestCutOrEndlessResponseFails(t *testing.T) {
	for _, kind := range []string{"cut", "endless"} {
		url, _ := newSystem(t, newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
			for i := 0; kind == "endless" || i < 3; i++ {
				if _, err := w.Write(make([]byte, 64<<10)); err != nil {
					return
				}
				w.(http.Flusher).Flush()
			}
			panic(http.ErrAbortHandler)
		}))
		_, body, err := send(t, "GET", url+"/v1/services/kalendar-app/report", "")
		if err == nil || len(body) > 1<<20 {
			t.Errorf("%s response: got %d bytes and error %v, want an error within 1 MiB", kind, len(body), err)
		}
	}
}

// Guards against a repeatable call that runs more than once for concurrent
// requests with the same idempotency key.
func TestConcurrentRepeatableCallsRunOnce(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	url, _ := newSystem(t, newBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		time.Sleep(20 * time.Millisecond)
		io.WriteString(w, "ok")
	}))
	results := make(chan string, 8)
	for range cap(results) {
		go func() {
			_, body, _ := send(t, "POST", url+"/v1/services/kalendar-app/quotes", "1", "Idempotency-Key", "k")
			results <- body
		}()
	}
	for range cap(results) {
		is.Equal(<-results, "ok")
	}
	is.Equal(runs.Load(), int64(1))
	res, _, _ := send(t, "POST", url+"/v1/services/kalendar-app/quotes", "2", "Idempotency-Key", "k")
	is.Equal(res.StatusCode, http.StatusUnprocessableEntity)
}

// Guards against rejecting a repeated request while the first call is still
// running; it must wait and get the first call's response.
func TestPendingCallWaitsForResponse(t *testing.T) {
	is := is.New(t)
	running, release := make(chan struct{}), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(running) // a second run would panic here
		<-release
		io.WriteString(w, "booked")
	}))
	defer backend.Close()
	url, instance := newSystemWithPendingTimeout(t, time.Minute, backend.Listener.Addr().String())
	call := func(responses chan<- string) {
		res, body, err := send(t, "POST", url+"/v1/services/kalendar-app/deposits", "10", "Idempotency-Key", "k")
		responses <- fmt.Sprint(res.StatusCode, body, res.Header.Get("Wasabiworks-Replayed"), err)
	}
	first, second := make(chan string, 1), make(chan string, 1)
	go call(first)
	<-running
	go call(second)
	<-instance.foundPending
	close(release)
	is.Equal(<-first, "200booked<nil>")
	is.Equal(<-second, "200bookedtrue<nil>")
}
