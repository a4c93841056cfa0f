package forward

import (
	"context"
	"fmt"
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/poison"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
	"wasabiworks.example/wasabiworks/internal/platform/wait"
)

const (
	// failoverCheckInterval is the time between two checks of whether another server
	// can take over from a silent one.
	failoverCheckInterval = 200 * time.Millisecond
	// pauseGrace is extra time for reading data that arrived while this process was
	// paused: all timers have expired after a pause, although the server was not silent.
	pauseGrace = 100 * time.Millisecond
)

// errSilentServer is the error of an attempt that failover ended.
var errSilentServer = fmt.Errorf("backend server was silent, and another one could take over: %w", context.Canceled)

// failover ends an attempt at a silent server once another server can take over.
// A sound server may be silent for a while, so the attempt goes on as long as the
// request may not be sent elsewhere.
type failover struct {
	cancel context.CancelFunc
	// reserve reports whether another server can take over, and if so reserves
	// what the next attempt needs.
	reserve func() bool

	mu       sync.Mutex // held while reserve runs
	timer    *time.Timer
	stopped  bool
	reserved bool
	// deadline is when the silence is too long, and pausedAt when the checks were
	// suspended, or zero.
	deadline, pausedAt time.Time
	inGrace            bool
}

// startFailover returns a failover whose server may be silent for the given time.
func startFailover(silence time.Duration, reserve func() bool, cancel context.CancelFunc) *failover {
	f := &failover{reserve: reserve, cancel: cancel}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timer, f.deadline = time.AfterFunc(silence, f.check), time.Now().Add(silence)
	return f
}

// extend allows the server to be silent for the given time from now on.
func (f *failover) extend(silence time.Duration) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deadline, f.pausedAt, f.inGrace = time.Now().Add(silence), time.Time{}, false
	f.timer.Reset(silence)
}

// pause suspends the checks until extend or resume is called.
func (f *failover) pause() {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pausedAt.IsZero() {
		f.pausedAt = time.Now()
	}
	f.timer.Stop()
}

// resume continues the checks after pause, with the time for silence that was left.
func (f *failover) resume() {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deadline, f.pausedAt = f.deadline.Add(time.Since(f.pausedAt)), time.Time{}
	f.timer.Reset(time.Until(f.deadline))
}

// stop ends the checks. It reports whether the attempt was ended and the next one
// is reserved.
func (f *failover) stop() (reserved bool) {
	if f == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	f.timer.Stop()
	return f.reserved
}

func (f *failover) check() {
	f.mu.Lock()
	defer f.mu.Unlock()
	early := time.Until(f.deadline)
	switch {
	case f.stopped || f.reserved || !f.pausedAt.IsZero():
	case early > 0:
		f.timer.Reset(early)
	case !f.inGrace:
		f.inGrace = true
		f.timer.Reset(pauseGrace)
	case f.reserve():
		f.reserved = true
		f.cancel()
	default:
		f.timer.Reset(failoverCheckInterval)
	}
}

// reserveRetry reports whether another server can take the request over now, and
// if so withdraws the retry from the budget. It runs beside the attempt, and only
// reads fields of e that the attempt changes while the failover is paused, if at all.
func (e *exchange) reserveRetry() bool {
	e.metrics.silences.WithLabelValues("checked").Inc()
	if r, _, reason := e.permission(e.config.View()); reason != "" || !r.Includes(e.service) || !r.Repeatable() || !e.mayResume() || len(e.attempts) >= r.Attempts {
		return false
	}
	t, ok := e.chooseServer()
	if !ok || e.suspects(t.server, e.config.Now()) || e.config.Poison.Blocked(e.suspect) != poison.NotBlocked || !e.config.Budget.Withdraw(e.service) {
		return false
	}
	e.metrics.silences.WithLabelValues("failed-over").Inc()
	return true
}

// endFailover stops the failover of a. If it ended the attempt, the request is
// sent to another server without a further withdrawal from the budget.
func (e *exchange) endFailover(a *attempt) {
	if a.failover.stop() {
		a.err = errSilentServer
		a.sent.DropIdle(a.server.Transport)
		e.retryReserved, e.failedOver = true, true
	}
}

// mustContinue reports whether the request must not be given up while its client
// waits, because this instance ended an attempt that its server might have completed.
// A stream without events is given up all the same: the client may repeat it sooner
// than a server is found here.
func (e *exchange) mustContinue() bool {
	return e.failedOver && (e.streamStarted || e.route.Kind == routes.Idempotent)
}

// withdrawRetry withdraws a retry from the budget. It waits for one if the
// request must not be given up.
func (e *exchange) withdrawRetry(ctx context.Context) bool {
	if e.retryReserved {
		e.retryReserved = false
		return true
	}
	for !e.config.Budget.Withdraw(e.service) {
		if !e.mustContinue() || ctx.Err() != nil {
			return false
		}
		wait.For(ctx, failoverCheckInterval)
	}
	return true
}

// chargeNewService withdraws the next attempt from the budget of the request's service, if
// its route moved there after an attempt at another service. It reports whether the request
// may be sent.
func (e *exchange) chargeNewService(ctx context.Context) bool {
	if !e.retryUncharged {
		return true
	}
	e.retryUncharged = false
	return e.withdrawRetry(ctx)
}
