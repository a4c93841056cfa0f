package matrix

import (
	"testing"
	"time"
)

// Guards against checks that skip an instance that returns from an absence, or
// that count the absence as time that the instance took.
func TestReachableFrom(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	for _, tt := range []struct {
		name         string
		sampledSince int
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
		sp := newStatusSampler()
		sp.sampledSince["e"] = at(tt.sampledSince)
		sp.absences["e"] = tt.absences
		from, ok := sp.reachableFrom("e", start, 4*time.Second)
		if ok != tt.ok || !from.Equal(tt.from) {
			t.Errorf("%s: reachableFrom = %v, %v, want %v, %v", tt.name, from.Sub(start), ok, tt.from.Sub(start), tt.ok)
		}
	}
}
