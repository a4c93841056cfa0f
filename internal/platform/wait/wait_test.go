package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against delays and loops that continue after their context has ended.
func TestWaitsEndWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		For(ctx, time.Second)
		if got := time.Since(start); got != time.Second {
			t.Errorf("For waited for %v, want 1s", got)
		}
		calls := 0
		Every(ctx, 2*time.Second, func() { calls++ })
		For(ctx, time.Hour)
		if got := time.Since(start); got != 10*time.Second || calls != 4 {
			t.Errorf("ended after %v with %d calls, want 10s and 4", got, calls)
		}
	})
}
