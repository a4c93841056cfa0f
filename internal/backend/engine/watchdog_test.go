package engine

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against an attempt that fails because this process was paused for
// longer than the stall timeout, and against waiting forever for a silent
// engine.
func TestWatchdogStallTime(t *testing.T) {
	for _, tt := range []struct {
		name string
		// frames are the times of frames since the start.
		frames []time.Duration
		// want is the time at which the attempt stalls.
		want time.Duration
	}{
		{"silent", nil, time.Second + stallGrace},
		{"frame within the timeout", []time.Duration{900 * time.Millisecond}, 1900*time.Millisecond + stallGrace},
		{"frames after a pause", []time.Duration{time.Second + stallGrace/2}, 2*time.Second + stallGrace/2 + stallGrace},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				stalled := make(chan time.Duration, 1)
				w := newWatchdog(time.Second, func() { stalled <- time.Since(started) })
				for _, at := range tt.frames {
					time.Sleep(time.Until(started.Add(at)))
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

// Guards against a stall that is reported while the caller handles a frame.
func TestStoppedWatchdogDoesNotStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWatchdog(time.Second, func() { t.Error("stalled while stopped") })
		time.Sleep(time.Second + stallGrace/2)
		w.stop()
		time.Sleep(time.Minute)
	})
}

// Guards against an engine whose silence is never reported because the timer
// fired before the deadline, which happens if the process pauses between the two
// reads of the clock.
func TestWatchdogSurvivesEarlyTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		stalled := make(chan time.Duration, 1)
		w := newWatchdog(time.Second, func() { stalled <- time.Since(started) })
		w.timer.Stop()
		time.Sleep(500 * time.Millisecond)
		w.onTimer()
		select {
		case got := <-stalled:
			if want := time.Second + stallGrace; got != want {
				t.Errorf("stalled after %v, want %v", got, want)
			}
		case <-time.After(time.Minute):
			t.Error("silence was not reported within a minute")
		}
	})
}
