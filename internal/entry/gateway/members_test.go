package gateway

import (
	"context"
	"strings"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/platform/store"
)

// Guards against instances that each use a whole allowance because the entries of
// the other instances lapsed while the store was unavailable.
func TestCountKeptWhileEntriesLapse(t *testing.T) {
	now := time.Unix(1000, 0)
	var r recentMax
	steps := []struct {
		after time.Duration
		set   int // -1 does not call set
		want  int
	}{
		{0, 9, 9},
		{time.Second, 0, 9},   // all entries lapsed
		{time.Second, 3, 9},   // some instances registered again
		{time.Second, 10, 10}, // an instance was added
		{time.Second, 4, 10},
		{countHold, -1, 4}, // the other instances did not register again
		{time.Second, 3, 4},
	}
	for n, s := range steps {
		now = now.Add(s.after)
		if s.set >= 0 {
			r.set(s.set, now, countHold)
		}
		if got := r.get(now); got != s.want {
			t.Errorf("step %d: got %d, want %d", n, got, s.want)
		}
	}
}

// listedStore lists the same items at each call.
type listedStore struct {
	store.Store
	items []store.Item
}

func (s listedStore) List(context.Context, string) ([]store.Item, int64, error) {
	return s.items, 1, nil
}

// Guards against an odd entry among those of the instances that hides the others
// from operators, or that counts as an instance although no peer can reach it.
func TestOddInstanceEntryNamesNoInstance(t *testing.T) {
	const valid = `{"id":"a","incarnation":1,"failure-domain":"z","peer-address":"10.0.0.1:80","capacity":1000}`
	tests := map[string]string{
		"not JSON":              `{"id":`,
		"deeply nested":         strings.Repeat("[", 1<<20),
		"ID of another":         strings.Replace(valid, `"a"`, `"b"`, 1),
		"no peer address":       strings.Replace(valid, `"peer-address"`, `"x"`, 1),
		"port out of range":     strings.Replace(valid, `:80`, `:70000`, 1),
		"port 0":                strings.Replace(valid, `:80`, `:0`, 1),
		"capacity too large":    strings.Replace(valid, `1000`, `1e999`, 1),
		"negative capacity":     strings.Replace(valid, `1000`, `-1`, 1),
		"incarnation too large": strings.Replace(valid, `"incarnation":1`, `"incarnation":1e30`, 1),
	}
	for name, entry := range tests {
		items := []store.Item{
			{Key: instancesPrefix + "a", Value: []byte(entry)},
			{Key: instancesPrefix + "c", Value: []byte(strings.Replace(valid, `"a"`, `"c"`, 1))},
		}
		listed, err := Registered(t.Context(), listedStore{items: items})
		if err != nil || len(listed) != 1 || listed[0].ID != "c" {
			t.Errorf("%s: listed instances %v and error %v, want c", name, listed, err)
		}
		f := newApplying()
		for _, item := range items {
			f.applyInstance(item)
		}
		if _, ok := f.registered["c"]; !ok || len(f.registered) != 1 {
			t.Errorf("%s: applied instances %v, want c", name, f.registered)
		}
	}
}

// Guards against allowances that are divided among the instances whose entries are left,
// while instances that are cut off from the store go on spending their part.
func TestAllowancesAreDividedAmongLapsedInstances(t *testing.T) {
	now := time.Unix(1000, 0)
	var r recentMax
	r.set(76, now, allowanceCountHold)
	now = now.Add(time.Hour)
	r.set(49, now, allowanceCountHold)
	for _, tt := range []struct {
		after time.Duration
		want  int
	}{{registrationTTL + countHold, 76}, {allowanceCountHold - 1, 76}, {allowanceCountHold, 49}} {
		if got := r.get(now.Add(tt.after)); got != tt.want {
			t.Errorf("%v after 27 entries lapsed: got %d instances, want %d", tt.after, got, tt.want)
		}
	}
}
