package forward

import (
	"context"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/admission"
	"wasabiworks.example/wasabiworks/internal/platform/wait"
)

// queueing is the state of a request that waits, or has waited, for a server.
type queueing struct {
	entry   *queueEntry // nil if the request is not, and was not just, in a queue
	service string      // of the queue
	since   time.Time
	// hasWaited reports whether the request has waited, so that servers that rejected it
	// may be tried again.
	hasWaited bool
	total     time.Duration // of the waits that have ended
	position  int           // number of requests that were ahead when the last wait began
}

// Outcomes of a wait for a server, as in the metrics.
const (
	waitSent    = "sent"
	waitRefused = "refused"
)

// waitForServer waits in the queue of the service until a server may take the request, or
// it is to be examined for another reason. It returns false if the request may not wait,
// or has waited for as long as it may.
func (e *exchange) waitForServer(ctx context.Context) bool {
	now := e.config.Now()
	holdUntil := e.holdUntil(now)
	if !now.Before(holdUntil) {
		return false
	}
	request := e.admissionRequest()
	request.ReadyAt = e.pauseEnd(now)
	q := &e.queueing
	if q.entry != nil && q.service != e.service {
		e.leaveQueue(waitRefused) // the request has another service since the table changed
	}
	if q.entry == nil {
		q.service, q.since, q.hasWaited = e.service, now, true
		q.entry, q.position = e.waiters.offer(e.service, request, holdUntil)
	} else {
		// No server could take it although some are usable.
		request.ReadyAt = later(request.ReadyAt, now.Add(recheckInterval))
		q.entry.Request = request
		e.waiters.resume(q.service, q.entry, holdUntil)
	}
	select {
	case s := <-q.entry.Value:
		if s == refuse && e.mustContinue() {
			wait.For(ctx, recheckInterval)
			s = examine
		}
		return s == examine && ctx.Err() == nil
	case <-ctx.Done():
		e.waiters.remove(q.service, q.entry)
		return false
	}
}

// holdUntil returns the time until which the request may wait for a server.
func (e *exchange) holdUntil(now time.Time) time.Time {
	if e.mustContinue() {
		return e.deadline
	}
	request := e.admissionRequest()
	return request.HoldUntil(e.servableAt(now))
}

// leaveQueue ends the wait of a request that is not in the queue any longer, so that the
// next one is examined. It has no effect if the request did not wait.
func (e *exchange) leaveQueue(outcome string) {
	q := &e.queueing
	if q.entry == nil {
		return
	}
	e.waiters.endExamination(q.service, q.entry, outcome == waitSent)
	q.entry = nil
	waited := e.config.Now().Sub(q.since)
	q.total += waited
	e.metrics.queueWait.WithLabelValues(outcome).Observe(waited.Seconds())
}

// yields reports whether the request should wait although a server could take it, because
// more urgent requests wait. It yields only if the server of t is or was lately suspect:
// all usable servers are suspect then, since others are chosen first. A request yields
// until it may be held no longer.
func (e *exchange) yields(t target) bool {
	return !e.hasYielded && len(e.attempts) == 0 && e.view.Table.Prioritized() && e.suspects(t.server, e.config.Now().Add(-recheckInterval)) && e.waiters.hasMoreUrgent(e.service, e.urgency)
}

// requeue waits for a server after servers rejected the request as full, and reports
// whether to send it again. Other instances send to the same servers, so that a retry of
// the client would reach them later.
func (e *exchange) requeue(ctx context.Context, rejections int) bool {
	now := e.config.Now()
	return rejections < maxQueuedRejections && now.Before(e.holdUntil(now)) && e.waitForServer(ctx) && e.withdrawRetry(ctx)
}

// waitForConfiguration waits before the next check of whether the configuration is
// confirmed again, and reports whether to check it.
func waitForConfiguration(ctx context.Context) bool {
	wait.For(ctx, recheckInterval)
	return ctx.Err() == nil
}

// admissionRequest describes the request to package admission.
func (e *exchange) admissionRequest() admission.Request {
	r := admission.Request{
		Workspace: e.workspace, Urgency: e.urgency, Arrival: e.start, Deadline: e.deadline,
		Work: float64(e.prompt.MaxTotalTokens), Bytes: e.body.size, Retried: e.isRetry,
	}
	if e.route != nil && e.route.Objective > 0 {
		r.Objective, r.ServiceTime = e.start.Add(e.route.Objective), e.serviceTimes.expected(e.route)
	}
	return r
}

// servableAt returns the time at which a server may take the request that none can take at
// now, or the zero time if it is unknown.
func (e *exchange) servableAt(now time.Time) time.Time {
	if at := e.earliestRetryAt(now); at.After(now) {
		return at
	}
	return e.pauseEnd(now)
}

// pauseEnd returns when the first of the servers that rejected the request may be tried
// again, or the zero time if none rejected it lately.
func (e *exchange) pauseEnd(now time.Time) (earliest time.Time) {
	for i := range e.attempts {
		a := &e.attempts[i]
		end := a.rejectedAt.Add(fullServerPause)
		if !a.rejectedAt.IsZero() && end.After(now) && (earliest.IsZero() || end.Before(earliest)) {
			earliest = end
		}
	}
	return earliest
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
