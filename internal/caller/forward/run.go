package forward

import (
	"context"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/decide/poison"
	"wasabiworks.example/wasabiworks/internal/platform/wait"
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
	// serverPollInterval is the interval at which a waiting request checks for a
	// usable server.
	serverPollInterval = 20 * time.Millisecond
	// maxRejections bounds the attempts of one request that servers reject.
	maxRejections = 3
	// maxUnreachable bounds the attempts of one request that fail before a byte
	// is sent.
	maxUnreachable = 4
	// fullServerPause is how long a server is avoided after it rejected a
	// request.
	fullServerPause = 100 * time.Millisecond
	// serverWaitFraction is the fraction of the route's objective, counted from
	// the arrival of the request, during which the request may wait for a usable
	// server. A request that finds none is rejected early enough for the client to
	// retry within the objective.
	serverWaitFraction = 0.125
)

// run makes attempts until one succeeds or no further one is allowed.
func (e *exchange) run(ctx context.Context) {
	var runs, rejections, connectFailures int
	var lastReason Reason
	for {
		reason := e.revalidate()
		if reason == StaleConfiguration && e.mustContinue() && e.waitForServer(ctx) {
			continue
		}
		if reason != "" {
			e.giveUp(ctx, reason, runs)
			return
		}
		t, ok := e.acquireServer(ctx)
		if !ok {
			if lastReason == "" {
				lastReason = e.reasonForNoServer()
			}
			if !e.waitForServer(ctx) {
				e.giveUp(ctx, lastReason, runs)
				return
			}
			continue
		}
		retry := false
		switch result := e.send(ctx, t); result {
		case outcomeAnswered:
			return
		case outcomeUnreachable:
			connectFailures++
			lastReason = ServersUnreachable
			retry = (connectFailures < maxUnreachable || e.mustContinue()) && ctx.Err() == nil
		case outcomeNotRun:
			rejections++
			lastReason = ServersFull
			retry = (rejections < maxRejections || e.mustContinue()) && ctx.Err() == nil && e.withdrawRetry(ctx)
		default:
			runs++
			lastReason = ResponseLost
			switch result {
			case outcomeInvalid:
				lastReason = InvalidResponse
			case outcomeDropped:
				lastReason = ResponseDropped
			}
			retry = e.mayRetry(ctx, runs)
		}
		if !retry {
			e.giveUp(ctx, lastReason, runs)
			return
		}
	}
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

// waitForServer waits for one poll interval and reports whether to check again
// for a usable server. It doesn't wait if all servers want no requests for longer
// than the request may wait.
func (e *exchange) waitForServer(ctx context.Context) bool {
	maxWait := min(time.Duration(serverWaitFraction*float64(e.route.Objective)), e.deadline.Sub(e.start))
	now, end := e.config.Now(), e.start.Add(maxWait)
	if !e.mustContinue() && (now.After(end) || e.earliestRetryAt(now).After(end)) {
		return false
	}
	wait.For(ctx, serverPollInterval)
	return ctx.Err() == nil
}

// tried reports whether there was an attempt at server s before. Once this instance
// has ended an attempt, servers that did not run the request may be tried again.
func (e *exchange) tried(s *pool.Worker) bool {
	for i := range e.attempts {
		a := &e.attempts[i]
		notSent := a.outcome == outcomeNotRun || a.outcome == outcomeUnreachable
		if a.server == s && !(notSent && e.failedOver && !s.Suspect(e.config.Now())) {
			return true
		}
	}
	return false
}
