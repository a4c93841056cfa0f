package wait

import (
	"context"
	"time"
)

// For blocks for the duration d or until ctx ends, whichever is first.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Every calls f once per period, for the first time after one period, and returns
// when ctx ends. If f takes longer than a period, the missed calls are dropped.
func Every(ctx context.Context, period time.Duration, f func()) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}
