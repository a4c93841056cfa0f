package gateway

import (
	"testing"
	"time"
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
			r.set(s.set, now)
		}
		if got := r.get(now); got != s.want {
			t.Errorf("step %d: got %d, want %d", n, got, s.want)
		}
	}
}
