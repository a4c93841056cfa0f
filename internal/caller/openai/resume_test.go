package openai

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"wasabiworks.example/wasabiworks/internal/caller/reply"
)

// startStream sends a streaming request and returns after n events with tokens
// have arrived. got is the part of the body that was read; the rest can be read
// from res. stop closes the connection.
func (s *testServer) startStream(t *testing.T, prompt string, n int) (res *http.Response, got string, stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/v1/chat/completions", strings.NewReader(chatBody(prompt, true)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testToken)
	if res, err = http.DefaultClient.Do(req); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 4096)
	for strings.Count(got, "id: ") < n || !strings.HasSuffix(got, "\n\n") {
		k, err := res.Body.Read(buf)
		if got += string(buf[:k]); err != nil {
			t.Fatalf("stream ended after %q: %v", got, err)
		}
	}
	return res, got, func() {
		cancel()
		res.Body.Close()
	}
}

// eventually waits until ok reports true, up to 2 s.
func eventually(t *testing.T, event string, ok func() bool) {
	t.Helper()
	for range 400 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("did not happen within 2 s: %s", event)
}

// Guards against engines that continue after the client has disconnected, and
// against repeated or missing tokens when the client resumes the stream.
func TestClientDisconnectsAndResumes(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 1, nil)
	s.engines[0].fault.Store(&fault{wait: 10 * time.Millisecond})
	_, b, stop := s.startStream(t, "a", 3)
	stop()
	eventually(t, "cancellation", func() bool { return s.engines[0].canceled.Load() == 1 })
	is.True(s.lastRequest(t).Canceled)
	first, ids, _ := readResponse(t, b)

	res, _ := s.post(t, "/v1/chat/completions", chatBody("another", true), "Last-Event-ID", ids[len(ids)-1])
	is.Equal(res.StatusCode, http.StatusNotFound) // the stream belongs to another request
	is.Equal(res.Header.Get(reply.OutcomeHeader), reply.OutcomeNotRun)
	for _, id := range []string{"x", "x:-1", "x:1", ids[0][:strings.Index(ids[0], ":")] + ":9999"} {
		res, _ = s.post(t, "/v1/chat/completions", chatBody("a", true), "Last-Event-ID", id)
		is.True(res.StatusCode == http.StatusNotFound || res.StatusCode == http.StatusBadRequest)
	}
	for _, known := range []int{len(ids), 1, 0} { // a client may resume again, from an earlier event
		id := fmt.Sprintf("%s:%d", ids[0][:strings.Index(ids[0], ":")], known)
		_, b = s.post(t, "/v1/chat/completions", chatBody("a", true), "Last-Event-ID", id)
		rest, _, done := readResponse(t, b)
		is.True(done)
		is.Equal(strings.Join(strings.SplitAfter(first, " ")[:known], "")+rest, expectedText("a"))
	}
	is.Equal(s.engines[0].runs.Load(), int64(2))
}

// Guards against a second run for a request with the same idempotency key, and
// against a response that is canceled when the first of its clients disconnects.
func TestIdempotencyKey(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 1, nil)
	s.engines[0].fault.Store(&fault{wait: 5 * time.Millisecond})
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			_, b := s.post(t, "/v1/chat/completions", chatBody("a", true), reply.IdempotencyKeyHeader, "k")
			if got, _, done := readResponse(t, b); got != expectedText("a") || !done {
				t.Errorf("request %d: got %q (complete: %t), want %q", i, got, done, expectedText("a"))
			}
		})
	}
	wg.Wait()
	is.Equal(s.engines[0].runs.Load(), int64(1))
	res, _ := s.post(t, "/v1/chat/completions", chatBody("b", true), reply.IdempotencyKeyHeader, "k")
	is.Equal(res.StatusCode, http.StatusUnprocessableEntity)
	is.Equal(res.Header.Get(reply.OutcomeHeader), reply.OutcomeNotRun)

	// The first client disconnects; the second one receives the whole response.
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/v1/chat/completions", strings.NewReader(chatBody("c", false)))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+testToken)
	req.Header.Set(reply.IdempotencyKeyHeader, "k2")
	go http.DefaultClient.Do(req)
	eventually(t, "second run", func() bool { return s.engines[0].runs.Load() == 2 })
	time.AfterFunc(20*time.Millisecond, cancel)
	_, b := s.post(t, "/v1/chat/completions", chatBody("c", false), reply.IdempotencyKeyHeader, "k2")
	got, _, _ := readResponse(t, b)
	is.Equal(got, expectedText("c"))

	// A failure is not kept for the idempotency key.
	s.engines[0].fault.Store(&fault{kind: "fail"})
	res, _ = s.post(t, "/v1/chat/completions", chatBody("d", false), reply.IdempotencyKeyHeader, "k3")
	is.Equal(res.StatusCode, http.StatusBadGateway)
	s.engines[0].fault.Store(&fault{})
	_, b = s.post(t, "/v1/chat/completions", chatBody("d", false), reply.IdempotencyKeyHeader, "k3")
	got, _, _ = readResponse(t, b)
	is.Equal(got, expectedText("d"))
}

// Guards against a stream that cannot be resumed after a planned shutdown.
func TestHandover(t *testing.T) {
	is := is.New(t)
	s, peer := newTestServer(t, 1, nil), newTestServer(t, 1, nil)
	s.engines[0].fault.Store(&fault{wait: 10 * time.Millisecond})
	res, b, stop := s.startStream(t, "a", 3)
	defer stop()
	is.NoErr(s.server.Handover(context.Background(), func(_ context.Context, h *HandedOverStream) error {
		is.True(peer.server.Adopt(h))
		is.True(!peer.server.Adopt(h))
		return nil
	}))
	rest, err := io.ReadAll(res.Body)
	is.NoErr(err)
	b += string(rest)
	first, ids, done := readResponse(t, b)
	is.True(!done)
	is.True(strings.Contains(b, "instance_leaving"))
	again, _ := s.post(t, "/v1/chat/completions", chatBody("b", true))
	is.Equal(again.StatusCode, http.StatusServiceUnavailable)
	is.Equal(again.Header.Get(reply.OutcomeHeader), reply.OutcomeNotRun)
	_, b = peer.post(t, "/v1/chat/completions", chatBody("a", true), "Last-Event-ID", ids[len(ids)-1])
	last, _, done := readResponse(t, b)
	is.True(done)
	is.Equal(first+last, expectedText("a"))
}

// Guards against a request that never ends because the client does not read the
// response.
func TestSlowReader(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 1, func(c *Config) { c.WriteTimeout = 50 * time.Millisecond })
	s.engines[0].fault.Store(&fault{kind: "flood"})
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	b := chatBody("a", true)
	fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testToken, len(b), b)
	is.True(s.lastRequest(t).Canceled)
	eventually(t, "cancellation", func() bool { return s.engines[0].canceled.Load() == 1 })
}

// Guards against request IDs that are not returned to the client or not passed to
// the engine.
func TestRequestID(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 1, nil)
	res, _ := s.post(t, "/v1/chat/completions", chatBody("a", false), "X-Request-Id", "client-1")
	is.Equal(res.Header.Get("X-Request-Id"), "client-1")
	res, _ = s.post(t, "/v1/chat/completions", chatBody("a", false), "X-Request-Id", "not usable")
	generated := res.Header.Get("X-Request-Id")
	is.True(generated != "" && generated != "not usable")
	is.Equal(s.engines[0].requestIDs, []string{"client-1", generated})
}

// Guards against unsupported or invalid parameters that are ignored instead of
// rejected.
func TestInvalidRequests(t *testing.T) {
	s := newTestServer(t, 1, nil)
	for _, c := range []struct{ path, body, code string }{
		{"chat/completions", `{`, "invalid_json"},
		{"chat/completions", `{"model":"sack-assist","messages":[]}`, "invalid_value"},
		{"chat/completions", `{"model":"sack-assist","n":2,"messages":[{"role":"user","content":"a"}]}`, "unsupported_parameter"},
		{"chat/completions", `{"model":"sack-assist","max_tokens":0,"messages":[{"role":"user","content":"a"}]}`, "invalid_value"},
		{"chat/completions", `{"model":"sack-assist","max_tokens":100000000,"messages":[{"role":"user","content":"a"}]}`, "invalid_value"},
		{"chat/completions", `{"model":"sack-assist","messages":[{"role":"x\nuser","content":"a"}]}`, "invalid_value"},
		{"chat/completions", `{"model":"sack-assist","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, "invalid_value"},
		{"chat/completions", `{"model":"sack-assist","stop":["x"],"messages":[{"role":"user","content":"a"}]}`, "unsupported_parameter"},
		{"completions", `{"model":"sack-assist","prompt":["a","b"]}`, "invalid_value"},
		{"completions", `{"model":"sack-assist"}`, "invalid_value"},
		{"completions", `{"model":"ledger","prompt":"a"}`, "model_not_found"},
		{"embeddings", `{}`, "unknown_url"},
		{"completions", `{"prompt":"` + strings.Repeat("x", 1<<20) + `"}`, "body_too_large"},
	} {
		res, b := s.post(t, "/v1/"+c.path, c.body)
		if res.StatusCode/100 != 4 || res.Header.Get(reply.OutcomeHeader) != reply.OutcomeNotRun || !strings.Contains(b, `"code":"`+c.code+`"`) {
			t.Errorf("POST %s %.80s: got status %d, outcome %q and body %s, want code %s and not-run", c.path, c.body, res.StatusCode, res.Header.Get(reply.OutcomeHeader), b, c.code)
		}
	}
	if n := s.engines[0].runs.Load(); n != 0 {
		t.Errorf("got %d runs of invalid requests, want 0", n)
	}
}
