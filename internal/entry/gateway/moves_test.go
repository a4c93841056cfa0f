package gateway

import (
	"slices"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/caller/forward"
	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/platform/store"
)

// Guards against a good version that is reported as complete only after its time
// limit, because each step to the report takes a part of a second.
func TestMoveIsReportedWithinItsTime(t *testing.T) {
	const arrival, write = 200 * time.Millisecond, 100 * time.Millisecond
	received := time.Unix(1000, 0)
	for _, within := range []time.Duration{10 * time.Second, 15 * time.Second, time.Hour} {
		r := newMoveRecord("m", receivedOrder{MoveOrder: MoveOrder{Service: "s", To: "v2", Within: within}, receivedAt: received})
		reported := r.Finish.Add(2*movePeriod + write)
		if limit := received.Add(within - arrival); reported.After(limit) {
			t.Errorf("time limit %v: reported %v after it", within, reported.Sub(limit))
		}
		if !r.Deadline.After(r.Start) || r.Finish.Sub(r.Deadline) != settleTime {
			t.Errorf("time limit %v: got record %+v, want the deadline %v before the finish", within, r, settleTime)
		}
	}
}

// Guards against a new version that is several times slower than the old one but
// meets the route's objective, and is therefore taken for a good one.
func TestSlowVersionWithinObjectiveIsCountedSlow(t *testing.T) {
	const oldPace = 20 * time.Millisecond
	running := forward.VersionChoice{Move: "m", NewVersion: "v2", Step: 1}
	tests := []struct {
		name   string
		result forward.VersionResult
		want   evidence.Count
	}{
		{"several times slower", forward.VersionResult{New: true, Pace: 4 * oldPace}, evidence.Count{Answered: 1, Slow: 1}},
		{"stream, more than twice as slow", forward.VersionResult{New: true, Stream: true, Pace: 5 * oldPace / 2}, evidence.Count{Answered: 1, Slow: 1}},
		{"stream, somewhat slower", forward.VersionResult{New: true, Stream: true, Pace: 2 * oldPace}, evidence.Count{Answered: 1}},
		{"somewhat slower", forward.VersionResult{New: true, Pace: 2 * oldPace}, evidence.Count{Answered: 1}},
		{"unknown pace", forward.VersionResult{New: true}, evidence.Count{Answered: 1}},
		{"old version, once", forward.VersionResult{Pace: 4 * oldPace}, evidence.Count{Answered: 1, Slow: 1}},
		{"late", forward.VersionResult{New: true, Late: true}, evidence.Count{Answered: 1, Slow: 1}},
	}
	for _, test := range tests {
		f := &Instance{node: "edge-1/1"}
		m := newMover(f)
		for range 20 {
			m.RecordResult(forward.VersionChoice{}, forward.VersionResult{Service: "s", Route: "chat", Pace: oldPace})
		}
		test.result.Service, test.result.Route = "s", "chat"
		m.RecordResult(running, test.result)
		k := evidence.Key{Move: "m", Version: oldVersion, Route: "chat", Step: 1}
		if test.result.New {
			k.Version = "v2"
		}
		if got := f.counters.Totals("m")[k]; got != test.want {
			t.Errorf("%s: counted %+v, want %+v", test.name, got, test.want)
		}
	}
}

// Guards against a version that served all along and is rejected, so that an unproved one
// gets all requests, because it was ordered back and another order followed.
func TestRejectedVersionsOfTheNextMove(t *testing.T) {
	for _, tt := range []struct {
		name     string
		previous moveRecord
		to       string
		baseline string
		rejected []string
	}{
		{"first move", moveRecord{}, "v2", "v1", nil},
		{"after one that is done", moveRecord{ID: "m", To: "v2", State: MoveDone, Baseline: "v1"}, "v3", "v2", nil},
		{"after a rollback", moveRecord{ID: "m", To: "v2", State: MoveRolledBack, Baseline: "v1"}, "v3", "v1", []string{"v2"}},
		{"rolled back and ordered again", moveRecord{ID: "m", To: "v2", State: MoveRolledBack, Baseline: "v1"}, "v2", "v1", nil},
		{"replaced while in progress", moveRecord{ID: "m", To: "v2", State: MoveRunning, Baseline: "v1"}, "v3", "v1", []string{"v2"}},
		{"ordered back", moveRecord{ID: "m", To: "v2", State: MoveRunning, Baseline: "v1"}, "v1", "v1", []string{"v2"}},
		{"after it was ordered back", moveRecord{ID: "m", To: "v1", State: MoveRunning, Baseline: "v1", Rejected: rejectedVersions{"v2"}}, "v3", "v1", []string{"v2"}},
		{"record without a baseline", moveRecord{ID: "m", To: "v1", State: MoveRunning}, "v3", "v1", nil},
	} {
		baseline, rejected := tt.previous.following(tt.to, "v1")
		if baseline != tt.baseline || !slices.Equal(rejected.list(), tt.rejected) {
			t.Errorf("%s: got baseline %q and rejected versions %v, want %q and %v", tt.name, baseline, rejected.list(), tt.baseline, tt.rejected)
		}
	}
}

// Guards against a move that begins again because the store came back from a copy and the
// operator's order was written again, and against a later order that is ignored.
func TestOrderWrittenAgainIsTheSameOrder(t *testing.T) {
	era := func(n, revision int64) int64 { return n<<44 | revision }
	order := func(to string) MoveOrder { return MoveOrder{Service: "s", To: to, Within: time.Minute} }
	type write struct {
		to       string
		revision int64
		isNew    bool
	}
	for _, tt := range []struct {
		name   string
		writes []write
	}{
		{"lost and written again", []write{{"v2", era(1, 50), true}, {"v2", era(2, 40), false}}},
		{"kept by the copy", []write{{"v2", era(1, 50), true}, {"v2", era(2, 50), false}}},
		{"kept by the copy and written again", []write{{"v2", era(1, 50), true}, {"v2", era(2, 50), false}, {"v2", era(2, 60), false}}},
		{"ordered once more afterwards", []write{{"v2", era(1, 50), true}, {"v2", era(2, 40), false}, {"v2", era(2, 60), true}}},
		{"the copy has the order before", []write{{"v2", era(1, 30), true}, {"v3", era(1, 50), true}, {"v2", era(2, 30), false}, {"v3", era(2, 40), false}}},
		{"another order in the new era", []write{{"v2", era(1, 50), true}, {"v3", era(2, 40), true}}},
		{"the same order in the same era", []write{{"v2", era(1, 50), true}, {"v2", era(1, 60), true}}},
		{"a store without eras", []write{{"v2", 50, true}, {"v2", 60, true}}},
	} {
		f := newApplying()
		m := newMover(f)
		for n, w := range tt.writes {
			f.config.Format.DecodeMove = func(string, []byte) (MoveOrder, error) { return order(w.to), nil }
			before := moveID(m.orders["s"])
			m.applyOrder(store.Item{Key: "s", Revision: w.revision})
			if isNew := moveID(m.orders["s"]) != before; isNew != w.isNew {
				t.Errorf("%s, write %d: got a new order %v, want %v", tt.name, n, isNew, w.isNew)
			}
		}
	}
}
