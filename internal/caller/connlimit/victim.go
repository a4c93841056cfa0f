package connlimit

import "time"

// newcomerGrace is how long a connection has for its first request, or a body for its
// first bytes, before it may be closed to make room for others.
const newcomerGrace = time.Second

// victim returns the connection to close when the group is full, and the reason. Connections
// that have had no request for newcomerGrace go first, then the one that has been idle the
// longest, the slowest body, the oldest incomplete head, and the opaque connection that has
// been silent the longest. It returns nil if every connection has a request that was read,
// or within newcomerGrace began a body or, if opaque, sent something. g.mu must be held.
func (g *Group) victim(now time.Time) (*conn, Reason) {
	newcomer := g.oldestWithoutRequest()
	if newcomer != nil && now.Sub(newcomer.since) >= newcomerGrace {
		return newcomer, SlowHead
	}
	if c := g.queues[idle].first; c != nil {
		return c, LongestIdle
	}
	if c := g.slowestBody(now); c != nil {
		return c, SlowBody
	}
	if c := g.queues[reading].first; c != nil {
		return c, SlowHead
	}
	if c := g.longestSilent(now); c != nil {
		return c, LongestIdle
	}
	return nil, ""
}

// oldestWithoutRequest returns the oldest connection that reads its first head, or nil.
func (g *Group) oldestWithoutRequest() *conn {
	for c := g.queues[reading].first; c != nil; c = c.next {
		if !c.served {
			return c
		}
	}
	return nil
}

// slowestBody returns the connection whose body comes the most slowly, or nil if all have
// begun within newcomerGrace.
func (g *Group) slowestBody(now time.Time) (slowest *conn) {
	var least float64
	for c := g.queues[receiving].first; c != nil; c = c.next {
		age := now.Sub(c.since)
		if age < newcomerGrace {
			break // the others are younger
		}
		if rate := float64(c.received.Load()) / age.Seconds(); slowest == nil || rate < least {
			slowest, least = c, rate
		}
	}
	return slowest
}

// longestSilent returns the opaque connection that has sent nothing for the longest time,
// or nil if all have within newcomerGrace.
func (g *Group) longestSilent(now time.Time) (silent *conn) {
	least := now.Add(-newcomerGrace).UnixNano()
	for c := g.queues[opaque].first; c != nil; c = c.next {
		if heard := c.heardAt.Load(); heard <= least {
			silent, least = c, heard
		}
	}
	return silent
}
