package matrix

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/load"
	"wasabiworks.example/wasabiworks/internal/operator/admin"
)

const (
	// effectBound is the time within which a revision must be in effect on all
	// reachable instances (section 1.4).
	effectBound = 4 * time.Second
	// rollbackBound is the time within which a rollback must reach all reachable
	// instances: one period of the exchange of state between failure domains
	// (section 5.6). The veto that causes the rollback is sent immediately, so it
	// arrives within this time.
	rollbackBound = 2 * time.Second
	// leavingBound is the time after which a leaving server must get no new work.
	leavingBound = 5 * time.Second
	// settleTime allows requests that are in flight to arrive. It is also the time
	// between two faults, and half of it is the tolerance for the end of a move.
	settleTime = time.Second
)

// checkAll makes the checks that are common to all cells, then those of the cell.
func (t *trial) checkAll(ctx context.Context) {
	t.checkResponses()
	t.checkRevisions()
	if !t.cell.noMove {
		t.checkMove()
	}
	if t.cell.verify != nil {
		t.cell.verify(ctx, t)
	}
}

func (t *trial) checkResponses() {
	r := t.report
	o := r.Total.Outcomes
	wrong := o[load.OutcomeWrong] - r.RejectedAndRan
	t.check(CorrectResponse, wrong == 0, "%d wrong responses: %s", wrong, details(r))
	t.check(CorrectResponse, o[load.OutcomeUnsent] == 0, "%d requests were not sent", o[load.OutcomeUnsent])
	atKilled, elsewhere := 0, 0
	for address, n := range r.Lost {
		if slices.Contains(t.killed, address) {
			atKilled += n
		} else {
			elsewhere += n
		}
	}
	t.check(CorrectResponse, elsewhere == 0, "%d responses were cut off at entry instances that were not killed: %s", elsewhere, details(r))
	if len(t.killed) > 0 {
		t.note("%d responses of the killed entry instance were cut off", atKilled)
	}
	t.check(RejectedNotRun, r.RejectedAndRan == 0, "%d requests were rejected as not run and ran: %s", r.RejectedAndRan, details(r))
	t.check(RejectedNotRun, r.RunCheck == "complete", "comparison with the run logs is %s, want complete", r.RunCheck)
	bookings := r.Classes["booking"]
	t.check(AtMostOnce, o[load.OutcomeDoubled] == 0, "%d bookings ran twice: %s", o[load.OutcomeDoubled], details(r))
	t.check(AtMostOnce, bookings.Outcomes[load.OutcomeAnswered] > 0 && r.Resent > 0, "no booking was answered or none was sent again")
	t.checkAnswered(atKilled)
	if n := t.report.UnansweredKeys; n > 0 {
		t.note("%d bookings were never answered", n)
	}
	t.note("%d calls (%d bookings, %d sent again): %s; codes %v", r.Total.Sent, bookings.Sent, r.Resent, outcomes(o), r.Codes)
}

// checkAnswered checks that requests that the fault does not affect are
// answered. A rejected request was not accepted, so only requests with an unknown
// outcome count as violations of SurvivesReclaim.
func (t *trial) checkAnswered(atKilled int) {
	g := CorrectResponse
	if t.cell.unknownViolatesReclaim {
		g = SurvivesReclaim
	}
	notRun, unknown := 0, 0
	for name, c := range t.report.Classes {
		if name != "booking" {
			notRun += c.Outcomes[load.OutcomeNotRun]
			unknown += c.Outcomes[load.OutcomeUnknown]
		}
	}
	booked := t.report.Classes["booking"].Outcomes
	if t.cell.completionFailureReason == "" {
		t.check(g, unknown <= atKilled, "%d completions have an unknown outcome; codes %v", unknown, t.report.Codes)
		t.check(CorrectResponse, notRun <= atKilled, "%d completions were rejected; codes %v", notRun, t.report.Codes)
	}
	if t.cell.bookingFailureReason == "" {
		// The outcome of a call is legitimately unknown while an earlier call
		// with the same key runs. The caller retries it.
		pending := t.report.Codes["call_pending"]
		t.check(g, booked[load.OutcomeUnknown]-pending <= atKilled, "%d bookings have an unknown outcome; codes %v", booked[load.OutcomeUnknown], t.report.Codes)
		t.check(CorrectResponse, booked[load.OutcomeNotRun] <= atKilled, "%d bookings were rejected; codes %v", booked[load.OutcomeNotRun], t.report.Codes)
		t.check(CorrectResponse, t.report.UnansweredKeys <= atKilled, "%d bookings were never answered; codes %v", t.report.UnansweredKeys, t.report.Codes)
	}
}

func (t *trial) checkRevisions() {
	for _, id := range t.sampler.instanceIDs() {
		have := int64(0)
		for _, s := range t.sampler.samplesOf(id) {
			// This includes restarts: a new incarnation must not become ready with
			// a lower revision.
			if s.status.Ready {
				t.check(RevisionEffective, s.status.CatalogueRevision >= have, "%s went from revision %d to %d", id, have, s.status.CatalogueRevision)
				have = max(have, s.status.CatalogueRevision)
			}
		}
		for _, a := range t.appliedRevisions[1:] {
			t.checkRevisionEffect(id, a)
		}
	}
}

func (t *trial) checkRevisionEffect(id string, a appliedRevision) {
	from, ok := t.sampler.reachableFrom(id, a.at, effectBound)
	if !ok {
		return
	}
	at, found := t.sampler.firstMatch(id, time.Time{}, func(s sample) bool { return s.status.CatalogueRevision >= a.revision })
	took := at.Sub(from)
	t.check(RevisionEffective, found && took <= effectBound, "revision %d took %v on %s (found: %v), want at most %v", a.revision, took, id, found, effectBound)
}

// moveEnded reports whether the move is done or rolled back in a sample.
func moveEnded(s sample) bool {
	m, ok := s.move()
	return ok && (m.Phase == admin.PhaseDone || m.Phase == admin.PhaseRolledBack)
}

func moveRolledBack(s sample) bool {
	m, ok := s.move()
	return ok && m.Phase == admin.PhaseRolledBack && m.Share == 0
}

// checkMove checks that the move ended by its deadline on each reachable
// instance, and in the same phase on all.
func (t *trial) checkMove() {
	phases := make(map[string]int)
	for _, id := range t.sampler.instanceIDs() {
		from, ok := t.sampler.reachableFrom(id, t.deadline, 0)
		if !ok {
			continue
		}
		// An instance that was unreachable at the deadline gets the time of one
		// exchange of state with its peers after its return.
		bound := from
		if from.After(t.deadline) {
			bound = from.Add(rollbackBound)
		}
		at, found := t.sampler.firstMatch(id, time.Time{}, moveEnded)
		t.check(MoveDeadline, found && !at.After(bound.Add(samplePeriod+settleTime/2)), "%s: move ended %v after the deadline (found: %v)", id, at.Sub(t.deadline), found)
		if samples := t.sampler.samplesOf(id); len(samples) > 0 {
			m, _ := samples[len(samples)-1].move()
			phases[m.Phase]++
		}
	}
	t.note("move: %v", phases)
	t.check(MoveDeadline, len(phases) <= 1, "the move ended in different phases: %v", phases)
}

// checkRollback checks that each reachable instance rolled the move back before
// the move was done on that instance, and that the last instance did so at most
// rollbackBound after the first.
func (t *trial) checkRollback(ctx context.Context, injected time.Time) {
	var first, last time.Time
	for _, id := range t.sampler.instanceIDs() {
		at, ok := t.sampler.firstMatch(id, time.Time{}, moveRolledBack)
		if _, reachable := t.sampler.reachableFrom(id, injected, 0); !reachable {
			continue
		}
		t.check(BadVersionRollback, ok, "%s did not roll back", id)
		if !ok {
			continue
		}
		done, complete := t.sampler.firstMatch(id, time.Time{}, func(s sample) bool {
			m, ok := s.move()
			return ok && m.Phase == admin.PhaseDone
		})
		t.check(BadVersionRollback, !complete || at.Before(done), "%s sent all requests to the bad version for %v before it rolled back", id, at.Sub(done).Round(10*time.Millisecond))
		if first.IsZero() || at.Before(first) {
			first = at
		}
		if at.After(last) {
			last = at
		}
	}
	if first.IsZero() {
		return
	}
	t.check(BadVersionRollback, last.Sub(first) <= rollbackBound, "rollback took %v from the first to the last instance", last.Sub(first))
	t.note("rolled back %v after the fault, on the last instance %v later", first.Sub(injected).Round(10*time.Millisecond), last.Sub(first).Round(10*time.Millisecond))
}

func details(r *load.Report) string {
	return strings.Join(r.Details[:min(len(r.Details), 3)], " | ")
}

func outcomes(o map[load.Outcome]int) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(o)) {
		if o[k] > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", o[k], k))
		}
	}
	return strings.Join(parts, ", ")
}
