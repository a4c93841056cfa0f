package openai

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/caller/reply"
)

// fuzzServer returns a Server without backend servers, for tests of its decoders
// and caches.
func fuzzServer() *Server { return New(Config{Random: rand.Uint64}) }

// Guards against a request body that causes a panic, and against accepted
// requests with missing or out-of-range values.
func FuzzDecode(f *testing.F) {
	for _, body := range []string{
		`{"model":"sack-assist","messages":[{"role":"user","content":"x"}],"max_tokens":5,"stream":true}`,
		`{"model":"sack-assist","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"max_completion_tokens":1}`,
		`{"model":"sack-assist","prompt":["x"],"n":1,"stop":[],"logprobs":null,"response_format":{"type":"text"}}`,
		`{"model":"sack-assist","prompt":"\ud800","max_tokens":-1}`, `{"messages":null}`, `null`, `[`, "",
	} {
		f.Add(body, false)
		f.Add(body, true)
	}
	s := fuzzServer()
	f.Fuzz(func(t *testing.T, body string, chat bool) {
		route := RouteCompletions
		if chat {
			route = RouteChat
		}
		c, err := s.decode(route)(httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body)))
		if err != nil {
			if _, ok := err.(*reply.Error); !ok {
				t.Errorf("body %q: error %v of type %T, want a *reply.Error", body, err, err)
			}
			return
		}
		if c.model == "" || c.prompt == "" || c.maxTokens < 1 || c.maxTokens > s.config.MaxTokens {
			t.Errorf("body %q: decoded as model %q, prompt %q, %d tokens", body, c.model, c.prompt, c.maxTokens)
		}
	})
}

// Guards against a Last-Event-ID that causes a panic, resumes beyond the tokens
// generated so far, or gives access to the stream of another workspace or
// request.
func FuzzLastEventID(f *testing.F) {
	for _, id := range []string{"chatcmpl-1:0", "chatcmpl-1:2", "chatcmpl-1:3", "chatcmpl-1:-1", "chatcmpl-1:+1", "chatcmpl-1:99999999999999999999", "chatcmpl-1", ":", ""} {
		f.Add(id, "mill", uint64(7))
		f.Add(id, "other", uint64(7))
		f.Add(id, "mill", uint64(8))
	}
	s := fuzzServer()
	now := time.Now()
	g := &generation{id: "chatcmpl-1", workspace: "mill", digest: 7, tokens: []string{"a ", "b "}}
	s.byID.LoadOrStore(g.id, g, g.weight(), now)
	f.Fuzz(func(t *testing.T, id, workspace string, digest uint64) {
		got, from, err := s.resume(&completionRequest{lastEventID: id, digest: digest}, workspace, now)
		if err != nil {
			return
		}
		if got != g || workspace != "mill" || digest != 7 || from < 0 || from > 2 || !strings.HasPrefix(id, g.id+":") {
			t.Errorf("ID %q of workspace %q, digest %d: resumed %q from %d", id, workspace, digest, got.id, from)
		}
	})
}

// Guards against a handover from a peer that causes a panic, and against an
// adopted stream that exceeds the limits or takes more memory than its weight in
// the cache.
func FuzzAdopt(f *testing.F) {
	const request = `{"route":"chat","prompt":"user: x\n","max-tokens":9,"digest":7,"created":1,"interactive":true}`
	f.Add("chatcmpl-1", "mill", "sack-assist", "v1", []byte(request), "a b c", uint64(1), int64(1))
	f.Add("chatcmpl-1", "mill", "sack-assist", strings.Repeat("v", 4096), []byte(request), strings.Repeat("x", 4096), uint64(1), int64(1))
	f.Add("", "", "", "", []byte(`{"max-tokens":-1}`), "", uint64(0), int64(-1))
	f.Add("s", "", "", "", []byte(`{"max-tokens":0}`), "", uint64(0), int64(1))
	f.Add("s", "", "", "", []byte(`null`), "a", uint64(0), int64(1))
	f.Fuzz(func(t *testing.T, stream, workspace, entry, version string, request []byte, text string, prefix uint64, keep int64) {
		s := fuzzServer()
		now := time.Now()
		h := &HandedOverStream{StreamID: stream, Workspace: workspace, Entry: entry, Version: version, Request: request,
			Tokens: strings.Fields(text), Conversation: prefix, Deadline: now.Add(time.Duration(keep) * time.Minute)}
		if !s.Adopt(h) {
			return
		}
		g, ok := s.byID.Load(stream, now)
		if !ok || stream == "" || keep <= 0 || g.maxTokens < len(g.tokens) || g.maxTokens > s.config.MaxTokens {
			t.Errorf("Adopt accepted %+v: got %d tokens, limit %d", h, len(g.tokens), g.maxTokens)
		}
		bytes := len(g.id) + len(g.workspace) + len(g.entry) + len(g.version) + len(g.prompt)
		for _, token := range g.tokens {
			bytes += len(token)
		}
		// A cache whose maximum weight is less than the stream's own bytes must not
		// keep the stream.
		s = fuzzServer()
		s.byID.MaxWeight = int64(bytes) - 1
		s.Adopt(h)
		if _, ok := s.byID.Load(stream, now); ok {
			t.Errorf("a stream of %d bytes is kept in a cache with maximum weight %d", bytes, s.byID.MaxWeight)
		}
	})
}
