package admission

import "time"

// Urgencies is the number of ranks of requests: 0 is the most urgent, Urgencies-1 the least.
const Urgencies = 10

// Request describes a request that waits for a server.
type Request struct {
	Workspace string
	Urgency   int
	Arrival   time.Time
	// Objective is the time by which the first event is worth its full value; zero if
	// there is none.
	Objective time.Time
	// Deadline is the time after which a response is worth nothing.
	Deadline time.Time
	// ServiceTime is the expected time from sending the request to its first event.
	ServiceTime time.Duration
	// Work is the number of tokens that a server processes for the request, or 0.
	Work float64
	// Bytes is the memory that the waiting request holds.
	Bytes int64
	// Retried reports whether the request was refused before, and its client retried it
	// no sooner than it was told to.
	Retried bool
	// ReadyAt is the time before which the request cannot be sent, because the servers
	// that are left for it rejected it.
	ReadyAt time.Time
}

// freeHoldFraction is the fraction of the time until the objective for which holding a
// request costs its client nothing.
const freeHoldFraction = 0.125

// HoldUntil returns the time until which a request is held that no server can take now.
// servable is when a server is expected to take it; zero means unknown. A request that is
// not to be held gets a time that has passed.
//
// Each request is held while that costs its client nothing. It is held for longer only if
// servable leaves time to meet the objective: a refusal then costs the client more than
// the wait, because all instances send to the same servers.
func (r *Request) HoldUntil(servable time.Time) time.Time {
	if r.Objective.IsZero() {
		return r.Arrival
	}
	freeHold := time.Duration(freeHoldFraction * float64(r.Objective.Sub(r.Arrival)))
	end := r.Arrival.Add(freeHold)
	latestStart := r.lastOnTimeStart()
	switch {
	case servable.IsZero():
	case servable.After(end) && servable.After(latestStart):
		return r.Arrival
	default:
		end = later(end, earlier(latestStart, servable.Add(freeHold)))
	}
	return earlier(end, r.lastStart())
}

// lastStart returns the time after which the request cannot be served before its deadline.
func (r *Request) lastStart() time.Time { return r.Deadline.Add(-r.ServiceTime) }

// lastOnTimeStart returns the time after which the request cannot meet its objective, if it
// has one.
func (r *Request) lastOnTimeStart() time.Time { return r.Objective.Add(-r.ServiceTime) }

// Slack returns how long the request can still wait at now: until the start that meets its
// objective, or, once that has passed, its deadline.
func (r *Request) Slack(now time.Time) time.Duration {
	if start := r.lastOnTimeStart(); !r.Objective.IsZero() && !now.After(start) {
		return start.Sub(now)
	}
	return r.lastStart().Sub(now)
}

// before reports whether r is sent before s of the same urgency and workspace at now.
func (r *Request) before(s *Request, now time.Time) bool {
	if r.Retried != s.Retried {
		return r.Retried
	}
	if a, b := r.Slack(now), s.Slack(now); a != b {
		return a < b
	}
	return r.Arrival.Before(s.Arrival)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
