package forward

import (
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/admission"
)

// poisonRetryAfter is the time after which a client should retry a request that crashes
// servers. Only the operator or a change of the servers can make such a request
// succeed, but one that was blocked wrongly is cleared within seconds.
const poisonRetryAfter = 3 * time.Second

// refusalHistory is an admission.RefusalHistory that is safe for concurrent use.
type refusalHistory struct {
	mu      sync.Mutex
	history admission.RefusalHistory
}

// add records a refusal at now, and returns after how long its client should retry.
func (r *refusalHistory) add(refusal admission.Refusal, fingerprint uint64, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	refusal.PerSecond = r.history.PerSecond(now)
	retryAfter := refusal.RetryAfter(now)
	r.history.Add(fingerprint, now.Add(retryAfter), now)
	return retryAfter
}

// retried reports whether a request was refused before, and its client waited for as long
// as it was told.
func (r *refusalHistory) retried(fingerprint uint64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.Retried(fingerprint, now)
}

// retryAfter returns after how long the client should retry the request, which is refused
// for a reason.
func (e *exchange) retryAfter(reason Reason) time.Duration {
	now := e.config.Now()
	if e.deadline.IsZero() {
		e.deadline = e.computeDeadline()
	}
	request := e.admissionRequest()
	if e.view.Table == nil || !e.view.Table.Prioritized() {
		request.Urgency = admission.Urgencies - 1 // no client is to be preferred
	}
	refusal := admission.Refusal{Request: request, Servable: e.servableAfterRefusal(reason, now), Random: uniform(e.config.Random())}
	return e.recentRefusals.add(refusal, e.suspect.Fingerprint, now)
}

// servableAfterRefusal returns the time at which a request that is refused at now for a
// reason can be served, or the zero time if it is unknown.
func (e *exchange) servableAfterRefusal(reason Reason, now time.Time) time.Time {
	switch reason {
	case OverAllowance:
		return now.Add(e.admission.RetryAfter)
	case PoisonRequest, PoisonPart:
		return now.Add(poisonRetryAfter)
	case Stopping:
		return now // by another instance
	case ServersFull:
		if at := e.earliestRetryAt(now); at.After(now) {
			return at
		}
	}
	return time.Time{}
}

// uniform returns a number in [0, 1) for a random one.
func uniform(random uint64) float64 { return float64(random>>11) / (1 << 53) }
