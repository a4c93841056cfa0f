package openai

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"
	"wasabiworks.example/wasabiworks/internal/backend/engine"
	"wasabiworks.example/wasabiworks/internal/decide/evidence"
)

// handleFailure prepares the next attempt after an attempt that ended with err. It
// records the result of the attempt if a server may have run it, unless the client
// disconnected.
func (d *driver) handleFailure(ctx context.Context, a *engine.Attempt, err error) {
	s := d.server
	switch {
	case errors.Is(err, errMigrated):
		s.cancelAttempt(a)
		d.interrupted = true
		d.uncharged = true
		d.exclude = append(d.exclude, d.backend.ID)
		d.recordAttempt(false, ExcusedReclaim)
	case d.isDropped(err), ctx.Err() != nil, errors.Is(err, errClientDisconnected):
		s.cancelAttempt(a)
	case engine.IsNotRun(err):
		d.handleRejection(engine.Reason(err))
	default:
		d.handleRunFailure(a, err)
	}
}

// handleRejection handles an attempt that was not run. A rejection is not
// evidence against the version.
func (d *driver) handleRejection(reason string) {
	if reason == engine.ReasonOverloaded {
		d.overloaded = append(d.overloaded, d.backend.ID)
	} else {
		d.exclude = append(d.exclude, d.backend.ID)
	}
	// The retry budget limits the load that retries add to failing servers. A
	// server that rejected the attempt because it is leaving, or that could not be
	// reached, ran nothing, so the retry does not add to its load and is not
	// charged.
	d.uncharged = reason == engine.ReasonLeaving || reason == engine.ReasonDial
	if reason == engine.ReasonVersion {
		d.server.config.Fleet.RecordVersionRejection(d.backend.ID, d.version)
		return
	}
	d.server.config.Fleet.RecordFailure(d.backend.ID, reason)
}

// handleRunFailure handles an attempt that failed or was lost after bytes were
// sent to the server.
func (d *driver) handleRunFailure(a *engine.Attempt, err error) {
	s := d.server
	d.interrupted = true
	d.exclude = append(d.exclude, d.backend.ID)
	if a.From > 0 && a.Import == "" && errorx.IsOfType(err, engine.Lost) {
		d.record.RecomputedTokens += a.From // the engine's count was lost with the rest of the response
	}
	if d.isLeaving() {
		d.uncharged = true
		d.recordAttempt(true, ExcusedReclaim)
		return
	}
	d.versionFailed = true
	excused := ""
	if d.suspect {
		excused = ExcusedSuspect
	}
	s.config.Fleet.RecordFailure(d.backend.ID, "failed")
	switch {
	case errorx.IsOfType(err, engine.Stalled):
		s.cancelAttempt(a)
	case errorx.IsOfType(err, engine.Lost):
		if fps := s.inFlight.recordCrash(d.backend.ID, d, s.config.Now()); len(fps) > 0 {
			s.config.Poison.Crash(d.backend.ID, d.backend.Incarnation, fps)
		}
	}
	d.recordAttempt(true, excused)
}

func (d *driver) isLeaving() bool {
	select {
	case <-d.leaving:
		return true
	default:
		return false
	}
}

// recordAttempt passes the result of the current attempt to the Recorder, as
// evidence on its version. excused is empty if a failure counts against the
// version.
func (d *driver) recordAttempt(failed bool, excused string) {
	between := time.Duration(0)
	if d.tokens > 1 {
		between = d.betweenTokens / time.Duration(d.tokens-1)
	}
	o := d.admitted.objective
	slow := o.FirstToken > 0 && d.firstToken > o.FirstToken || o.BetweenTokens > 0 && between > o.BetweenTokens
	d.record.Slow = d.record.Slow || slow
	d.server.config.Recorder.Attempt(&AttemptRecord{
		Workspace: d.generation.workspace, Entry: d.generation.entry, Move: d.move, Step: d.step, Version: d.version, Route: d.generation.route, Backend: d.backend.ID,
		Load: evidence.LoadLevel(d.backend.Running+d.backend.Queued, d.backend.Capacity), Failed: failed, Slow: slow, Excused: excused,
		FirstToken: d.firstToken, BetweenTokens: between, Tokens: d.tokens,
	})
}
