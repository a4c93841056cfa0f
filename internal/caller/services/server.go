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

// Bounds of what is kept for the idempotency keys of repeatable calls.
const (
	maxKept       = 4096
	maxKeptWeight = 32 << 20
	// maxKeptBody bounds one response, in bytes.
	maxKeptBody = 64 << 10
)

// ReplayedHeader marks a response that was stored earlier.
const ReplayedHeader = "Wasabiworks-Replayed"

// maxStored bounds a response that the journal keeps, in bytes.
const maxStored = 4 << 10

// Server serves calls to plain services.
type Server struct {
	c        Config
	recent   reply.Table[string, *shared]
	attempts atomic.Uint64
	routes   http.Handler
}

// New returns a Server.
func New(c Config) *Server {
	c.setDefaults()
	s := &Server{c: c}
	s.recent.MaxEntries, s.recent.MaxWeight, s.recent.Keep = maxKept, maxKeptWeight, c.Keep
	s.routes = reply.Handler(s.admit, decode, s.encode)
	return s
}

// ServeHTTP serves /v1/services/{entry}/{path}.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.routes.ServeHTTP(w, r) }

// routeOnce is the route of all calls that must not be repeated.
const routeOnce = "once"

// admitted is a call that passed the limits.
type admitted struct {
	*call
	workspace  string
	entry      *catalogue.Entry
	repeatable bool
	release    func()
	begun      time.Time
	record     Call
	// exclude holds the servers that failed or rejected the call.
	exclude []string
	free    bool
	slot    route.Backend
}

// admit authenticates a call and applies the limits.
func (s *Server) admit(_ context.Context, c *call) (*admitted, error) {
	snapshot := s.c.Snapshots.Snapshot()
	w, err := reply.Authenticate(snapshot, c.http)
	if err != nil {
		return nil, err
	}
	e, ok := snapshot.Entry(c.entry)
	if !ok || e.Kind != catalogue.KindService {
		return nil, reply.Rejected(http.StatusNotFound, "entry_not_found", "the service "+strconv.Quote(c.entry)+" does not exist")
	}
	name := rule(e, c.method, c.path)
	a := &admitted{call: c, workspace: w.Name, entry: e, repeatable: name != "", begun: s.c.Now()}
	if !a.repeatable && c.key == "" {
		return nil, reply.Invalid("", "idempotency_key_required", "this call must not be repeated and needs an Idempotency-Key header")
	}
	// The route is one of few, so that evidence does not grow with the paths
	// that clients choose.
	a.record = Call{ID: c.id, Workspace: w.Name, Entry: e.Name, Route: cmp.Or(name, routeOnce)}
	if a.release, err = s.c.Limiter.Admit(w.Name, e, a.begun); err != nil {
		s.finish(a, err)
		return nil, err
	}
	stick := c.key
	if stick == "" {
		stick = c.id
	}
	a.record.Version, a.record.Move, a.record.Step = s.c.Versions.Version(e, xxhash.Sum64String(w.Name+"\x00"+stick))
	return a, nil
}

// encode makes the call and writes the response.
func (s *Server) encode(ctx context.Context, w http.ResponseWriter, a *admitted) error {
	defer a.release()
	var err error
	switch {
	case !a.repeatable:
		err = s.once(ctx, w, a)
	case a.key != "":
		err = s.dedupe(ctx, w, a)
	default:
		err = s.repeat(ctx, w, a, nil)
	}
	a.record.Canceled = ctx.Err() != nil
	s.finish(a, err)
	return err
}

func (s *Server) finish(a *admitted, err error) {
	a.record.Duration = s.c.Now().Sub(a.begun)
	var e *reply.Error
	if errors.As(err, &e) {
		a.record.Outcome, a.record.Code = e.Outcome, e.Code
	}
	s.c.Recorder.Call(&a.record)
}

// pick chooses a server for the next attempt and counts the call there.
func (s *Server) pick(a *admitted) bool {
	again := a.record.Attempts > 0
	for exclude := a.exclude[:len(a.exclude):len(a.exclude)]; ; {
		view := s.c.Fleet.View(a.entry.Name)
		i, ok := s.c.Router.Pick(view, route.Request{Entry: a.entry.Name, Version: a.record.Version, FailureDomain: s.c.FailureDomain,
			Interactive: a.entry.Class != catalogue.ClassBatch, Exclude: exclude}, s.c.Now(), s.c.Random())
		if !ok {
			return false
		}
		b := view[i]
		if again && !a.free && !s.c.Budget.Withdraw(b.ID) {
			exclude = append(exclude, b.ID)
			continue
		}
		if !again {
			s.c.Budget.Deposit(b.ID)
		}
		a.slot, a.free = b, false
		a.record.Attempts++
		a.record.Backend, a.record.Load = b.ID, evidence.LoadLevel(b.Running+b.Queued, b.Capacity)
		return true
	}
}

func (s *Server) attemptID() string {
	return s.c.Node + "-s" + strconv.FormatUint(s.attempts.Add(1), 36) + "-" + strconv.FormatUint(s.c.Random()&0xffffffff, 36)
}

func noBackend(a *admitted) error {
	code, message := "no_backend", "no backend server may run the call now"
	if a.record.Attempts > 0 {
		code, message = "backend_rejected", "the backend servers rejected the call"
	}
	e := reply.Rejected(http.StatusServiceUnavailable, code, message)
	e.RetryAfter = time.Second
	return e
}

func lostError() error {
	return reply.Failed(http.StatusBadGateway, "backend_failed", "the backend server was lost; whether the call ran is not known")
}
