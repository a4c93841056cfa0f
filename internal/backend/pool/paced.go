package pool

import (
	"slices"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/pacing"
)

// otherSenderDelay is the time after which a client should come back if only other instances
// may send to a server now.
const otherSenderDelay = time.Second

// Senders are the live instances, among which the requests to servers that limit them are
// divided. It is not modified after it is passed to SetSenders.
type Senders struct {
	// Self is the ID of this instance.
	Self string
	Live []pacing.Instance
}

// pacedSends is how this instance may send to a server process, by senders and a rate.
type pacedSends struct {
	senders *Senders
	rate    float64
	// allowed is false if only other instances may send.
	allowed bool
	pace    pacing.Pace
}

// SetSenders replaces the live instances. Before the first call, this instance takes itself
// for the only one.
func (p *Pool) SetSenders(s *Senders) { p.shared.senders.Store(s) }

// Limits returns the limits that servers name.
func (p *Pool) Limits() *pacing.Limits { return &p.shared.limits }

// PacedSends returns the number of requests that this instance has sent to servers that
// limit them.
func (p *Pool) PacedSends() int64 { return p.shared.pacedSends.Load() }

// RecordLimit records that a response which arrived at now, to a request sent at sentAt, names
// a limit in requests per second, or none if rate is 0. Both times are on the wall clock. It
// reports whether the limit has changed.
func (w *Worker) RecordLimit(rate float64, sentAt, now time.Time) (changed bool) {
	return w.shared.limits.Observe(w.processID, rate, sentAt, now)
}

// Limited reports whether the server limits the requests of all instances.
func (w *Worker) Limited() bool {
	_, limited := w.shared.limits.Rate(w.processID)
	return limited
}

// paced returns how this instance may send to the server, and false if the server has no
// limit.
func (w *Worker) paced() (pacedSends, bool) {
	rate, limited := w.shared.limits.Rate(w.processID)
	if !limited {
		return pacedSends{}, false
	}
	senders := w.shared.senders.Load()
	if known := w.state.paced.Load(); known != nil && known.senders == senders && known.rate == rate {
		return *known, true
	}
	s := pacedSends{senders: senders, rate: rate}
	s.allowed, s.pace = w.part(senders, rate)
	w.state.paced.Store(&s)
	return s, true
}

// part returns whether this instance is one of those that may send to the server, and its part
// of a rate in requests per second.
func (w *Worker) part(senders *Senders, rate float64) (allowed bool, pace pacing.Pace) {
	if senders == nil {
		_, pace = pacing.Senders(pacing.Server{}, rate, []pacing.Instance{{}})
		return true, pace
	}
	ids, pace := pacing.Senders(pacing.Server{Process: w.processID, FailureDomain: w.FailureDomain}, rate, senders.Live)
	return slices.Contains(ids, senders.Self), pace
}

// acquirePaced takes a request from what the server's limit permits at now. It returns false
// if another request was faster.
func (w *Worker) acquirePaced(now time.Time) bool {
	s, limited := w.paced()
	if !limited {
		return true
	}
	used := w.state.paceUsed.Load()
	if !s.allowed || now.Before(s.pace.Next(time.Unix(0, used))) {
		return false
	}
	if !w.state.paceUsed.CompareAndSwap(used, s.pace.Use(time.Unix(0, used), now).UnixNano()) {
		return false
	}
	w.shared.pacedSends.Add(1)
	return true
}

// admitsPaced reports whether the server's limit permits a request at now.
func (w *Worker) admitsPaced(now time.Time) bool {
	s, limited := w.paced()
	return !limited || s.allowed && !now.Before(s.pace.Next(time.Unix(0, w.state.paceUsed.Load())))
}

// pacedRetryAt returns the time before which the server's limit permits no request of this
// instance, or the zero time.
func (w *Worker) pacedRetryAt(now time.Time) time.Time {
	s, limited := w.paced()
	switch {
	case !limited:
		return time.Time{}
	case !s.allowed:
		return now.Add(otherSenderDelay)
	}
	return s.pace.Next(time.Unix(0, w.state.paceUsed.Load()))
}
