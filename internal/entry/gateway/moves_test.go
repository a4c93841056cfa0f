package gateway

import (
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/caller/forward"
	"wasabiworks.example/wasabiworks/internal/decide/evidence"
)

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
