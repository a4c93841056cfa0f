package admission

import (
	"math"
	"time"
)

const (
	// defaultRetryAfter is the time after which a client retries a request that was
	// refused although nothing is known about when it can be served.
	defaultRetryAfter = 300 * time.Millisecond
	// maxRetryAfterFraction is the largest fraction of the time until a request's
	// deadline that its client is told to wait. Clients honour no more, and a later retry
	// would leave no time for others, although another instance or a new server may
	// serve the request sooner.
	maxRetryAfterFraction = 1. / 3
	// minRetryAfter is the minimum for all requests; 0 would invite an immediate retry.
	minRetryAfter = time.Millisecond
	// The jitter grows by jitterPerRefusal with each refusal of the last second, from
	// minJitter to maxJitter, so that refused clients do not return together.
	jitterPerRefusal = 20 * time.Millisecond
	minJitter        = 50 * time.Millisecond
	maxJitter        = 2 * time.Second
	// mostUrgentFactor scales the times of the most urgent requests that do not depend
	// on when the request can be served. Those of the least urgent are not scaled.
	mostUrgentFactor = 0.25
	// limitJitter is the fraction by which a time that reaches the limit is reduced at
	// random.
	limitJitter = 0.2
)

// Refusal describes a refused request whose client may retry it.
type Refusal struct {
	// Request needs no Deadline if that is not known.
	Request Request
	// Servable is when the request can be served; zero if that is unknown.
	Servable time.Time
	// PerSecond is the number of requests that were refused in about the last second.
	PerSecond float64
	// Random is a random number in [0, 1).
	Random float64
}

// RetryAfter returns how long after now the client of a refused request should retry it.
func (r *Refusal) RetryAfter(now time.Time) time.Duration {
	urgency := float64(r.Request.Urgency) / (Urgencies - 1)
	factor := mostUrgentFactor + (1-mostUrgentFactor)*urgency
	base := r.Servable.Sub(now)
	if r.Servable.IsZero() {
		base = time.Duration(factor * float64(defaultRetryAfter))
		if start := r.Request.lastOnTimeStart(); start.After(now) {
			base = min(base, start.Sub(now)/2) // another instance may still meet the objective
		}
	}
	jitter := min(max(r.PerSecond*float64(jitterPerRefusal), float64(minJitter)), float64(maxJitter))
	wait := max(minRetryAfter, base) + time.Duration(r.Random*factor*jitter)
	if r.Request.Deadline.IsZero() {
		return wait
	}
	limit := maxRetryAfterFraction * float64(max(0, r.Request.Deadline.Sub(now)))
	if float64(wait) > limit {
		return time.Duration((1 - limitJitter*r.Random) * limit)
	}
	return wait
}

const (
	// refusalHalfLife is the age at which a refusal counts half in
	// RefusalHistory.PerSecond.
	refusalHalfLife = time.Second
	// maxRefusals bounds the refused requests that are remembered.
	maxRefusals = 1024
)

// RefusalHistory remembers the requests that were refused last. The zero value is empty.
type RefusalHistory struct {
	// recent is the number of refusals as of updated, with weights that halve in
	// refusalHalfLife.
	recent  float64
	updated time.Time
	// retryAt holds the time, by fingerprint, from which on a retry is preferred, and
	// order the fingerprints, the oldest at oldest.
	retryAt map[uint64]time.Time
	order   []uint64
	oldest  int
}

// Add records that a request was refused at now, and when its client was told to retry
// it. The fingerprint is 0 if it is unknown.
func (r *RefusalHistory) Add(fingerprint uint64, retryAt, now time.Time) {
	r.recent = r.decayed(now) + 1
	r.updated = now
	if fingerprint == 0 {
		return
	}
	if r.retryAt == nil {
		r.retryAt = make(map[uint64]time.Time)
	}
	_, known := r.retryAt[fingerprint]
	r.retryAt[fingerprint] = retryAt
	switch {
	case known:
	case len(r.order) < maxRefusals:
		r.order = append(r.order, fingerprint)
	default:
		delete(r.retryAt, r.order[r.oldest])
		r.order[r.oldest] = fingerprint
		r.oldest = (r.oldest + 1) % maxRefusals
	}
}

// Retried reports whether a request was refused before, and its client waited until the
// time that it was told. Each refusal counts for one retry, so that a client that sends
// equal requests all the time gains nothing by it.
func (r *RefusalHistory) Retried(fingerprint uint64, now time.Time) bool {
	at, ok := r.retryAt[fingerprint]
	if !ok || at.IsZero() || now.Before(at) {
		return false
	}
	r.retryAt[fingerprint] = time.Time{}
	return true
}

// PerSecond returns the number of refusals in about the last second.
func (r *RefusalHistory) PerSecond(now time.Time) float64 {
	return r.decayed(now) * math.Ln2 / refusalHalfLife.Seconds()
}

// decayed returns recent as of now.
func (r *RefusalHistory) decayed(now time.Time) float64 {
	if r.updated.IsZero() {
		return 0
	}
	return r.recent * math.Exp2(-float64(max(0, now.Sub(r.updated)))/float64(refusalHalfLife))
}
