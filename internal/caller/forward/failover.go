package forward

import (
	"context"
	"fmt"
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/platform/wait"
)

// failoverCheckInterval is the time between two checks of whether another server
// can take over from a silent one.
const failoverCheckInterval = 200 * time.Millisecond

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
}

// startFailover returns a failover whose server may be silent for the given time.
func startFailover(silence time.Duration, reserve func() bool, cancel context.CancelFunc) *failover {
	f := &failover{reserve: reserve, cancel: cancel}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timer = time.AfterFunc(silence, f.check)
	return f
}

// extend allows the server to be silent for the given time from now on.
func (f *failover) extend(silence time.Duration) {
	if f != nil {
		f.timer.Reset(silence)
	}
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
	switch {
	case f.stopped || f.reserved:
	case f.reserve():
		f.reserved = true
		f.cancel()
	default:
		f.timer.Reset(failoverCheckInterval)
	}
}

// reserveRetry reports whether another server can take the request over now, and
// if so withdraws the retry from the budget. It runs beside the attempt, and only
// reads fields of e that no attempt changes.
func (e *exchange) reserveRetry() bool {
	e.metrics.silences.WithLabelValues("checked").Inc()
	if r, reason := e.permission(e.config.View()); reason != "" || !r.Repeatable() || len(e.attempts) >= r.Attempts {
		return false
	}
	if len(e.sharedParts) > 0 && e.config.Poison.CheckParts(e.sharedParts) != PartsAllowed {
		return false
	}
	t, ok := e.chooseServer()
	if !ok || t.server.Suspect(e.config.Now()) || !e.config.Poison.Allowed(e.fingerprint) || !e.config.Budget.Withdraw(e.service) {
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
		e.retryReserved, e.failedOver = true, true
	}
}

// mustContinue reports whether the request must not be given up while its client
// waits: this instance ended a stream that its server might have completed.
func (e *exchange) mustContinue() bool { return e.failedOver && e.streamStarted }

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
