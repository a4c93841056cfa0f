package front

import (
	"testing"
	"time"
)

// Guards against a server that left and still gets requests two seconds later
// because the store had failed a call shortly before.
func TestServerThatLeftIsNotKept(t *testing.T) {
	const leave = 2 * time.Second // after which requests must not reach it
	now := time.Unix(1000, 0)
	tests := []struct {
		name    string
		trouble time.Time
		keep    bool
	}{
		{"store never failed", time.Time{}, false},
		{"store failed 1.2 s ago", now.Add(-1200 * time.Millisecond), false},
		{"store failed just now", now.Add(-100 * time.Millisecond), true},
	}
	for _, tt := range tests {
		until := keepUntil(now, tt.trouble)
		if got := !until.IsZero(); got != tt.keep {
			t.Errorf("%s: kept until %v, want kept %v", tt.name, until, tt.keep)
		}
		if until.Sub(now) >= leave && tt.keep {
			t.Errorf("%s: kept for %v, want less than %v", tt.name, until.Sub(now), leave)
		}
	}
}
