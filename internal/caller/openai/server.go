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

// Limits of each of the caches Server.byKey and Server.byID.
const (
	maxKeptGenerations = 16384
	maxKeptBytes       = 64 << 20
)

// Server serves chat and text completions over HTTP. Call Close after the last
// request.
type Server struct {
	config Config
	// byKey and byID hold the recent generations by idempotency key and by stream
	// ID.
	byKey    reply.Cache[string, *generation]
	byID     reply.Cache[string, *generation]
	inFlight inFlight
	// cancelSlots limits the number of concurrent cancellations on engines.
	cancelSlots   chan struct{}
	cancellations sync.WaitGroup
	attempts      atomic.Uint64
	routes        http.Handler

	// driveMu is read-locked while a generation is driven. Handover and Close
	// lock it to wait until no generation is driven.
	driveMu sync.RWMutex
	// stopping is canceled when Handover or Close begins; handedOver is closed
	// when Handover returns.
	stopping   context.Context
	stop       context.CancelFunc
	handedOver chan struct{}
}

// New returns a Server with the given configuration.
func New(c Config) *Server {
	c.setDefaults()
	s := &Server{config: c, cancelSlots: make(chan struct{}, 64), handedOver: make(chan struct{})}
	s.stopping, s.stop = context.WithCancel(context.Background())
	s.byKey.MaxEntries, s.byKey.MaxWeight, s.byKey.TTL = maxKeptGenerations, maxKeptBytes, c.ResponseTTL
	s.byID.MaxEntries, s.byID.MaxWeight, s.byID.TTL = maxKeptGenerations, maxKeptBytes, c.ResponseTTL
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", reply.Handler(c.Requests, s.admit, s.decode(RouteChat), s.encode))
	mux.Handle("POST /v1/completions", reply.Handler(c.Requests, s.admit, s.decode(RouteCompletions), s.encode))
	mux.Handle("GET /v1/models", reply.Handler(nil, s.listModels, passRequest, reply.EncodeJSON[modelList]))
	mux.Handle("GET /v1/models/{model}", reply.Handler(nil, s.getModel, passRequest, reply.EncodeJSON[model]))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		reply.EncodeError(r.Context(), reply.Rejected(http.StatusNotFound, "unknown_url", "no such method and path"), w)
	})
	s.routes = mux
	return s
}

// ServeHTTP serves the API paths for completions and models.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.routes.ServeHTTP(w, r) }

// Close stops all attempts and waits for them and for the cancellations.
func (s *Server) Close() {
	s.stop()
	s.driveMu.Lock()
	defer s.driveMu.Unlock()
	s.cancellations.Wait()
}

// passRequest is the decoder of endpoints that take the HTTP request itself.
func passRequest(r *http.Request) (*http.Request, error) { return r, nil }

// admittedRequest is a request that the Limiter admitted. Its generation is driven
// while the response is encoded.
type admittedRequest struct {
	request          *completionRequest
	generation       *generation
	resumeFrom       int    // number of tokens that the client already has
	releaseAdmission func() // returned by Limiter.Admit
	received         time.Time
	// objective holds the latency objectives of the entry.
	objective catalogue.Objective
}

// admit admits a request and finds or creates its generation.
func (s *Server) admit(ctx context.Context, c *completionRequest) (*admittedRequest, error) {
	start := s.config.Now()
	if s.stopping.Err() != nil {
		return nil, leavingError(reply.OutcomeNotRun)
	}
	snapshot := s.config.Snapshots.Snapshot()
	w, err := reply.Authenticate(snapshot, c.httpRequest)
	if err != nil {
		return nil, err
	}
	e, ok := snapshot.Entry(c.model)
	if !ok || e.Kind != catalogue.KindLanguage {
		return nil, modelNotFound(c.model)
	}
	releaseAdmission, err := s.config.Limiter.Admit(w.Name, e, start)
	if err != nil {
		s.recordRejection(c, w.Name, err)
		return nil, err
	}
	a := &admittedRequest{request: c, releaseAdmission: releaseAdmission, received: start, objective: e.Objective}
	if a.generation, a.resumeFrom, err = s.generationFor(c, w.Name, e, start); err != nil {
		releaseAdmission()
		s.recordRejection(c, w.Name, err)
		return nil, err
	}
	return a, nil
}

// recordRejection passes a request that was rejected with err to the Recorder.
func (s *Server) recordRejection(c *completionRequest, workspace string, err error) {
	record := RequestRecord{ID: c.id, Workspace: workspace, Entry: c.model, Route: c.route, Outcome: reply.OutcomeNotRun}
	var e *reply.Error
	if errors.As(err, &e) {
		record.Outcome, record.Code = e.Outcome, e.Code
	}
	s.config.Recorder.Request(&record)
}

// generationFor returns the generation that a request resumes, repeats or starts,
// and the number of its tokens that the client already has.
func (s *Server) generationFor(c *completionRequest, workspace string, e *catalogue.Entry, now time.Time) (*generation, int, error) {
	if c.lastEventID != "" {
		return s.resume(c, workspace, now)
	}
	g := &generation{
		id: "chatcmpl-" + uuid.NewString(), created: now.Unix(), workspace: workspace, entry: e.Name, route: c.route,
		prompt: c.prompt, maxTokens: c.maxTokens, digest: c.digest, fingerprint: requestFingerprint(workspace, e.Name, c.prompt),
		conversation: c.conversation, interactive: e.Class != catalogue.ClassBatch,
	}
	if c.route == RouteCompletions {
		g.id = "cmpl-" + g.id[len("chatcmpl-"):]
	}
	if c.key != "" {
		stored, loaded := s.byKey.LoadOrStore(dedupeKey(workspace, c.key), g, g.weight(), now)
		if loaded && stored.digest != c.digest {
			return nil, 0, &reply.Error{Status: http.StatusUnprocessableEntity, Outcome: reply.OutcomeNotRun, Type: "invalid_request_error", Code: "idempotency_key_reused", Message: "the idempotency key was used with another request"}
		}
		g = stored
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

// tokenWeight is the approximate memory of a stored token, in bytes.
const tokenWeight = 32

// weight estimates the memory of a generation, in bytes, from its token limit. It
// is no upper bound because it does not count tokens beyond 512; for an adopted
// stream, Adopt adds the size of the tokens that the stream already has.
func (g *generation) weight() int64 {
	return int64(len(g.prompt) + tokenWeight*min(g.maxTokens, 512) + 512)
}

// resume finds the generation for a Last-Event-ID, which consists of the
// generation's ID, a colon and the number of tokens that the client has.
func (s *Server) resume(c *completionRequest, workspace string, now time.Time) (*generation, int, error) {
	id, position, ok := strings.Cut(c.lastEventID, ":")
	from, err := strconv.Atoi(position)
	if !ok || err != nil || from < 0 {
		return nil, 0, reply.Invalid("", "invalid_last_event_id", "Last-Event-ID is not an ID of this system")
	}
	g, ok := s.byID.Load(id, now)
	if !ok || g.workspace != workspace || g.digest != c.digest || from > len(g.generatedTokens()) {
		return nil, 0, reply.Rejected(http.StatusNotFound, "stream_not_found", "no such stream is kept here; send the request again without Last-Event-ID")
	}
	return g, from, nil
}

// encode drives the generation and writes the response.
func (s *Server) encode(ctx context.Context, w http.ResponseWriter, a *admittedRequest) error {
	defer a.releaseAdmission()
	if a.request.stream {
		return s.encodeEvents(ctx, w, a)
	}
	end, err := s.follow(ctx, a, &discard{})
	if err != nil {
		return nil // the client cannot receive a response
	}
	if end.err != nil {
		return end.err
	}
	return writeJSONResponse(w, a.generation, &end, s.config.WriteTimeout)
}

func (s *Server) encodeEvents(ctx context.Context, w http.ResponseWriter, a *admittedRequest) error {
	out := newEventWriter(w, a.generation, a.request.includeUsage, a.resumeFrom, s.config.WriteTimeout)
	end, err := s.follow(ctx, a, out)
	if err != nil {
		return nil // the client cannot receive a response
	}
	if end.err != nil && !out.started {
		return end.err // no bytes were written, so the status code can report it
	}
	if end.err != nil {
		out.fail(end.err)
		return nil
	}
	out.finish(end.finish, len(end.tokens), end.usage)
	return nil
}

// follow writes tokens to out until the generation ends, and drives the
// generation while no other handler does. An error means that the client
// disconnected or does not read.
func (s *Server) follow(ctx context.Context, a *admittedRequest, out sink) (state, error) {
	g := a.generation
	record := RequestRecord{ID: a.request.id, Workspace: g.workspace, Entry: g.entry, Route: g.route}
	defer s.recordRequest(a, &record)
	client := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.stopping, cancel)()
	for {
		st := g.state()
		if err := catchUp(out, st.tokens); err != nil {
			return st, s.recordCanceled(&record)
		}
		if st.ended() {
			s.recordEnd(a, &record, &st)
			return st, nil
		}
		err := s.advance(ctx, a, out, &record)
		if err != nil && s.stopping.Err() != nil && client.Err() == nil {
			return s.awaitHandover(client, a, &record)
		}
		if err != nil {
			return st, s.recordCanceled(&record)
		}
	}
}

// advance drives the generation or, if another handler drives it, waits for
// progress.
func (s *Server) advance(ctx context.Context, a *admittedRequest, out sink, record *RequestRecord) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if !a.generation.acquire() {
		return a.generation.wait(ctx, out.nextIndex())
	}
	defer a.generation.release()
	s.driveMu.RLock()
	defer s.driveMu.RUnlock()
	if err := ctx.Err(); err != nil {
		return err
	}
	return s.drive(ctx, a, out, record)
}

// catchUp writes the tokens that out has not received yet.
func catchUp(out sink, tokens []string) error {
	for n := out.nextIndex(); n < len(tokens); n++ {
		if err := out.writeToken(tokens[n], n+1 < len(tokens)); err != nil {
			return err
		}
	}
	return nil
}

// recordCanceled records that the client disconnected or does not read, and
// returns errClientDisconnected. Another handler can continue the generation of a
// stream or of a request with an idempotency key.
func (s *Server) recordCanceled(record *RequestRecord) error {
	record.Canceled = true
	return errClientDisconnected
}

// recordEnd records how the generation ended. A failure is not kept for the
// idempotency key, because running a completion again is safe.
func (s *Server) recordEnd(a *admittedRequest, record *RequestRecord, st *state) {
	if st.err == nil {
		return
	}
	record.Outcome, record.Code = st.err.Outcome, st.err.Code
	if a.request.key != "" {
		s.byKey.Delete(dedupeKey(a.generation.workspace, a.request.key))
	}
}

// recordRequest passes the result of a request to the Recorder.
func (s *Server) recordRequest(a *admittedRequest, record *RequestRecord) {
	record.Version = a.generation.lastVersion()
	record.Duration = s.config.Now().Sub(a.received)
	s.config.Recorder.Request(record)
}
