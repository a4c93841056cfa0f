package gateway

import (
	"testing"
	"time"
)

// Guards against a server that still receives requests two seconds after it left
// because a call to the store failed shortly before it left.
func TestRemovedServerKeptOnlyAfterStoreFailure(t *testing.T) {
	const leave = 2 * time.Second // time after which it must receive no requests
	now := time.Unix(1000, 0)
	tests := []struct {
		name        string
		lastFailure time.Time
		keep        bool
	}{
		{"store never failed", time.Time{}, false},
		{"store failed 1.2 s ago", now.Add(-1200 * time.Millisecond), false},
		{"store failed just now", now.Add(-100 * time.Millisecond), true},
	}
	for _, tt := range tests {
		until := keepUntil(now, tt.lastFailure)
		if got := !until.IsZero(); got != tt.keep {
			t.Errorf("%s: kept until %v, want kept %v", tt.name, until, tt.keep)
		}
		if until.Sub(now) >= leave && tt.keep {
			t.Errorf("%s: kept for %v, want less than %v", tt.name, until.Sub(now), leave)
		}
	}
}
