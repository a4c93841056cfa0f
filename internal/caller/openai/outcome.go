package openai

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"
	"wasabiworks.example/wasabiworks/internal/backend/engine"
	"wasabiworks.example/wasabiworks/internal/decide/evidence"
)

// failed draws the consequences of an attempt that did not complete.
func (r *run) failed(ctx context.Context, a *engine.Attempt, err error) {
	s := r.s
	switch {
	case errors.Is(err, errMoved):
		s.cancel(a)
		r.interrupted = true
		r.free = true
		r.exclude = append(r.exclude, r.backend.ID)
		r.report(false, ExcusedReclaim)
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
		Load: evidence.LoadLevel(r.backend.Running+r.backend.Queued, r.backend.Capacity), Failed: failed, Slow: slow, Excused: excused,
		FirstToken: r.first, Between: between, Tokens: r.tokens,
	})
}
