package openai

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"
	"wasabiworks.example/wasabiworks/internal/backend/engine"
	"wasabiworks.example/wasabiworks/internal/decide/evidence"
)

// handleFailure prepares the next attempt and reports the failure after an
// attempt that ended with err.
func (r *driver) handleFailure(ctx context.Context, a *engine.Attempt, err error) {
	s := r.server
	switch {
	case errors.Is(err, errMoved):
		s.cancelAttempt(a)
		r.interrupted = true
		r.uncharged = true
		r.exclude = append(r.exclude, r.backend.ID)
		r.recordAttempt(false, ExcusedReclaim)
	case ctx.Err() != nil || errors.Is(err, errClientGone):
		s.cancelAttempt(a)
	case engine.IsNotRun(err):
		r.handleRejection(engine.Reason(err))
	default:
		r.handleLoss(a, err)
	}
}

// handleRejection handles an attempt that was not run. A rejection is not
// evidence against the version.
func (r *driver) handleRejection(reason string) {
	if reason == engine.ReasonOverloaded {
		r.overloaded = append(r.overloaded, r.backend.ID)
	} else {
		r.exclude = append(r.exclude, r.backend.ID)
	}
	// A server that could not be reached received nothing, so a further attempt
	// does not add to its load.
	r.uncharged = reason == engine.ReasonLeaving || reason == engine.ReasonDial
	if reason == engine.ReasonVersion {
		r.server.config.Fleet.RefusedVersion(r.backend.ID, r.version)
		return
	}
	r.server.config.Fleet.Refused(r.backend.ID, reason)
}

// handleLoss handles an attempt that failed after bytes were sent to the server.
func (r *driver) handleLoss(a *engine.Attempt, err error) {
	s := r.server
	r.interrupted = true
	r.exclude = append(r.exclude, r.backend.ID)
	if a.From > 0 && a.Import == "" && errorx.IsOfType(err, engine.Lost) {
		r.record.Recomputed += a.From // the engine's count was lost with the rest of the response
	}
	if r.isLeaving() {
		r.uncharged = true
		r.recordAttempt(true, ExcusedReclaim)
		return
	}
	r.versionFailed = true
	excused := ""
	if r.suspect {
		excused = ExcusedSuspect
	}
	s.config.Fleet.Refused(r.backend.ID, "failed")
	switch {
	case errorx.IsOfType(err, engine.Stalled):
		s.cancelAttempt(a)
	case errorx.IsOfType(err, engine.Lost):
		if fps := s.inFlight.recordCrash(r.backend.ID, r, s.config.Now()); len(fps) > 0 {
			s.config.Poison.Crash(r.backend.ID, r.backend.Incarnation, fps)
		}
	}
	r.recordAttempt(true, excused)
}

func (r *driver) isLeaving() bool {
	select {
	case <-r.leaving:
		return true
	default:
		return false
	}
}

// recordAttempt passes the result of the current attempt to the Recorder.
func (r *driver) recordAttempt(failed bool, excused string) {
	between := time.Duration(0)
	if r.tokens > 1 {
		between = r.betweenTokens / time.Duration(r.tokens-1)
	}
	o := r.response.objective
	slow := o.FirstToken > 0 && r.firstToken > o.FirstToken || o.BetweenTokens > 0 && between > o.BetweenTokens
	r.record.Slow = r.record.Slow || slow
	r.server.config.Recorder.Attempt(&Attempt{
		Workspace: r.generation.workspace, Entry: r.generation.entry, Move: r.move, Step: r.step, Version: r.version, Route: r.generation.route, Backend: r.backend.ID,
		Load: evidence.LoadLevel(r.backend.Running+r.backend.Queued, r.backend.Capacity), Failed: failed, Slow: slow, Excused: excused,
		FirstToken: r.firstToken, Between: between, Tokens: r.tokens,
	})
}
