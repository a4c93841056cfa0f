package forward

import (
	"context"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
)

// fate is what became of one send.
type fate uint8

const (
	answered    fate = iota // the client has the answer
	notRun                  // the server proved that it did not run the request
	unreachable             // no byte of the request was sent
	lost                    // the request may have run; there is no answer
	invalid                 // the same; what came was no proper answer
	failing                 // a complete answer that reports a failure
)

var fateNames = [...]string{"answered", "not-run", "unreachable", "lost", "invalid", "failing"}

// String returns the name in logs and metrics.
func (f fate) String() string { return fateNames[f] }

const (
	// serverWait is how often a request without a server looks for one.
	serverWait = 20 * time.Millisecond
	// maxRejections bounds the full servers that one request asks.
	maxRejections = 3
	// maxUnreachable bounds the servers that one request cannot connect to.
	maxUnreachable = 4
	// fullPause is how long a server that rejected a request is avoided.
	fullPause = 100 * time.Millisecond
	// waitPart is the part of the objective for which a request waits for a
	// server before it is refused, so that its client can come back in time.
	waitPart = 0.125
)

// run sends the request until it is answered or given up.
func (e *exchange) run(ctx context.Context) {
	var runs, rejections, failures int
	var last Reason
	for {
		if reason := e.allowed(); reason != "" {
			e.giveUp(ctx, reason, runs)
			return
		}
		t, ok := e.choose()
		if !ok {
			if last == "" {
				last = NoServer
			}
			if !e.wait(ctx) {
				e.giveUp(ctx, last, runs)
				return
			}
			continue
		}
		again := false
		switch f := e.send(ctx, t); f {
		case answered:
			return
		case unreachable:
			failures++
			last = Unreachable
			again = failures < maxUnreachable && ctx.Err() == nil
		case notRun:
			rejections++
			last = AllFull
			again = rejections < maxRejections && ctx.Err() == nil && e.config.Budget.Withdraw(e.service)
		default:
			runs++
			last = Lost
			if f == invalid {
				last = Invalid
			}
			again = e.mayRepeat(ctx, runs)
		}
		if !again {
			e.giveUp(ctx, last, runs)
			return
		}
	}
}

// mayRepeat reports whether a request that ran, or may have, is sent again.
func (e *exchange) mayRepeat(ctx context.Context, runs int) bool {
	return e.route.Repeatable() && runs < e.route.Attempts && ctx.Err() == nil &&
		e.config.Poison.Allowed(e.fingerprint) && e.config.Budget.Withdraw(e.service)
}

// giveUp ends the request with its final answer.
func (e *exchange) giveUp(ctx context.Context, reason Reason, runs int) {
	switch {
	case e.r.Context().Err() != nil:
		reason = ClientLeft
	case e.streaming:
		reason = BrokenOff
	case e.held != nil:
		// A server's own failure is the better answer than one of ours.
		e.deliver(e.held)
		return
	case ctx.Err() != nil && runs > 0:
		reason = TimedOut
	case ctx.Err() != nil:
		reason = TimedOutUnsent
	case runs > 0 && reason != Lost && reason != Invalid:
		// It may have run, so the answer must not promise that it did not.
		reason = Lost
	}
	e.refuse(reason)
}

// wait waits for a server and reports whether to look again.
func (e *exchange) wait(ctx context.Context) bool {
	patience := min(time.Duration(waitPart*float64(e.route.Objective)), e.deadline.Sub(e.start))
	if e.config.Now().Sub(e.start) > patience {
		return false
	}
	t := time.NewTimer(serverWait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// tried reports whether the request was sent to a server before.
func (e *exchange) tried(w *pool.Worker) bool {
	for i := range e.sends {
		if e.sends[i].worker == w {
			return true
		}
	}
	return false
}
