package services_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// ownAddress returns a loopback address that no other process listens on. Clients of other
// tests connect again to ports of 127.0.0.1 that were theirs, and would be counted.
func ownAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", pid/254/256%254+1, pid/254%256, pid%254+1)
}

// cutServer is a backend server on raw TCP that closes each connection at one
// point of the HTTP exchange and records the bytes that arrived.
type cutServer struct {
	net.Listener
	cutAt    string
	wg       sync.WaitGroup
	mu       sync.Mutex
	requests []string // bytes that arrived, one string for each connection
}

func newCutServer(t *testing.T, cutAt string) *cutServer {
	l, err := net.Listen("tcp", ownAddress()+":0")
	if err != nil {
		t.Fatal(err)
	}
	s := &cutServer{Listener: l, cutAt: cutAt}
	if cutAt == "dial refused" {
		l.Close()
		return s
	}
	s.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.wg.Go(func() { s.serveConn(c) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		s.wg.Wait()
	})
	return s
}

func (s *cutServer) serveConn(c net.Conn) {
	defer c.Close()
	var got strings.Builder
	defer func() {
		s.mu.Lock()
		s.requests = append(s.requests, got.String())
		s.mu.Unlock()
	}()
	if s.cutAt == "before headers are read" {
		// Read one byte: otherwise the client may find the connection closed
		// before it writes, which proves that nothing was sent.
		io.CopyN(&got, c, 1)
		return
	}
	br := bufio.NewReader(io.TeeReader(c, &got))
	req, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	if s.cutAt == "within the request body" {
		io.CopyN(io.Discard, req.Body, 10)
		return
	}
	io.Copy(io.Discard, req.Body)
	switch s.cutAt {
	case "within the response headers":
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Len")
	case "within the response":
		frame := fmt.Sprintf(`{"attempt":%q,"index":0,"token":"a "}`+"\n{", req.Header.Get("Attempt"))
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(frame)+100, frame)
	case "not-run header":
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: overloaded\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	case "none":
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
	}
}

// stopAndCount stops the server and returns the number of connections, and the
// number of those on which a byte arrived.
func (s *cutServer) stopAndCount() (connections, withBytes int) {
	s.Close()
	s.wg.Wait()
	for _, r := range s.requests {
		connections++
		if r != "" {
			withBytes++
		}
	}
	return connections, withBytes
}

func send(t *testing.T, method, url, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer secret")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res, string(b), err
}

var cutPoints = []struct {
	name           string
	outcome        string
	provablyNotRun bool
}{
	{"dial refused", "not-run", true},
	{"not-run header", "not-run", true},
	{"before headers are read", "unknown", false},
	{"within the request body", "unknown", false},
	{"after the request", "unknown", false},
	{"within the response headers", "unknown", false},
	{"within the response", "unknown", false},
}

// Guards against a call that runs twice, and against the outcome not-run for a
// call that may have reached a server.
func TestNonRepeatableCallRunsAtMostOnceIfCut(t *testing.T) {
	large := strings.Repeat("x", 512<<10)
	for _, p := range cutPoints {
		t.Run(p.name, func(t *testing.T) {
			is := is.New(t)
			first, second := newCutServer(t, p.name), newCutServer(t, p.name)
			url, _ := newSystem(t, first.Addr().String(), second.Addr().String())
			res, _, _ := send(t, "POST", url+"/v1/services/kalendar-app/deposits", large, "Idempotency-Key", "k")
			is.Equal(res.Header.Get("Wasabiworks-Outcome"), p.outcome)
			again, _, _ := send(t, "POST", url+"/v1/services/kalendar-app/deposits", large, "Idempotency-Key", "k")
			is.Equal(again.Header.Get("Wasabiworks-Outcome"), p.outcome)
			connections, withBytes := first.stopAndCount()
			others, _ := second.stopAndCount()
			if p.provablyNotRun {
				is.Equal(again.StatusCode, http.StatusServiceUnavailable)
				is.True(others <= 2) // at most one connection for each of the two calls
				return
			}
			is.Equal(res.StatusCode, http.StatusBadGateway)
			is.Equal(again.StatusCode, http.StatusConflict) // the first call may have run
			is.Equal(connections, 1)
			is.Equal(withBytes, 1)
			is.Equal(others, 0)
		})
	}
}

// Guards against a second server that is not tried although the first one
// provably did not run the call.
func TestNotRunCallMovesToNextServer(t *testing.T) {
	for _, cutPoint := range []string{"dial refused", "not-run header"} {
		is := is.New(t)
		first, second := newCutServer(t, cutPoint), newCutServer(t, "none")
		url, _ := newSystem(t, first.Addr().String(), second.Addr().String())
		res, body, err := send(t, "POST", url+"/v1/services/kalendar-app/deposits", "10", "Idempotency-Key", "k")
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusOK)
		is.Equal(body, "ok")
		_, ran := second.stopAndCount()
		is.Equal(ran, 1)
	}
}

// Guards against a call that is rejected because one server has just stopped and
// the retry budgets are empty, although another server could run the call.
func TestUnreachableServerNeedsNoRetryBudget(t *testing.T) {
	is := is.New(t)
	first, second := newCutServer(t, "dial refused"), newCutServer(t, "none")
	url, instance := newSystem(t, first.Addr().String(), second.Addr().String())
	instance.retryBudgetsEmpty = true
	res, _, err := send(t, "POST", url+"/v1/services/kalendar-app/deposits", "10", "Idempotency-Key", "k")
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	_, ran := second.stopAndCount()
	is.Equal(ran, 1)
}

// Guards against a repeatable call that fails although another server can run
// it.
func TestRepeatableCallMovesToNextServer(t *testing.T) {
	for _, p := range cutPoints {
		is := is.New(t)
		first, second := newCutServer(t, p.name), newCutServer(t, "none")
		url, _ := newSystem(t, first.Addr().String(), second.Addr().String())
		res, body, err := send(t, "POST", url+"/v1/services/kalendar-app/quotes/7", strings.Repeat("x", 512<<10))
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusOK)
		is.Equal(body, "ok") // from the second server
	}
}

// Guards against a wrong outcome of a completion, streamed or not, when the
// connection to the engine breaks.
func TestCompletionOutcomeIfCut(t *testing.T) {
	prompt := strings.Repeat("x", 64<<10)
	for _, p := range cutPoints {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprint(p.name, stream), func(t *testing.T) {
				is := is.New(t)
				server := newCutServer(t, p.name)
				url, _ := newSystem(t, server.Addr().String())
				res, body, err := send(t, "POST", url+"/v1/chat/completions", fmt.Sprintf(`{"model":"stetec-ai","stream":%t,"messages":[{"role":"user","content":%q}]}`, stream, prompt))
				is.NoErr(err)
				if stream && p.name == "within the response" {
					is.Equal(res.StatusCode, http.StatusOK)
					is.True(strings.Contains(body, `"outcome":"unknown"`))
					is.True(!strings.Contains(body, "[DONE]"))
					return
				}
				is.Equal(res.Header.Get("Wasabiworks-Outcome"), p.outcome)
				if _, withBytes := server.stopAndCount(); p.provablyNotRun && p.name != "not-run header" {
					is.Equal(withBytes, 0)
				}
			})
		}
	}
}

// Guards against net/http repeating a request on its own: it does so for a
// request with an Idempotency-Key header if a reused connection breaks.
func TestTransportDoesNotRepeat(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", ownAddress()+":0")
	is.NoErr(err)
	var mu sync.Mutex
	runs := make(map[string]int)
	var wg sync.WaitGroup
	serve := func(c net.Conn) {
		defer c.Close()
		br := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			key := req.Header.Get("Idempotency-Key")
			mu.Lock()
			runs[key]++
			mu.Unlock()
			if key != "first" {
				return // the call ran, and the connection breaks
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { serve(c) })
		}
	})
	url, _ := newSystem(t, l.Addr().String())
	for _, key := range []string{"first", "second"} {
		send(t, "POST", url+"/v1/services/kalendar-app/deposits", "", "Idempotency-Key", key)
	}
	l.Close()
	mu.Lock()
	defer mu.Unlock()
	is.Equal(runs["second"], 1)
}
