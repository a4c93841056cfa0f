package gateway

import (
	"strconv"
	"testing"

	"wasabiworks.example/wasabiworks/internal/platform/follow"
	"wasabiworks.example/wasabiworks/internal/platform/store"
)

// Guards against a process that takes a large part of the retry slack, because it counts the
// few instances whose entries have not lapsed.
func TestInstancesAreCountedThoughTheirEntriesHaveLapsed(t *testing.T) {
	f := newApplying()
	f.config.Format.MovesPrefix = "moves/"
	f.apply(follow.Change{Complete: true, Revision: 9, Items: []store.Item{{Key: fleetSizeKey, Value: []byte("76"), Revision: 5}}})
	if n := f.instanceCount(); n != 76 {
		t.Errorf("got %d instances, want 76", n)
	}
	for _, odd := range []string{"", "x", "-1", "0", "1e3", strconv.Itoa(maxFleetSize + 1)} {
		f.apply(follow.Change{Items: []store.Item{{Key: fleetSizeKey, Value: []byte(odd), Revision: 10}}})
		if n := f.instanceCount(); n != 1 {
			t.Errorf("stored number %q: got %d instances, want 1", odd, n)
		}
	}
}

// Guards against a process that takes itself for fresh although its entry shows that another
// one ran before it.
func TestEntryOfAnEarlierProcessShowsARestart(t *testing.T) {
	f := newApplying()
	f.config.Format.MovesPrefix = "moves/"
	f.config.ID, f.incarnation = "edge-1", 7
	entry := func(incarnation string) store.Item {
		return store.Item{Key: instancesPrefix + "edge-1", Value: []byte(`{"id":"edge-1","incarnation":` + incarnation + `,"peer-address":"127.0.0.1:1"}`), Revision: 3}
	}
	f.apply(follow.Change{Items: []store.Item{entry("7")}})
	if f.restarted.Load() {
		t.Error("the own entry counts as that of an earlier process")
	}
	f.apply(follow.Change{Items: []store.Item{entry("6")}})
	if !f.restarted.Load() {
		t.Error("the entry of an earlier process does not count")
	}
}
