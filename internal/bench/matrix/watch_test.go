package matrix

import (
	"testing"
	"time"
)

// Guards against checks that skip an instance that returns from an absence, or
// that include the absence in the time measured for it.
func TestReachable(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	for _, tt := range []struct {
		name         string
		watchedSince int
		absences     []absence
		from         time.Time
		ok           bool
	}{
		{"always reachable", -10, nil, at(0), true},
		{"added later", 3, nil, at(3), true},
		{"returned before", -10, []absence{{at(-5), at(-1)}}, at(0), true},
		{"absent at the start", -10, []absence{{at(-1), at(4)}}, at(4), true},
		{"absence starts within the bound", -10, []absence{{at(3), at(8)}}, at(8), true},
		{"absence starts after the bound", -10, []absence{{at(5), at(8)}}, at(0), true},
		{"absent without return", -10, []absence{{at(-1), time.Time{}}}, time.Time{}, false},
		{"absent without return after the bound", -10, []absence{{at(60), time.Time{}}}, at(0), true},
	} {
		w := newWatch()
		w.watchedSince["e"] = at(tt.watchedSince)
		w.absences["e"] = tt.absences
		from, ok := w.reachableFrom("e", start, 4*time.Second)
		if ok != tt.ok || !from.Equal(tt.from) {
			t.Errorf("%s: reachableFrom = %v, %v, want %v, %v", tt.name, from.Sub(start), ok, tt.from.Sub(start), tt.ok)
		}
	}
}
