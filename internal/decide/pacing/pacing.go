package pacing

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
)

const (
	// catchUp is the part of the interval by which a sender may be ahead of its rate, so that
	// a server does not lose the requests of a sender that had none in time.
	catchUp = 0.5
	// senderRate is the number of requests per second for which a server gets one more
	// sender. With one sender for many requests, a server would idle whenever that
	// instance has none for it; with many for a few, each would keep requests waiting.
	senderRate = 1.0
	// minRate is the least rate, in requests per second, at which a server is sent
	// requests, so that its senders learn when its limit ends.
	minRate = 0.25
	// MaxRate is the highest rate that counts as a limit, in requests per second.
	MaxRate = 1e6
	// maxInterval bounds Interval, which a tiny rate would overflow.
	maxInterval = time.Hour
)

// Interval returns the time between two requests at a rate per second.
func Interval(rate float64) time.Duration {
	return time.Duration(min(float64(maxInterval), float64(time.Second)/rate))
}

// Instance is an instance and its failure domain.
type Instance struct{ ID, FailureDomain string }

// ByDomain returns the IDs of the instances inside and outside of a failure domain.
func ByDomain(instances []Instance, domain string) (inside, outside []string) {
	for _, i := range instances {
		if i.FailureDomain == domain {
			inside = append(inside, i.ID)
		} else {
			outside = append(outside, i.ID)
		}
	}
	return inside, outside
}

// Server is the process of a backend server.
type Server struct{ Process, FailureDomain string }

// Pace limits the requests of one sender to one server.
type Pace struct {
	// Interval is the mean time between two requests.
	Interval time.Duration
}

// Next returns the earliest time of the next request, if the sender has used its rate up to
// the time used.
func (p Pace) Next(used time.Time) time.Time {
	return used.Add(-time.Duration(catchUp * float64(p.Interval)))
}

// Use returns the time up to which the sender has used its rate after a request at now.
func (p Pace) Use(used, now time.Time) time.Time {
	if used.Before(now) {
		used = now
	}
	return used.Add(p.Interval)
}

// Senders returns the instances that may send requests to a server which takes rate requests
// per second from all instances, and the pace of each of them.
// Instances of the server's failure domain come first; among equals the rendezvous hash
// decides, so that a change of the instances changes few senders.
func Senders(s Server, rate float64, live []Instance) (senders []string, pace Pace) {
	rate = max(rate, minRate)
	n := min(len(live), int(math.Ceil(rate/senderRate)))
	inside, outside := ByDomain(live, s.FailureDomain)
	// The prefix keeps the choice independent of those of other owners.
	key := xxhash.Sum64String("pacing/" + s.Process)
	senders = membership.Owners(key, inside, min(n, len(inside)))
	if rest := n - len(senders); rest > 0 {
		senders = slices.Concat(senders, membership.Owners(key, outside, rest))
	}
	return senders, Pace{Interval: Interval(rate / float64(max(1, n)))}
}
