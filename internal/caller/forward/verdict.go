package forward

import (
	"net/http"
	"sync"
	"time"
)

// verdict records an attempt as evidence about the version of its server: once as
// soon as it is known whether the answer is slow, and at the end if it failed. A
// slow stream may last longer than a whole move, so evidence that waits for its
// end comes too late.
type verdict struct {
	versions Versions
	choice   VersionChoice
	result   VersionResult // without the outcome
	late     *time.Timer   // nil if lateness is not observed

	mu       sync.Mutex
	recorded bool
}

// newVerdict returns the verdict on an attempt that begins now. While a move is in
// progress, the attempt is recorded as late once the route's objective has passed
// without a first byte.
func (e *exchange) newVerdict(a *attempt) *verdict {
	v := &verdict{
		versions: e.config.Versions, choice: e.versionChoice,
		result: VersionResult{Service: e.service, Route: e.route.Name, New: a.server.Version == e.versionChoice.NewVersion},
	}
	if v.choice.Move != "" && e.route.Objective > 0 {
		ctx := e.r.Context()
		v.late = time.AfterFunc(e.route.Objective, func() {
			if ctx.Err() == nil {
				v.recordAnswer(true, 0, false)
			}
		})
	}
	return v
}

// stopLate ends the wait for the first byte: it came, or the attempt ended.
func (v *verdict) stopLate() {
	if v.late != nil {
		v.late.Stop()
	}
}

// recordAnswer records that the server answers, late or at the given pace, unless
// the attempt is already recorded.
func (v *verdict) recordAnswer(late bool, pace time.Duration, isStream bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.recorded {
		return
	}
	v.recorded = true
	r := v.result
	r.Late, r.Pace, r.Stream = late, pace, isStream
	v.versions.RecordResult(v.choice, r)
}

// recordFailure records that the attempt failed.
func (v *verdict) recordFailure() {
	r := v.result
	r.Failed = true
	v.versions.RecordResult(v.choice, r)
}

// recordEnd records the attempt at its end. It skips an attempt in which the server
// did not run the request, one that a lack of memory has ended, and one that is excused.
// Any status but a success is a failure here: errors of clients meet both versions alike,
// and a version that rejects what the old one serves is a bad one.
func (e *exchange) recordEnd(a *attempt) {
	a.verdict.stopLate()
	if a.outcome == outcomeNotRun || a.outcome == outcomeUnreachable || a.outcome == outcomeDropped || e.excused(a) {
		return
	}
	if a.outcome != outcomeAnswered || a.status >= http.StatusMultipleChoices {
		a.verdict.recordFailure()
		return
	}
	a.verdict.recordAnswer(false, a.paceOfAnswer(), a.isStream)
}
