package move

import (
	"testing"
	"time"
)

// Guards against a pace that is judged by too few answers, by those of a past
// load, or by a few exceptional ones.
func TestPace(t *testing.T) {
	tests := []struct {
		name   string
		paces  []time.Duration // each for eight answers, oldest first
		answer time.Duration
		want   bool
	}{
		{"nothing known", nil, time.Hour, false},
		{"four times slower", []time.Duration{20}, 80, true},
		{"twice as slow", []time.Duration{20}, 40, false},
		{"old version slow by now", []time.Duration{20, 80, 80, 80}, 100, false},
		{"some answers slow", []time.Duration{20, 20, 20, 900}, 80, true},
		{"slow long ago", []time.Duration{900, 20, 20, 20, 20}, 80, true},
	}
	for _, test := range tests {
		var p Pace
		for _, d := range test.paces {
			for range minPaceSamples {
				p.Add(d)
			}
		}
		if got := p.IsSlow(test.answer, SlowResponseRatio); got != test.want {
			t.Errorf("%s: an answer after %d is slow: %v, want %v", test.name, test.answer, got, test.want)
		}
	}
	var p Pace
	for range minPaceSamples - 1 {
		p.Add(20)
	}
	if p.IsSlow(time.Hour, SlowResponseRatio) {
		t.Errorf("an answer is slow by %d answers, want at least %d", minPaceSamples-1, minPaceSamples)
	}
}
