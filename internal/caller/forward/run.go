package forward

import (
	"context"
	"slices"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/decide/poison"
)

// outcome is the result of one attempt.
type outcome uint8

const (
	outcomeAnswered    outcome = iota // the client has the response, or has disconnected
	outcomeNotRun                     // the server's response proves that it did not run the request
	outcomeUnreachable                // no byte of the request was sent
	outcomeLost                       // the request may have run; there is no complete response
	outcomeInvalid                    // the request may have run; the response was invalid
	outcomeDropped                    // the request may have run; the response did not fit into the instance's memory
	outcomeFailed                     // a complete response with status 500 or above, to a request that may be repeated
)

var outcomeNames = [...]string{"answered", "not-run", "unreachable", "lost", "invalid", "dropped", "failing"}

// String returns the name in logs and metrics.
func (o outcome) String() string { return outcomeNames[o] }

const (
	// maxRejections bounds the attempts of one request that servers reject before it
	// waits, and maxQueuedRejections those altogether.
	maxRejections       = 3
	maxQueuedRejections = 4
	// maxUnreachable bounds the attempts of one request that fail before a byte
	// is sent.
	maxUnreachable = 4
	// fullServerPause is how long a server is avoided after it rejected a
	// request.
	fullServerPause = 100 * time.Millisecond
)

// failedAttempts counts the failed attempts of a request.
type failedAttempts struct {
	runs            int // attempts in which a server may have run the request
	rejections      int // attempts that a server rejected
	connectFailures int // attempts of which no byte was sent
	// lastReason is the reason to fail the request if there is no further attempt; empty
	// if it is unknown so far.
	lastReason Reason
}

// run makes attempts until one succeeds or no further one is allowed.
func (e *exchange) run(ctx context.Context) {
	var failed failedAttempts
	for {
		reason := e.revalidate()
		if reason == StaleConfiguration && e.mustContinue() && waitForConfiguration(ctx) {
			continue
		}
		if reason != "" {
			e.giveUp(ctx, reason, failed.runs)
			return
		}
		if !e.chargeNewService(ctx) {
			e.giveUp(ctx, failed.lastReason, failed.runs)
			return
		}
		t, yields, ok := e.acquireServer(ctx)
		if !ok {
			if failed.lastReason == "" {
				failed.lastReason = e.reasonForNoServer()
			}
			if !e.waitForServer(ctx) {
				e.giveUp(ctx, failed.lastReason, failed.runs)
				return
			}
			continue
		}
		if yields {
			// What the request was allowed may have changed while it waited, so it is
			// validated again and chooses again.
			e.hasYielded = !e.waitForServer(ctx)
			if ctx.Err() != nil {
				e.giveUp(ctx, NoServer, failed.runs)
				return
			}
			continue
		}
		result := e.send(ctx, t)
		if result == outcomeAnswered {
			return
		}
		if result == outcomeUnreachable && e.endedByPartition() && ctx.Err() == nil {
			failed.lastReason = ServersUnreachable
			continue // through another instance
		}
		if !e.retryAfterFailure(ctx, result, &failed) {
			e.giveUp(ctx, failed.lastReason, failed.runs)
			return
		}
	}
}

// retryAfterFailure counts a failed attempt in f, and reports whether to make another one.
func (e *exchange) retryAfterFailure(ctx context.Context, result outcome, f *failedAttempts) bool {
	switch result {
	case outcomeUnreachable:
		f.connectFailures++
		f.lastReason = ServersUnreachable
		return (f.connectFailures < maxUnreachable || e.mustContinue()) && ctx.Err() == nil
	case outcomeNotRun:
		f.rejections++
		f.lastReason = ServersFull
		return ctx.Err() == nil && e.mayRetryRejected(ctx, f.rejections)
	case outcomeInvalid:
		f.lastReason = InvalidResponse
	case outcomeDropped:
		f.lastReason = ResponseDropped
	default:
		f.lastReason = ResponseLost
	}
	f.runs++
	return e.mayRetry(ctx, f.runs)
}

// mayRetryRejected reports whether a request that servers rejected is sent again. If so, it
// withdraws the retry from the budget.
func (e *exchange) mayRetryRejected(ctx context.Context, rejections int) bool {
	if rejections < maxRejections || e.mustContinue() {
		return e.withdrawRetry(ctx)
	}
	return e.requeue(ctx, rejections)
}

// mayRetry reports whether a request that may have run is sent again. If so, it
// withdraws the retry from the budget. runs is the number of attempts in which a
// server may have run the request.
func (e *exchange) mayRetry(ctx context.Context, runs int) bool {
	return e.route.Repeatable() && e.mayResume() && runs < e.route.Attempts && ctx.Err() == nil &&
		e.config.Poison.Blocked(e.suspect) == poison.NotBlocked && e.withdrawRetry(ctx)
}

// giveUp ends a request without a further attempt. runs is the number of attempts
// in which a server may have run the request.
func (e *exchange) giveUp(ctx context.Context, reason Reason, runs int) {
	e.leaveQueue(waitRefused)
	switch {
	case e.r.Context().Err() != nil:
		reason = ClientLeft
	case e.streamStarted:
		reason = StreamBroken
	case e.failedResponse != nil:
		// Prefer a server's error response to one of this instance.
		e.deliver(e.failedResponse)
		return
	case e.interrupted() && runs > 0:
		reason = Interrupted
	case e.interrupted():
		reason = Stopping
	case ctx.Err() != nil && runs > 0:
		reason = TimedOut
	case ctx.Err() != nil:
		reason = TimedOutUnsent
	case runs > 0 && reason != ResponseLost && reason != InvalidResponse && reason != ResponseDropped:
		// A server may have run the request in an earlier attempt, so the
		// response must not guarantee that the request did not run.
		reason = ResponseLost
	}
	e.fail(reason)
}

// reachedServer reports whether an attempt may have reached a server.
func (e *exchange) reachedServer() bool {
	return slices.ContainsFunc(e.attempts, func(a attempt) bool { return a.outcome != outcomeUnreachable })
}

// tried reports whether there was an attempt at server s before that rules out another one.
// Servers that did not run the request may be tried again once this instance has ended
// an attempt, and those that rejected it once it has waited.
func (e *exchange) tried(s *pool.Worker) bool {
	for i := range e.attempts {
		a := &e.attempts[i]
		if a.server == s && !(e.mayTryAgain(a) && !e.suspects(s, e.config.Now())) {
			return true
		}
	}
	return false
}

// mayTryAgain reports whether the server of an attempt may be tried again.
func (e *exchange) mayTryAgain(a *attempt) bool {
	switch a.outcome {
	case outcomeNotRun:
		return e.failedOver || e.queueing.hasWaited
	case outcomeUnreachable:
		return e.failedOver || e.failedByPartition(a)
	}
	return false
}
