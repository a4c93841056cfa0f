package openai

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"wasabiworks.example/wasabiworks/internal/backend/engine"
	"wasabiworks.example/wasabiworks/internal/caller/reply"
	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/route"
)

// run drives a generation through its attempts.
type run struct {
	s      *Server
	g      *generation
	p      *response
	out    sink
	record *Request
	// exclude holds the servers that failed or rejected an attempt.
	exclude []string
	// busy holds the servers that rejected an attempt as overloaded.
	busy    []string
	suspect bool
	// crowded is true if a server was passed over for another suspect there.
	crowded       bool
	version, move string
	step          uint8
	// versionFailed is true if an attempt of the version failed or was lost
	// without another reason.
	versionFailed bool
	// imported names the attempt whose KV cache is on target.
	imported, target string
	// free is true if the next attempt is not charged to the retry budget:
	// an announced reclaim must not fail a request.
	free bool
	// interrupted is true once an attempt ended before its last frame, though
	// the server had begun it.
	interrupted bool

	// These belong to the attempt under way.
	backend  route.Backend
	id       string
	began    time.Time
	last     time.Time // when the last token had been passed on
	first    time.Duration
	waited   time.Duration // for tokens after the first
	tokens   int
	leaving  <-chan struct{}
	moveAt   time.Time
	finished bool
}

var (
	errMoved = errors.New("attempt moves to another server")
	errGone  = errors.New("no server may run the attempt")
)

// drive runs attempts until the generation has ended. An error means that the
// client is gone; the generation is then left as it is.
func (s *Server) drive(ctx context.Context, p *response, out sink, record *Request) error {
	r := &run{s: s, g: p.g, p: p, out: out, record: record}
	var last error
	for n := 0; n < s.c.MaxAttempts; n++ {
		switch s.c.Poison.Verdict(r.g.fingerprint) {
		case Poison:
			r.g.end("", poisonError(r.outcome()))
			return nil
		case Suspect:
			r.suspect = true
		}
		if err := r.choose(ctx, n > 0); err != nil {
			if ctx.Err() != nil {
				return errClient
			}
			r.g.end("", r.failure(last, err))
			return nil
		}
		err := r.attempt(ctx)
		if ctx.Err() != nil || errors.Is(err, errClient) {
			return errClient
		}
		if err == nil {
			return nil
		}
		last = err
		if engine.Reason(err) == engine.ReasonPoison {
			r.g.end("", poisonError(r.outcome()))
			return nil
		}
	}
	r.g.end("", r.failure(last, errGone))
	return nil
}

func (r *run) outcome() string {
	if r.g.wasSent() {
		return reply.Unknown
	}
	return reply.NotRun
}

// failure is what the client is told when no further attempt is made.
func (r *run) failure(last, why error) *reply.Error {
	if r.g.wasSent() {
		return reply.Failed(http.StatusBadGateway, "backend_failed", "the response could not be completed")
	}
	code, message := "no_backend", "no backend server may run the request now"
	if last != nil && why != errGone {
		code, message = "backend_rejected", "the backend servers rejected the request"
	}
	e := reply.Rejected(http.StatusServiceUnavailable, code, message)
	e.RetryAfter = time.Second
	return e
}

// choose picks a server and begins the attempt there, waiting for one within
// the server's patience.
func (r *run) choose(ctx context.Context, again bool) error {
	begun := time.Now()
	for {
		r.pickVersion()
		if r.pick(again) {
			return nil
		}
		patience := r.s.c.Patience
		if r.crowded {
			patience = r.s.c.SuspectPatience
		}
		if time.Since(begun) > patience {
			return errGone
		}
		r.busy = r.busy[:0] // they have had time to finish something
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(25 * time.Millisecond):
		}
	}
}

// pickVersion chooses the version anew for each attempt, so that one that is
// rolled back gets no more attempts. Tokens of two versions are mixed only if
// the first one has failed or is served no more: a share that grows does not
// move a response that has begun.
func (r *run) pickVersion() {
	e, ok := r.s.c.Snapshots.Snapshot().Entry(r.g.entry)
	if !ok {
		return
	}
	have := r.g.lastVersion()
	version, move, step := r.s.c.Versions.Version(e, r.g.conversation)
	if have != "" && version != have && len(r.g.reached()) > 0 && !r.versionFailed && r.served(have) {
		r.version = have
		return
	}
	r.version, r.move, r.step = version, move, step
	r.g.setVersion(version)
}

func (r *run) served(version string) bool {
	return slices.ContainsFunc(r.s.c.Fleet.View(r.g.entry), func(b route.Backend) bool { return b.Serves(version) })
}

func (r *run) pick(again bool) bool {
	s := r.s
	view := s.c.Fleet.View(r.g.entry)
	exclude := slices.Concat(r.exclude, r.busy)
	r.crowded = false
	for range len(view) {
		i, ok := r.index(view, exclude)
		if !ok {
			return false
		}
		b := view[i]
		if !s.flying.begin(b.ID, r, r.g.fingerprint, r.suspect) {
			r.crowded = true
			exclude = append(exclude, b.ID)
			continue
		}
		if again && !r.free && !s.c.Budget.Withdraw(b.ID) {
			s.flying.end(b.ID, r, r.suspect)
			exclude = append(exclude, b.ID)
			continue
		}
		if !again {
			s.c.Budget.Deposit(b.ID)
		}
		r.begin(b)
		return true
	}
	return false
}

func (r *run) index(view []route.Backend, exclude []string) (int, bool) {
	if r.imported != "" {
		i := slices.IndexFunc(view, func(b route.Backend) bool { return b.ID == r.target })
		if i >= 0 && !slices.Contains(exclude, r.target) {
			return i, true
		}
		r.imported = ""
	}
	return r.s.c.Router.Pick(view, route.Request{
		Entry: r.g.entry, Version: r.version, FailureDomain: r.s.c.FailureDomain, Prefix: r.g.conversation,
		Interactive: r.g.interactive, Exclude: exclude,
	}, r.s.c.Now(), r.s.c.Random())
}

func (r *run) begin(b route.Backend) {
	r.backend = b
	r.id = r.s.c.Node + "-" + strconv.FormatUint(r.s.attempts.Add(1), 36) + "-" + strconv.FormatUint(r.s.c.Random()&0xffffffff, 36)
	r.leaving = r.s.c.Fleet.Began(b.ID)
	r.moveAt = time.Time{}
	r.began = time.Now()
	r.last = r.began
	r.first, r.waited, r.tokens, r.free, r.finished = 0, 0, 0, false, false
	r.record.Attempts++
}

// attempt runs one attempt on the server that choose picked.
func (r *run) attempt(ctx context.Context) error {
	s, g := r.s, r.g
	suspect := r.suspect
	defer s.c.Fleet.Ended(r.backend.ID)
	defer s.flying.end(r.backend.ID, r, suspect)
	prefix := g.reached()
	a := engine.Attempt{ID: r.id, Address: r.backend.Address, Request: r.p.call.id, Entry: g.entry, Version: r.version,
		Prompt: g.prompt, Priority: r.priority(), MaxTokens: g.maxTokens, From: len(prefix), Prefix: prefix, Import: r.imported}
	r.imported = ""
	err := s.c.Engine.Generate(ctx, &a, r.frame)
	if err == nil {
		r.report(false, "")
		return nil
	}
	if !engine.IsNotRun(err) {
		g.markSent()
	}
	r.failed(ctx, &a, err)
	return err
}

func (r *run) priority() string {
	if r.g.interactive {
		return "interactive"
	}
	return "batch"
}

// frame takes one frame of the attempt under way.
func (r *run) frame(f engine.Frame) error {
	now := time.Now()
	if r.tokens == 0 {
		r.first = now.Sub(r.began)
		if r.record.FirstToken == 0 {
			r.record.FirstToken = r.s.c.Now().Sub(r.p.begun)
		}
	} else {
		r.waited += now.Sub(r.last)
	}
	if f.Token != "" || f.Finish == "" {
		r.tokens++
		r.record.Generated++
		r.g.add(f.Token)
		if err := r.out.token(f.Token, f.More || f.Finish != ""); err != nil {
			return err
		}
		r.last = time.Now()
	}
	if f.Finish != "" {
		r.finish(&f)
		return nil
	}
	select {
	case <-r.leaving:
		return r.reclaimed(now)
	default:
		return nil
	}
}

// finish takes the last frame.
func (r *run) finish(f *engine.Frame) {
	u := engine.Usage{}
	if f.Usage != nil {
		u = *f.Usage
	}
	r.record.Prompt, r.record.Cached = u.Prompt, r.record.Cached+u.Cached
	if r.interrupted {
		// The engine reports every token that it computed for the prompt; only
		// after an interrupted attempt were they computed before.
		r.record.Recomputed += u.Recomputed
	}
	r.finished = true
	r.g.mu.Lock()
	r.g.usage = u
	r.g.mu.Unlock()
	r.g.end(f.Finish, nil)
}

// failed draws the consequences of an attempt that did not complete.
func (r *run) failed(ctx context.Context, a *engine.Attempt, err error) {
	s := r.s
	switch {
	case errors.Is(err, errMoved):
		s.cancel(a)
		r.interrupted = true
		r.free = true
		r.exclude = append(r.exclude, r.backend.ID)
		r.report(false, "")
	case ctx.Err() != nil || errors.Is(err, errClient):
		s.cancel(a)
	case engine.IsNotRun(err):
		r.rejected(engine.Reason(err))
	default:
		r.lost(a, err)
	}
}

// rejected notes a rejection, which is no evidence against the version.
func (r *run) rejected(reason string) {
	if reason == engine.ReasonOverloaded {
		r.busy = append(r.busy, r.backend.ID)
	} else {
		r.exclude = append(r.exclude, r.backend.ID)
	}
	// A server that could not be reached received nothing, so another attempt
	// adds no load to it.
	r.free = reason == engine.ReasonLeaving || reason == engine.ReasonDial
	if reason == engine.ReasonVersion {
		r.s.c.Fleet.RefusedVersion(r.backend.ID, r.version)
		return
	}
	r.s.c.Fleet.Refused(r.backend.ID, reason)
}

// lost notes an attempt that failed after bytes were sent.
func (r *run) lost(a *engine.Attempt, err error) {
	s := r.s
	r.interrupted = true
	r.exclude = append(r.exclude, r.backend.ID)
	if a.From > 0 && a.Import == "" && errorx.IsOfType(err, engine.Lost) {
		r.record.Recomputed += a.From // its own count is lost with it
	}
	if r.isLeaving() {
		r.free = true
		r.report(true, ExcusedReclaim)
		return
	}
	r.versionFailed = true
	excused := ""
	if r.suspect {
		excused = ExcusedSuspect
	}
	s.c.Fleet.Refused(r.backend.ID, "failed")
	switch {
	case errorx.IsOfType(err, engine.Stalled):
		s.cancel(a)
	case errorx.IsOfType(err, engine.Lost):
		if fps := s.flying.crashed(r.backend.ID, r, s.c.Now()); len(fps) > 0 {
			s.c.Poison.Crash(r.backend.ID, r.backend.Incarnation, fps)
		}
	}
	r.report(true, excused)
}

func (r *run) isLeaving() bool {
	select {
	case <-r.leaving:
		return true
	default:
		return false
	}
}

// report records the attempt as evidence.
func (r *run) report(failed bool, excused string) {
	between := time.Duration(0)
	if r.tokens > 1 {
		between = r.waited / time.Duration(r.tokens-1)
	}
	o := r.p.objective
	slow := o.FirstToken > 0 && r.first > o.FirstToken || o.BetweenTokens > 0 && between > o.BetweenTokens
	r.record.Slow = r.record.Slow || slow
	r.s.c.Recorder.Attempt(&Attempt{
		Workspace: r.g.workspace, Entry: r.g.entry, Move: r.move, Step: r.step, Version: r.version, Route: r.g.route, Backend: r.backend.ID,
		Load: loadLevel(&r.backend), Failed: failed, Slow: slow, Excused: excused,
		FirstToken: r.first, Between: between, Tokens: r.tokens,
	})
}

// loadLevel is the level of a server's load when it was chosen.
func loadLevel(b *route.Backend) uint8 {
	load := 4 * (b.Running + b.Queued)
	switch {
	case b.Capacity <= 0 || load < 2*b.Capacity:
		return evidence.LoadLight
	case load < 3*b.Capacity:
		return evidence.LoadHalf
	}
	return evidence.LoadFull
}

// cancel stops an attempt at its engine, in the background.
func (s *Server) cancel(a *engine.Attempt) {
	select {
	case s.cancels <- struct{}{}:
	default:
		return // the closed connection tells the engine too
	}
	address, id := a.Address, a.ID
	s.cleanup.Go(func() {
		defer func() { <-s.cancels }()
		s.c.Engine.Cancel(context.Background(), address, id)
	})
}
