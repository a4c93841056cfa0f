package engine

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against an attempt that fails because this process was paused for
// longer than the stall bound, and against an engine that is silent forever.
func TestWatchdog(t *testing.T) {
	for _, tt := range []struct {
		name string
		// frames are the times of frames since the start.
		frames []time.Duration
		// want is the time at which the attempt stalls.
		want time.Duration
	}{
		{"silent", nil, time.Second + stallGrace},
		{"frame within the bound", []time.Duration{900 * time.Millisecond}, 1900*time.Millisecond + stallGrace},
		{"frames after a pause", []time.Duration{time.Second + stallGrace/2}, 2*time.Second + stallGrace/2 + stallGrace},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				stalled := make(chan time.Duration, 1)
				w := newWatchdog(time.Second, func() { stalled <- time.Since(began) })
				for _, at := range tt.frames {
					time.Sleep(time.Until(began.Add(at)))
					w.stop()
					w.start(time.Second)
				}
				if got := <-stalled; got != tt.want {
					t.Errorf("stalled after %v, want %v", got, tt.want)
				}
			})
		})
	}
}

// Guards against a stall that is counted while the client takes a frame.
func TestStoppedWatchdog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatchdog(time.Second, func() { t.Error("stalled while stopped") })
		time.Sleep(time.Second + stallGrace/2)
		w.stop()
		time.Sleep(time.Minute)
	})
}
