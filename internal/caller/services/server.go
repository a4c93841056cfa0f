package services

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"wasabiworks.example/wasabiworks/internal/caller/reply"
	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/route"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
)

// Bounds on the responses that are kept for the idempotency keys of repeatable
// calls.
const (
	maxSharedResponses = 4096
	maxSharedBytes     = 32 << 20
	// maxSharedBody bounds the body of one response, in bytes. Bodies that are
	// known to be no longer are read whole before they are relayed, so that a
	// repeatable call can be repeated if the connection breaks.
	maxSharedBody = 64 << 10
)

// ReplayedHeader marks the stored response of an earlier call.
const ReplayedHeader = "Wasabiworks-Replayed"

// maxJournalBody bounds the body of a response that the journal keeps, in bytes.
const maxJournalBody = 4 << 10

// Server forwards calls of clients to plain services. It is safe for concurrent
// use.
type Server struct {
	config       Config
	recent       reply.Cache[string, *sharedResponse]
	attemptCount atomic.Uint64
	handler      http.Handler
}

// New returns a Server.
func New(c Config) *Server {
	c.setDefaults()
	s := &Server{config: c}
	s.recent.MaxEntries, s.recent.MaxWeight, s.recent.TTL = maxSharedResponses, maxSharedBytes, c.Retention
	s.handler = reply.Handler(c.Requests, s.admit, decode, s.respond)
	return s
}

// ServeHTTP serves /v1/services/{entry}/{path}.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// nonRepeatableRoute is recorded as the route of all calls that must not be
// repeated.
const nonRepeatableRoute = "once"

// admittedCall is an authenticated call of an existing service. It is recorded
// even if a limit rejects it.
type admittedCall struct {
	*call
	workspace  string
	entry      *catalogue.Entry
	repeatable bool
	release    func()
	started    time.Time
	record     CallResult
	// exclude lists the IDs of servers that failed or rejected the call.
	exclude     []string
	retryIsFree bool
	server      route.Backend
}

// admit authenticates a call, applies the limits and chooses the version.
func (s *Server) admit(_ context.Context, c *call) (*admittedCall, error) {
	snapshot := s.config.Snapshots.Snapshot()
	w, err := reply.Authenticate(snapshot, c.request)
	if err != nil {
		return nil, err
	}
	e, ok := snapshot.Entry(c.entry)
	if !ok || e.Kind != catalogue.KindService {
		return nil, reply.Rejected(http.StatusNotFound, "entry_not_found", "the service "+strconv.Quote(c.entry)+" does not exist")
	}
	rule := repeatableRule(e, c.method, c.path)
	a := &admittedCall{call: c, workspace: w.Name, entry: e, repeatable: rule != "", started: s.config.Now()}
	if !a.repeatable && c.key == "" {
		return nil, reply.Invalid("", "idempotency_key_required", "this call must not be repeated and needs an Idempotency-Key header")
	}
	// The route is a rule of the catalogue rather than the path: clients choose
	// the paths, so evidence by path would grow without bound.
	a.record = CallResult{ID: c.id, Workspace: w.Name, Entry: e.Name, Route: cmp.Or(rule, nonRepeatableRoute)}
	if a.release, err = s.config.Limiter.Admit(w.Name, e, a.started); err != nil {
		s.finish(a, err)
		return nil, err
	}
	// Use the idempotency key, if there is one, so that a repeated call gets the
	// same version.
	versionKey := c.key
	if versionKey == "" {
		versionKey = c.id
	}
	a.record.Version, a.record.Move, a.record.Step = s.config.Versions.Version(e, xxhash.Sum64String(w.Name+"\x00"+versionKey))
	return a, nil
}

// respond makes the call and writes the response to the client.
func (s *Server) respond(ctx context.Context, w http.ResponseWriter, a *admittedCall) error {
	defer a.release()
	var err error
	switch {
	case !a.repeatable:
		err = s.callOnce(ctx, w, a)
	case a.key != "":
		err = s.callDeduplicated(ctx, w, a)
	default:
		err = s.callRepeatable(ctx, w, a, nil)
	}
	a.record.Canceled = ctx.Err() != nil
	s.finish(a, err)
	return err
}

func (s *Server) finish(a *admittedCall, err error) {
	a.record.Duration = s.config.Now().Sub(a.started)
	var e *reply.Error
	if errors.As(err, &e) {
		a.record.Outcome, a.record.Code = e.Outcome, e.Code
	}
	s.config.Recorder.Call(&a.record)
}

// pickServer chooses a server for the next attempt and updates the server's retry
// budget. It returns false if there is no server that may be tried.
func (s *Server) pickServer(a *admittedCall) bool {
	retry := a.record.Attempts > 0
	for exclude := a.exclude[:len(a.exclude):len(a.exclude)]; ; {
		view := s.config.Fleet.View(a.entry.Name)
		i, ok := s.config.Router.Pick(view, route.Request{Entry: a.entry.Name, Version: a.record.Version, FailureDomain: s.config.FailureDomain,
			Interactive: a.entry.Class != catalogue.ClassBatch, Exclude: exclude}, s.config.Now(), s.config.Random())
		if !ok {
			return false
		}
		b := view[i]
		if retry && !a.retryIsFree && !s.config.Budget.Withdraw(b.ID) {
			exclude = append(exclude, b.ID)
			continue
		}
		if !retry {
			s.config.Budget.Deposit(b.ID)
		}
		a.server, a.retryIsFree = b, false
		a.record.Attempts++
		a.record.Backend, a.record.Load = b.ID, evidence.LoadLevel(b.Running+b.Queued, b.Capacity)
		return true
	}
}

func (s *Server) attemptID() string {
	return s.config.Node + "-s" + strconv.FormatUint(s.attemptCount.Add(1), 36) + "-" + strconv.FormatUint(s.config.Random()&0xffffffff, 36)
}

func noBackendError(a *admittedCall) error {
	code, message := "no_backend", "no backend server may run the call now"
	if a.record.Attempts > 0 {
		code, message = "backend_rejected", "the backend servers rejected the call"
	}
	e := reply.Rejected(http.StatusServiceUnavailable, code, message)
	e.RetryAfter = time.Second
	return e
}

func backendLostError() error {
	return reply.Failed(http.StatusBadGateway, "backend_failed", "the backend server was lost; whether the call ran is not known")
}
