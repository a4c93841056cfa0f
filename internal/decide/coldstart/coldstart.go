package coldstart

import (
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/pacing"
)

// Limit bounds the requests to the cold servers of a service.
type Limit struct {
	// Rate is the number of requests per second that a cold server can handle; 0 means
	// that there is no limit.
	Rate float64
	// ColdTime is how long a server stays cold, and for how long after that its share
	// rises to that of the others.
	ColdTime time.Duration
}

// ownerShare is the part of the rate that one owner uses. A server has two owners at
// most, which together stay below the bound of 1.5 times the rate and 5 requests in
// any second by a margin for requests that are delayed on their way.
const ownerShare = 0.75

// Interval returns the least time between two requests of one owner.
func (l Limit) Interval() time.Duration { return pacing.Interval(ownerShare * l.Rate) }

// Query asks whether an instance may send to a cold server.
type Query struct {
	Limit Limit
	// Self is the ID of the instance, and Owners are those of the server.
	Self   string
	Owners Owners
	// Confirmed is when the list of instances that Owners is derived from was last
	// known to be complete.
	Confirmed time.Time
	// SecondMaySend is true if Self is the second owner and believes that the first one
	// is not live. It has no effect for other instances.
	SecondMaySend bool
	// LastSend is when the instance last sent to the server, or the zero time.
	LastSend time.Time
}

// NextSend returns the time from which the instance may send a request to the server.
// It returns false if the instance is not an owner that may send now.
func (q Query) NextSend(now time.Time) (at time.Time, ok bool) {
	if now.Before(q.Owners.From) || now.Sub(q.Confirmed) > MaxRosterAge {
		return time.Time{}, false
	}
	if q.Self != q.Owners.First && (q.Self != q.Owners.Second || !q.SecondMaySend) {
		return time.Time{}, false
	}
	return q.LastSend.Add(q.Limit.Interval()), true
}

// MaySend reports whether the instance may send a request to the server at now.
func (q Query) MaySend(now time.Time) bool {
	at, ok := q.NextSend(now)
	return ok && !now.Before(at)
}

// rampStart is the share of its requests that a server gets right after its cold time. Its
// owners have kept it busy until then, so it is not left idle for the others.
const rampStart = 0.5

// Ramp returns the share, from 0 to 1, that a server has of the requests that it would
// get if it had not been cold until coldUntil.
func (l Limit) Ramp(coldUntil, now time.Time) float64 {
	warm := now.Sub(coldUntil)
	if l.Rate <= 0 || coldUntil.IsZero() || warm >= l.ColdTime {
		return 1
	}
	return rampStart + (1-rampStart)*max(0, warm.Seconds()/l.ColdTime.Seconds())
}
