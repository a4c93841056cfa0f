package move

import (
	"testing"
	"time"
)

// Guards against a move to a version without servers (RECOVER), against one that is
// given up while there is time, and against requests that are refused because there is no
// other version to move from.
func TestDecisionWithoutServers(t *testing.T) {
	retained := plan()
	retained.Retained = true
	lastSlot := plan().KeepUntil.Add(-time.Second)
	for _, tt := range []struct {
		name  string
		state State
		at    time.Time
		share float64
		phase Phase
	}{
		{"waits for the new version", State{Plan: plan(), NewAbsent: true}, epoch.Add(59 * time.Minute), 0, Running},
		{"waits after the deadline", State{Plan: plan(), NewAbsent: true}, epoch.Add(61 * time.Minute), 0, Running},
		{"the new version is lost at share 1", State{Plan: plan(), NewAbsent: true, Previous: Decision{Share: 1, Step: observationStep}}, epoch.Add(61 * time.Minute), 0, Running},
		{"end of the time", State{Plan: plan(), NewAbsent: true}, lastSlot, 0, RolledBack},
		{"after the end, old version retained", State{Plan: retained, NewAbsent: true}, epoch.Add(5 * time.Hour), 0, RolledBack},
		{"after the end, old version gone", State{Plan: plan(), NewAbsent: true}, epoch.Add(5 * time.Hour), 1, Done},
		{"no other version", State{Plan: plan(), OldAbsent: true}, epoch.Add(time.Second), 1, Done},
		{"no server at all", State{Plan: plan(), OldAbsent: true, NewAbsent: true}, epoch.Add(time.Second), 0, Running},
		{"no answer of the new version", State{Plan: plan(), Evidence: counts{key("v1", 1): {Answered: 100}}}, epoch.Add(50 * time.Minute), 0.1, Running},
	} {
		if d := (Sequential{}).Decide(tt.state, tt.at); d.Share != tt.share || d.Phase != tt.phase {
			t.Errorf("%s: got share %v in phase %v, %q, want %v in %v", tt.name, d.Share, d.Phase, d.Reason, tt.share, tt.phase)
		}
	}
}

// Guards against requests of a crashed old version that go to one that is not proved, and
// against an old version that is waited for when there never was one.
func TestPresenceOfOldVersion(t *testing.T) {
	var p Presence
	if newAbsent, oldAbsent := p.Observe("s", false, true, epoch); newAbsent || !oldAbsent {
		t.Errorf("new version only: got absent %v, %v, want only the old one", newAbsent, oldAbsent)
	}
	p.Observe("s", true, true, epoch)
	if _, oldAbsent := p.Observe("s", false, true, epoch.Add(oldAbsentAfter)); oldAbsent {
		t.Error("the old version is absent while its servers may come back")
	}
	if _, oldAbsent := p.Observe("s", false, true, epoch.Add(oldAbsentAfter+1)); !oldAbsent {
		t.Error("the old version is not absent after its servers are gone for good")
	}
	started := Presence{Start: epoch}
	if _, oldAbsent := started.Observe("s", false, true, epoch.Add(time.Second)); oldAbsent {
		t.Error("the old version is absent before its servers were discovered")
	}
}
