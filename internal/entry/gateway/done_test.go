package gateway

import (
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/move"
)

// Guards against a version whose failures are seen only between the record that its move
// is done and the report, and are ignored because the outcome is recorded (EXPOSURE).
func TestVersionThatFailsBeforeTheReportIsRolledBack(t *testing.T) {
	now := time.Now()
	record := moveRecord{ID: "move/s/v2/3", Service: "s", To: "v2", Start: now.Add(-9 * time.Second), Deadline: now.Add(-time.Second), Finish: now.Add(2 * time.Second), State: MoveDone}
	bad, good := evidence.Count{Answered: 6, Failed: 6}, evidence.Count{Answered: 12}
	for _, tt := range []struct {
		name     string
		count    evidence.Count
		isHolder bool
		at       time.Time
		want     MoveState
	}{
		{"holder of the duty", bad, true, now, MoveRolledBack},
		{"another instance", bad, false, now, MoveDone},
		{"good version", good, true, now, MoveDone},
		{"after the report", bad, true, now.Add(2 * time.Second), MoveDone},
	} {
		f, s := newApplying(), &committedStore{}
		f.config.Store = s
		m := newMover(f)
		f.counters.Add("a", evidence.Key{Move: record.ID, Version: oldVersion, Route: "rare", Step: 4}, evidence.Count{Answered: 20})
		f.counters.Add("a", evidence.Key{Move: record.ID, Version: "v2", Route: "rare", Step: 10}, tt.count)
		m.orders["s"] = receivedOrder{MoveOrder: MoveOrder{Service: "s", To: "v2", Within: 12 * time.Second}, revision: 3}
		m.records["s"] = storedMove{moveRecord: record, revision: 5}
		m.reportedStatus["s"] = record.ID + string(MoveRunning)
		state := move.State{Plan: move.Plan{ID: record.ID, From: oldVersion, To: "v2", Start: record.Start, Deadline: record.Deadline, KeepUntil: record.Finish, Retained: true}}
		d := m.decideRecorded(MoveDone, state, tt.isHolder, tt.at)
		if share := map[MoveState]float64{MoveDone: 1}[tt.want]; d.Share != share {
			t.Errorf("%s: share %v, %q, want %v", tt.name, d.Share, d.Reason, share)
		}
		m.active.Store(&map[string]activeMove{"s": {moveRecord: record, decision: d}})
		if tt.isHolder && tt.at.Before(record.Finish) {
			m.recordMoves(t.Context(), tt.at)
		}
		if got := m.records["s"].State; got != tt.want {
			t.Errorf("%s: recorded %q, want %q", tt.name, got, tt.want)
		}
	}
}
