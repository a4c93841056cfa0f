package engine

import (
	"sync"
	"time"
)

// stallGrace is extra time for reading frames that arrived while this process
// was paused: after a pause all timers have expired, although the engine was
// not silent.
const stallGrace = 200 * time.Millisecond

// watchdog calls onStall when an engine sends nothing for a timeout plus
// stallGrace. It is safe for concurrent use.
type watchdog struct {
	onStall func()
	timer   *time.Timer

	mu    sync.Mutex
	armed bool
	// inGrace is set when the timeout has passed and stallGrace runs.
	inGrace  bool
	deadline time.Time
}

// newWatchdog returns a watchdog that was started with timeout.
func newWatchdog(timeout time.Duration, onStall func()) *watchdog {
	w := &watchdog{onStall: onStall}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(timeout, w.onTimer)
	w.armed, w.deadline = true, time.Now().Add(timeout)
	return w
}

func (w *watchdog) start(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed, w.inGrace, w.deadline = true, false, time.Now().Add(timeout)
	w.timer.Reset(timeout)
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
	w.timer.Stop()
}

func (w *watchdog) onTimer() {
	w.mu.Lock()
	now := time.Now()
	if !w.armed {
		w.mu.Unlock()
		return
	}
	if early := w.deadline.Sub(now); early > 0 {
		// A pause between starting the timer and reading the clock for the deadline
		// makes the timer fire first. Nothing else would start it again.
		w.timer.Reset(early)
		w.mu.Unlock()
		return
	}
	if !w.inGrace {
		w.inGrace, w.deadline = true, now.Add(stallGrace)
		w.timer.Reset(stallGrace)
		w.mu.Unlock()
		return
	}
	w.armed = false
	w.mu.Unlock()
	w.onStall()
}
