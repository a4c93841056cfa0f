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
	// effectBound is how long a revision may take to be in effect everywhere
	// (section 1.4).
	effectBound = 4 * time.Second
	// vetoBound is one period of the exchange between failure domains (section
	// 5.6); a veto is sent at once, so this is its latest arrival.
	vetoBound = 2 * time.Second
	// leavingBound is the time after which a leaving server gets no new work.
	leavingBound = 5 * time.Second
	// settle is the time for requests that are on their way.
	settle = time.Second
)

// checkAll checks what holds in every cell.
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
	wrong := o[load.Wrong] - r.RejectedAndRan
	t.check(OwnResponse, wrong == 0, "%d wrong responses: %s", wrong, details(r))
	t.check(OwnResponse, o[load.Unsent] == 0, "%d requests were not sent", o[load.Unsent])
	atKilled, elsewhere := 0, 0
	for address, n := range r.Lost {
		if slices.Contains(t.killed, address) {
			atKilled += n
		} else {
			elsewhere += n
		}
	}
	t.check(OwnResponse, elsewhere == 0, "%d responses were cut off at entry instances that were not killed: %s", elsewhere, details(r))
	if len(t.killed) > 0 {
		t.note("%d responses of the killed entry instance broke off", atKilled)
	}
	t.check(NotRun, r.RejectedAndRan == 0, "%d requests were rejected as not run and ran: %s", r.RejectedAndRan, details(r))
	t.check(NotRun, r.RunCheck == "complete", "run check is %s", r.RunCheck)
	bookings := r.Classes["booking"]
	t.check(AtMostOnce, o[load.Doubled] == 0, "%d bookings ran twice: %s", o[load.Doubled], details(r))
	t.check(AtMostOnce, bookings.Outcomes[load.Answered] > 0 && r.Resent > 0, "no booking was answered or none was sent again")
	t.checkAnswered(atKilled)
	if n := t.report.UnansweredKeys; n > 0 {
		t.note("%d bookings were never answered", n)
	}
	t.note("%d calls (%d bookings, %d sent again): %s; codes %v", r.Total.Sent, bookings.Sent, r.Resent, outcomes(o), r.Codes)
}

// checkAnswered checks that requests that the fault does not concern are
// answered. A request that is rejected was not accepted, so it counts against
// SurvivesReclaim only if its outcome is unknown.
func (t *trial) checkAnswered(atKilled int) {
	g := OwnResponse
	if t.cell.reclaims {
		g = SurvivesReclaim
	}
	notRun, unknown := 0, 0
	for name, c := range t.report.Classes {
		if name != "booking" {
			notRun += c.Outcomes[load.NotRun]
			unknown += c.Outcomes[load.Unknown]
		}
	}
	booked := t.report.Classes["booking"].Outcomes
	if t.cell.completionsFail == "" {
		t.check(g, unknown <= atKilled, "%d completions have an unknown outcome; codes %v", unknown, t.report.Codes)
		t.check(OwnResponse, notRun <= atKilled, "%d completions were rejected; codes %v", notRun, t.report.Codes)
	}
	if t.cell.bookingsFail == "" {
		// A call is truly unknown while an earlier one with its key runs; its
		// caller repeats it.
		pending := t.report.Codes["call_pending"]
		t.check(g, booked[load.Unknown]-pending <= atKilled, "%d bookings have an unknown outcome; codes %v", booked[load.Unknown], t.report.Codes)
		t.check(OwnResponse, booked[load.NotRun] <= atKilled, "%d bookings were rejected; codes %v", booked[load.NotRun], t.report.Codes)
		t.check(OwnResponse, t.report.UnansweredKeys <= atKilled, "%d bookings were never answered; codes %v", t.report.UnansweredKeys, t.report.Codes)
	}
}

func (t *trial) checkRevisions() {
	for _, id := range t.watch.ids() {
		have := int64(0)
		for _, s := range t.watch.of(id) {
			// A new incarnation must not be ready with a lower revision either.
			if s.status.Ready {
				t.check(Configuration, s.status.CatalogueRevision >= have, "%s went from revision %d to %d", id, have, s.status.CatalogueRevision)
				have = max(have, s.status.CatalogueRevision)
			}
		}
		for _, a := range t.applies[1:] {
			t.checkEffect(id, a)
		}
	}
}

func (t *trial) checkEffect(id string, a applied) {
	from, ok := t.watch.reachable(id, a.at, effectBound)
	if !ok {
		return
	}
	at, found := t.watch.first(id, time.Time{}, func(s sample) bool { return s.status.CatalogueRevision >= a.revision })
	took := at.Sub(from)
	t.check(Configuration, found && took <= effectBound, "revision %d took %v on %s (found: %v), want at most %v", a.revision, took, id, found, effectBound)
}

// ended reports whether the move is over in a sample.
func ended(s sample) bool {
	m, ok := s.move()
	return ok && (m.Phase == admin.PhaseDone || m.Phase == admin.PhaseRolledBack)
}

func rolledBack(s sample) bool {
	m, ok := s.move()
	return ok && m.Phase == admin.PhaseRolledBack && m.Share == 0
}

// checkMove checks the end of the move on each reachable instance.
func (t *trial) checkMove() {
	phases := make(map[string]int)
	for _, id := range t.watch.ids() {
		from, ok := t.watch.reachable(id, t.deadline, 0)
		if !ok {
			continue
		}
		// An instance that was away gets the time of an exchange.
		bound := from
		if from.After(t.deadline) {
			bound = from.Add(vetoBound)
		}
		at, found := t.watch.first(id, time.Time{}, ended)
		t.check(MoveEnds, found && !at.After(bound.Add(samplePeriod+settle/2)), "%s: move ended %v after the deadline (found: %v)", id, at.Sub(t.deadline), found)
		if ss := t.watch.of(id); len(ss) > 0 {
			m, _ := ss[len(ss)-1].move()
			phases[m.Phase]++
		}
	}
	t.note("move: %v", phases)
	t.check(MoveEnds, len(phases) <= 1, "instances differ on the end of the move: %v", phases)
}

// vetoed waits until the move is rolled back on all reachable instances, checks
// the time that it takes and that no attempt on the new version follows.
func (t *trial) vetoed(ctx context.Context, injected time.Time) {
	var first, last time.Time
	for _, id := range t.watch.ids() {
		at, ok := t.watch.first(id, time.Time{}, rolledBack)
		if _, reachable := t.watch.reachable(id, injected, 0); !reachable {
			continue
		}
		t.check(BadVersion, ok, "%s did not roll back", id)
		if !ok {
			continue
		}
		done, complete := t.watch.first(id, time.Time{}, func(s sample) bool {
			m, ok := s.move()
			return ok && m.Phase == admin.PhaseDone
		})
		t.check(BadVersion, !complete || at.Before(done), "%s gave the bad version all requests for %v before it rolled back", id, at.Sub(done).Round(10*time.Millisecond))
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
	t.check(BadVersion, last.Sub(first) <= vetoBound, "veto took %v from the first to the last instance", last.Sub(first))
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
