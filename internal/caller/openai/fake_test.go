package openai

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"wasabiworks.example/wasabiworks/internal/backend/engine"
	"wasabiworks.example/wasabiworks/internal/backend/fleet"
	"wasabiworks.example/wasabiworks/internal/decide/route"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
)

const responseTokens = 12

// responseToken returns token i of the response to a prompt. Tokens depend on the
// prompt and the index, so that tests detect tokens of other responses and
// missing or repeated tokens.
func responseToken(prompt string, i int) string {
	return strconv.FormatUint(xxhash.Sum64String(fmt.Sprint(prompt, i)), 36) + " "
}

// responseText returns the complete response to a prompt.
func responseText(prompt string) string {
	var b strings.Builder
	for i := range responseTokens {
		b.WriteString(responseToken(prompt, i))
	}
	return b.String()
}

// fault selects how a fake engine fails.
type fault struct {
	kind string
	at   int           // index of the token at which "abort" and "stall" occur
	wait time.Duration // before each token
}

// fakeEngine is an engine that responds with tokens derived from the prompt.
type fakeEngine struct {
	*httptest.Server
	fault      atomic.Pointer[fault]
	runs       atomic.Int64
	canceled   atomic.Int64
	mu         sync.Mutex
	caches     map[string]bool
	requestIDs []string // X-Request-Id of each run
}

func newFakeEngine(t testing.TB) *fakeEngine {
	e := &fakeEngine{caches: make(map[string]bool)}
	e.fault.Store(&fault{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generate", e.generate)
	mux.HandleFunc("DELETE /generate/{id}", func(http.ResponseWriter, *http.Request) { e.canceled.Add(1) })
	mux.HandleFunc("GET /kv-cache/{id}", func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "cache of "+r.PathValue("id")) })
	mux.HandleFunc("PUT /kv-cache/{id}", func(_ http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.caches[r.PathValue("id")] = string(b) == "cache of "+r.PathValue("id")
	})
	e.Server = httptest.NewServer(mux)
	t.Cleanup(e.Close)
	return e
}

type generateRequest struct {
	Request   string   `json:"request"`
	Prompt    string   `json:"prompt"`
	MaxTokens int      `json:"max-tokens"`
	From      int      `json:"from"`
	Prefix    []string `json:"prefix-tokens"`
	Import    string   `json:"import"`
}

func (e *fakeEngine) generate(w http.ResponseWriter, r *http.Request) {
	var q generateRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f := e.fault.Load()
	if reason, ok := strings.CutPrefix(f.kind, "reject:"); ok {
		w.Header().Set("Not-Run", reason)
		w.Header().Set("Attempt", r.Header.Get("Attempt"))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.runs.Add(1)
	e.mu.Lock()
	e.requestIDs = append(e.requestIDs, r.Header.Get("X-Request-Id"))
	imported := e.caches[q.Import]
	e.mu.Unlock()
	if f.kind == "fail" {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	e.writeFrames(w, r, &q, f, imported)
}

func (e *fakeEngine) writeFrames(w http.ResponseWriter, r *http.Request, q *generateRequest, f *fault, imported bool) {
	id, length := r.Header.Get("Attempt"), min(responseTokens, q.MaxTokens)
	out := json.NewEncoder(w)
	if f.kind == "flood" {
		for i := 0; r.Context().Err() == nil; i++ {
			out.Encode(engine.Frame{Attempt: id, Index: i, Token: strings.Repeat("x", 16<<10)})
		}
		return
	}
	var held *engine.Frame
	for i := q.From; i < length; i++ {
		fr := engine.Frame{Attempt: id, Index: i, Token: responseToken(q.Prompt, i)}
		if i == length-1 {
			fr.Finish = "stop"
			if length < responseTokens {
				fr.Finish = "length"
			}
			fr.Usage = &engine.Usage{Prompt: 3}
			if q.From > 0 && !imported {
				fr.Usage.Recomputed = q.From
			}
		}
		time.Sleep(f.wait)
		if i == f.at && f.kind == "abort" {
			panic(http.ErrAbortHandler)
		}
		if i == f.at && f.kind == "stall" {
			w.(http.Flusher).Flush()
			<-r.Context().Done()
			return
		}
		if f.kind == "foreign" {
			out.Encode(engine.Frame{Attempt: "another", Index: i, Token: "foreign "})
		}
		if f.kind == "reorder" && i%2 == 1 && i < length-1 && held == nil {
			held = &fr
			continue
		}
		out.Encode(fr)
		if f.kind == "duplicate" {
			out.Encode(fr)
		}
		if held != nil {
			out.Encode(held)
			held = nil
		}
		w.(http.Flusher).Flush()
	}
}

func (e *fakeEngine) address() string { return strings.TrimPrefix(e.URL, "http://") }

// testServer is a Server with fake engines. It admits all requests unless reject
// is set.
type testServer struct {
	*httptest.Server
	server  *Server
	fleet   *fleet.Fleet
	engine  *engine.Client
	engines []*fakeEngine
	policy  *firstFit
	poison  *fakePoison
	budget  atomic.Int64
	reject  atomic.Pointer[error]

	mu       sync.Mutex
	attempts []AttemptRecord
	requests []RequestRecord
}

const testToken = "secret"

var testSnapshot = catalogue.NewSnapshot(1, &catalogue.Catalogue{
	Workspaces: []catalogue.Workspace{{Name: "mill", TokenHashes: []string{"2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"}}},
	Entries: []catalogue.Entry{
		{Name: "sack-assist", Owner: "anna", Kind: catalogue.KindLanguage, Version: "v1"},
		{Name: "ledger", Owner: "anna", Kind: catalogue.KindService, Version: "v1"},
	},
})

func newTestServer(t testing.TB, engines int, change func(*Config)) *testServer {
	s := &testServer{policy: &firstFit{}, poison: &fakePoison{}}
	s.budget.Store(100)
	s.fleet = fleet.New(fleet.Config{})
	var list []fleet.ListedServer
	for i := range engines {
		e := newFakeEngine(t)
		s.engines = append(s.engines, e)
		list = append(list, fleet.ListedServer{ID: fmt.Sprint("b", i), Address: e.address(), Entry: "sack-assist"})
	}
	s.fleet.SetInstances(list)
	s.engine = engine.New(engine.Config{FirstFrameTimeout: 300 * time.Millisecond, StallTimeout: 100 * time.Millisecond})
	c := Config{Node: "n1", Snapshots: s, Limiter: s, Versions: s, Router: s.policy, Fleet: s.fleet, Engine: s.engine,
		Budget: s, Poison: s.poison, Recorder: s, Random: rand.Uint64, ServerWait: 50 * time.Millisecond, SuspectServerWait: 2 * time.Second}
	if change != nil {
		change(&c)
	}
	s.server = New(c)
	s.Server = httptest.NewServer(s.server)
	t.Cleanup(func() {
		s.Server.Close()
		s.server.Close()
		s.engine.Close()
	})
	return s
}

func (s *testServer) Snapshot() *catalogue.Snapshot { return testSnapshot }
func (s *testServer) Admit(string, *catalogue.Entry, time.Time) (func(), error) {
	if err := s.reject.Load(); err != nil {
		return nil, *err
	}
	return func() {}, nil
}
func (s *testServer) Version(*catalogue.Entry, uint64) (string, string, uint8) { return "v1", "", 0 }
func (s *testServer) Deposit(string)                                           {}
func (s *testServer) Withdraw(string) bool                                     { return s.budget.Add(-1) >= 0 }
func (s *testServer) Attempt(a *AttemptRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, *a)
}
func (s *testServer) Request(r *RequestRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, *r)
}

// lastRequest returns the latest recorded request. It waits for the first record,
// because a request is recorded after the client has received the response.
func (s *testServer) lastRequest(t *testing.T) RequestRecord {
	t.Helper()
	for range 200 {
		s.mu.Lock()
		if n := len(s.requests); n > 0 {
			defer s.mu.Unlock()
			return s.requests[n-1]
		}
		s.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("no request was recorded")
	return RequestRecord{}
}

// firstFit picks the first server that is not excluded and serves the version.
type firstFit struct{}

func (*firstFit) Pick(bs []route.Backend, r route.Request, _ time.Time, _ uint64) (int, bool) {
	for i := range bs {
		excluded := false
		for _, id := range r.Exclude {
			excluded = excluded || id == bs[i].ID
		}
		if !excluded && bs[i].Serves(r.Version) {
			return i, true
		}
	}
	return 0, false
}

// fakePoison counts, for each fingerprint, the server processes that crashed while
// a request with it was in flight.
type fakePoison struct {
	mu      sync.Mutex
	crashes map[uint64]map[string]bool
}

func (p *fakePoison) Verdict(fp uint64) Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Verdict(min(len(p.crashes[fp]), 2))
}

func (p *fakePoison) Completed(fp uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.crashes, fp)
}

func (p *fakePoison) AssignedServers(_ uint64, servers []string) []string { return servers }

func (p *fakePoison) Crash(serverID, incarnation string, fps []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.crashes == nil {
		p.crashes = make(map[uint64]map[string]bool)
	}
	for _, fp := range fps {
		if p.crashes[fp] == nil {
			p.crashes[fp] = make(map[string]bool)
		}
		p.crashes[fp][serverID+"/"+incarnation] = true
	}
}

// post sends a request and returns the response and its complete body.
func (s *testServer) post(t testing.TB, path, body string, header ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, s.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testToken)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatalf("POST %s: reading the response: %v", path, err)
	}
	return res, string(b)
}
