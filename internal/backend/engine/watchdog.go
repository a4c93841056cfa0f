package engine

import (
	"sync"
	"time"
)

// stallGrace is the time for reading what arrived while this process was
// paused. At its end all timers have expired, although the engine was not
// silent.
const stallGrace = 200 * time.Millisecond

// watchdog calls stalled when an engine is silent for a bound and the grace
// after it. It is safe for concurrent use.
type watchdog struct {
	stalled func()
	timer   *time.Timer

	mu    sync.Mutex
	armed bool
	// late is set when the bound has passed.
	late bool
	due  time.Time
}

// newWatchdog returns a watchdog that has been started with bound.
func newWatchdog(bound time.Duration, stalled func()) *watchdog {
	w := &watchdog{stalled: stalled}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(bound, w.expired)
	w.armed, w.due = true, time.Now().Add(bound)
	return w
}

func (w *watchdog) start(bound time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed, w.late, w.due = true, false, time.Now().Add(bound)
	w.timer.Reset(bound)
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
	w.timer.Stop()
}

func (w *watchdog) expired() {
	w.mu.Lock()
	now := time.Now()
	if !w.armed || now.Before(w.due) {
		w.mu.Unlock()
		return
	}
	if !w.late {
		w.late, w.due = true, now.Add(stallGrace)
		w.timer.Reset(stallGrace)
		w.mu.Unlock()
		return
	}
	w.armed = false
	w.mu.Unlock()
	w.stalled()
}
