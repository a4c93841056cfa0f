package gateway

import (
	"errors"
	"testing"
	"time"
)

// Guards against an order that is repeated although the cloud keeps to it, against
// one that was never accepted and is given up, and against calls every other second
// while no server is to be had.
func TestOrdersAreRepeatedOnlyUntilAccepted(t *testing.T) {
	refused := errors.New("no server is available")
	now := time.Unix(1000, 0)
	tests := []struct {
		name    string
		desired int
		err     error
		want    time.Duration // until the order is sent again
	}{
		{"refused", 4, refused, minRetryDelay},
		{"refused again", 4, refused, 2 * minRetryDelay},
		{"refused a third time", 4, refused, 4 * minRetryDelay},
		{"refused a fourth time", 4, refused, maxRetryDelay},
		{"accepted", 4, nil, repeatDelay},
		{"repetition refused", 4, refused, repeatDelay},
		{"another number refused", 5, refused, minRetryDelay},
		{"another number accepted", 5, nil, repeatDelay},
	}
	o := sentOrder{}
	for _, tt := range tests {
		o = o.next(tt.desired, now, tt.err)
		if got := o.nextSend.Sub(now); got != tt.want || o.desired != tt.desired {
			t.Errorf("%s: sent again after %v for %d servers, want %v for %d", tt.name, got, o.desired, tt.want, tt.desired)
		}
	}
}
