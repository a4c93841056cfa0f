package matrix

import (
	"testing"
	"time"
)

// Guards against checks that skip an instance that returns, or that count the
// time of its absence against it.
func TestReachable(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	for _, tt := range []struct {
		name     string
		joined   int
		absences []absence
		from     time.Time
		ok       bool
	}{
		{"always there", -10, nil, at(0), true},
		{"joined later", 3, nil, at(3), true},
		{"back before", -10, []absence{{at(-5), at(-1)}}, at(0), true},
		{"away meanwhile", -10, []absence{{at(-1), at(4)}}, at(4), true},
		{"leaves within the bound", -10, []absence{{at(3), at(8)}}, at(8), true},
		{"leaves after the bound", -10, []absence{{at(5), at(8)}}, at(0), true},
		{"gone before", -10, []absence{{at(-1), time.Time{}}}, time.Time{}, false},
		{"gone long after", -10, []absence{{at(60), time.Time{}}}, at(0), true},
	} {
		w := newWatch()
		w.joined["e"] = at(tt.joined)
		w.absences["e"] = tt.absences
		from, ok := w.reachable("e", start, 4*time.Second)
		if ok != tt.ok || !from.Equal(tt.from) {
			t.Errorf("%s: reachable = %v, %v, want %v, %v", tt.name, from.Sub(start), ok, tt.from.Sub(start), tt.ok)
		}
	}
}
