package openai

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"wasabiworks.example/wasabiworks/internal/caller/reply"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
)

// Bounds of what is kept for idempotency keys and Last-Event-ID.
const (
	maxKept       = 16384
	maxKeptWeight = 64 << 20
)

// Server serves completions. Close it after the last request.
type Server struct {
	c      Config
	byKey  reply.Table[string, *generation]
	byID   reply.Table[string, *generation]
	flying inFlight
	// cancels bounds the cancellations under way at engines.
	cancels  chan struct{}
	cleanup  sync.WaitGroup
	attempts atomic.Uint64
	routes   http.Handler

	// driving is held for reading while a generation is driven, and for
	// writing by Handover.
	driving sync.RWMutex
	// stopping ends when Handover begins; released is closed when it is done.
	stopping context.Context
	stop     context.CancelFunc
	released chan struct{}
}

// New returns a Server.
func New(c Config) *Server {
	c.setDefaults()
	s := &Server{c: c, cancels: make(chan struct{}, 64), released: make(chan struct{})}
	s.stopping, s.stop = context.WithCancel(context.Background())
	s.byKey.MaxEntries, s.byKey.MaxWeight, s.byKey.Keep = maxKept, maxKeptWeight, c.Keep
	s.byID.MaxEntries, s.byID.MaxWeight, s.byID.Keep = maxKept, maxKeptWeight, c.Keep
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", reply.Handler(s.complete, s.decode(RouteChat), s.encode))
	mux.Handle("POST /v1/completions", reply.Handler(s.complete, s.decode(RouteCompletions), s.encode))
	mux.Handle("GET /v1/models", reply.Handler(s.models, keepRequest, reply.EncodeJSON[modelList]))
	mux.Handle("GET /v1/models/{model}", reply.Handler(s.model, keepRequest, reply.EncodeJSON[model]))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		reply.EncodeError(r.Context(), reply.Rejected(http.StatusNotFound, "unknown_url", "no such method and path"), w)
	})
	s.routes = mux
	return s
}

// ServeHTTP serves the paths of completions and models.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.routes.ServeHTTP(w, r) }

// Close stops what is under way and waits for it.
func (s *Server) Close() {
	s.stop()
	s.driving.Lock()
	defer s.driving.Unlock()
	s.cleanup.Wait()
}

func keepRequest(r *http.Request) (*http.Request, error) { return r, nil }

// response is an admitted request, to be driven while it is encoded.
type response struct {
	call    *completion
	g       *generation
	from    int
	release func()
	begun   time.Time
	// objective is the entry's.
	objective catalogue.Objective
}

// complete admits a request and finds or makes its generation.
func (s *Server) complete(ctx context.Context, c *completion) (*response, error) {
	begun := s.c.Now()
	if s.stopping.Err() != nil {
		return nil, leavingError(reply.NotRun)
	}
	snapshot := s.c.Snapshots.Snapshot()
	w, err := reply.Authenticate(snapshot, c.http)
	if err != nil {
		return nil, err
	}
	e, ok := snapshot.Entry(c.model)
	if !ok || e.Kind != catalogue.KindLanguage {
		return nil, modelNotFound(c.model)
	}
	release, err := s.c.Limiter.Admit(w.Name, e, begun)
	if err != nil {
		s.rejected(c, w.Name, err)
		return nil, err
	}
	p := &response{call: c, release: release, begun: begun, objective: e.Objective}
	if p.g, p.from, err = s.generation(c, w.Name, e, begun); err != nil {
		release()
		s.rejected(c, w.Name, err)
		return nil, err
	}
	return p, nil
}

func (s *Server) rejected(c *completion, workspace string, err error) {
	r := Request{ID: c.id, Workspace: workspace, Entry: c.model, Route: c.route, Outcome: reply.NotRun}
	var e *reply.Error
	if errors.As(err, &e) {
		r.Outcome, r.Code = e.Outcome, e.Code
	}
	s.c.Recorder.Request(&r)
}

// generation returns the generation that a request resumes, repeats or starts.
func (s *Server) generation(c *completion, workspace string, e *catalogue.Entry, now time.Time) (*generation, int, error) {
	if c.resume != "" {
		return s.resume(c, workspace, now)
	}
	g := &generation{
		id: "chatcmpl-" + uuid.NewString(), created: now.Unix(), workspace: workspace, entry: e.Name, route: c.route,
		prompt: c.prompt, maxTokens: c.maxTokens, digest: c.digest, fingerprint: fingerprint(workspace, e.Name, c.prompt),
		conversation: c.conversation, interactive: e.Class != catalogue.ClassBatch,
	}
	if c.route == RouteCompletions {
		g.id = "cmpl-" + g.id[len("chatcmpl-"):]
	}
	if c.key != "" {
		have, loaded := s.byKey.LoadOrStore(dedupeKey(workspace, c.key), g, g.weight(), now)
		if loaded && have.digest != c.digest {
			return nil, 0, &reply.Error{Status: http.StatusUnprocessableEntity, Outcome: reply.NotRun, Type: "invalid_request_error", Code: "idempotency_key_reused", Message: "the idempotency key was used with another request"}
		}
		g = have
	}
	if c.stream {
		s.byID.LoadOrStore(g.id, g, g.weight(), now)
	}
	return g, 0, nil
}

func poisonError(outcome string) *reply.Error {
	return &reply.Error{Status: http.StatusUnprocessableEntity, Outcome: outcome, Type: "invalid_request_error", Code: "poison_request", Message: "the request was in flight when backend servers crashed and is not run again"}
}

func dedupeKey(workspace, key string) string { return workspace + "\x00" + key }

// tokenWeight is about what a kept token takes in memory, in bytes.
const tokenWeight = 32

// weight bounds the memory of a generation, in bytes.
func (g *generation) weight() int64 {
	return int64(len(g.prompt) + tokenWeight*min(g.maxTokens, 512) + 512)
}

// resume finds the generation of a Last-Event-ID, which is the generation's
// ID, a colon and the number of tokens that the client has.
func (s *Server) resume(c *completion, workspace string, now time.Time) (*generation, int, error) {
	id, number, ok := strings.Cut(c.resume, ":")
	from, err := strconv.Atoi(number)
	if !ok || err != nil || from < 0 {
		return nil, 0, reply.Invalid("", "invalid_last_event_id", "Last-Event-ID is not an ID of this system")
	}
	g, ok := s.byID.Load(id, now)
	if !ok || g.workspace != workspace || g.digest != c.digest || from > len(g.reached()) {
		return nil, 0, reply.Rejected(http.StatusNotFound, "stream_not_found", "no such stream is kept here; send the request again without Last-Event-ID")
	}
	return g, from, nil
}

// encode drives the generation and writes the response.
func (s *Server) encode(ctx context.Context, w http.ResponseWriter, p *response) error {
	defer p.release()
	if p.call.stream {
		return s.encodeEvents(ctx, w, p)
	}
	end, err := s.follow(ctx, p, &discard{})
	if err != nil {
		return nil // the client is gone
	}
	if end.err != nil {
		return end.err
	}
	return writeWhole(w, p.g, &end, s.c.WriteTimeout)
}

func (s *Server) encodeEvents(ctx context.Context, w http.ResponseWriter, p *response) error {
	out := newEvents(w, p.g, p.call.includeUsage, p.from, s.c.WriteTimeout)
	end, err := s.follow(ctx, p, out)
	if err != nil {
		return nil // the client is gone
	}
	if end.err != nil && !out.started {
		return end.err // nothing was sent, so the status can tell
	}
	if end.err != nil {
		out.fail(end.err)
		return nil
	}
	out.finish(end.finish, len(end.tokens), end.usage)
	return nil
}

// follow passes tokens to out until the generation ends, driving it when no
// other handler does. An error means that the client is gone.
func (s *Server) follow(ctx context.Context, p *response, out sink) (state, error) {
	g := p.g
	record := Request{ID: p.call.id, Workspace: g.workspace, Entry: g.entry, Route: g.route}
	defer s.record(p, &record)
	client := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.stopping, cancel)()
	for {
		st := g.state()
		if err := catchUp(out, st.tokens); err != nil {
			return st, s.abandon(&record)
		}
		if st.ended() {
			s.settle(p, &record, &st)
			return st, nil
		}
		err := s.advance(ctx, p, out, &record)
		if err != nil && s.stopping.Err() != nil && client.Err() == nil {
			return s.moved(client, p, &record)
		}
		if err != nil {
			return st, s.abandon(&record)
		}
	}
}

// advance drives the generation, or waits for the handler that does.
func (s *Server) advance(ctx context.Context, p *response, out sink, record *Request) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if !p.g.drive() {
		return p.g.wait(ctx, out.reached())
	}
	defer p.g.rest()
	s.driving.RLock()
	defer s.driving.RUnlock()
	if err := ctx.Err(); err != nil {
		return err
	}
	return s.drive(ctx, p, out, record)
}

// catchUp writes the tokens that out has not had.
func catchUp(out sink, tokens []string) error {
	for n := out.reached(); n < len(tokens); n++ {
		if err := out.token(tokens[n], n+1 < len(tokens)); err != nil {
			return err
		}
	}
	return nil
}

// abandon notes that the client is gone. The generation can go on for another
// handler, if one may come.
func (s *Server) abandon(r *Request) error {
	r.Canceled = true
	return errClient
}

// settle notes how the generation ended. A failure is not kept for the
// idempotency key, because a completion may run again.
func (s *Server) settle(p *response, r *Request, st *state) {
	if st.err == nil {
		return
	}
	r.Outcome, r.Code = st.err.Outcome, st.err.Code
	if p.call.key != "" {
		s.byKey.Delete(dedupeKey(p.g.workspace, p.call.key))
	}
}

func (s *Server) record(p *response, r *Request) {
	r.Version = p.g.lastVersion()
	r.Duration = s.c.Now().Sub(p.begun)
	s.c.Recorder.Request(r)
}
