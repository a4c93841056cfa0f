package admission

import (
	"math"
	"slices"
	"time"
)

// Config configures a Queue.
type Config struct {
	// MaxRequests and MaxBytes bound the waiting requests.
	MaxRequests int
	MaxBytes    int64
}

// Entry is a waiting request with a value of the caller.
type Entry[T any] struct {
	Request Request
	Value   T
	// HoldUntil is the time at which the request is refused.
	HoldUntil time.Time
	waiting   bool
}

// Queue holds the requests for one service that wait for a server.
//
// The most urgent requests are sent first, unless a less urgent class would be starved.
// Among requests of one urgency, each workspace gets the same share of the work (start-time
// fair queueing), and of its requests the one with the least slack is sent first.
type Queue[T any] struct {
	config  Config
	classes [Urgencies]class[T]
	length  int
	bytes   int64
}

// class holds the waiting requests of one urgency. Its flow with the least start tag is
// served next.
type class[T any] struct {
	share share
	flows map[string]*flow[T] // by workspace
	// virtualTime is the greatest start tag of a request that was sent. A flow that was
	// empty starts there, so that it gets no share for the time when it had no requests.
	virtualTime float64
	length      int
}

// flow holds the waiting requests of one workspace and urgency.
type flow[T any] struct {
	workspace string
	// startTag is the start tag of the next request: that of the last one and its work,
	// or the virtual time when the flow became busy, if that is greater.
	startTag float64
	entries  []*Entry[T]
}

// NewQueue returns an empty queue.
func NewQueue[T any](c Config) *Queue[T] { return &Queue[T]{config: c} }

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.length }

// LenOf returns the number of waiting requests of an urgency.
func (q *Queue[T]) LenOf(urgency int) int { return q.classes[urgency].length }

// Offer counts a new request, and returns its entry after adding it to the queue. If the
// queue is too full, it removes the entries that cost their clients least and returns
// them; the new one may be among them.
func (q *Queue[T]) Offer(r Request, value T, holdUntil, now time.Time) (e *Entry[T], shed []*Entry[T]) {
	e = &Entry[T]{Request: r, Value: value}
	q.classes[r.Urgency].share.add(1, 0, now)
	q.Return(e, holdUntil)
	for q.length > 1 && (q.length > q.config.MaxRequests || q.bytes > q.config.MaxBytes) {
		victim := q.cheapest(now)
		q.Remove(victim)
		shed = append(shed, victim)
	}
	return e, shed
}

// Return adds an entry that Next or Remove took from the queue.
func (q *Queue[T]) Return(e *Entry[T], holdUntil time.Time) {
	e.HoldUntil, e.waiting = holdUntil, true
	c := &q.classes[e.Request.Urgency]
	f := c.flow(e.Request.Workspace)
	if len(f.entries) == 0 {
		f.startTag = max(f.startTag, c.virtualTime)
	}
	f.entries = append(f.entries, e)
	c.length++
	q.length++
	q.bytes += e.Request.Bytes
}

// Remove takes an entry from the queue. It reports whether the entry was in it.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	if !e.waiting {
		return false
	}
	e.waiting = false
	c := &q.classes[e.Request.Urgency]
	f := c.flows[e.Request.Workspace]
	f.entries = slices.DeleteFunc(f.entries, func(other *Entry[T]) bool { return other == e })
	c.length--
	q.length--
	q.bytes -= e.Request.Bytes
	c.prune()
	return true
}

// flow returns the flow of a workspace, which begins at the current virtual time.
func (c *class[T]) flow(workspace string) *flow[T] {
	f, ok := c.flows[workspace]
	if !ok {
		if c.flows == nil {
			c.flows = make(map[string]*flow[T])
		}
		f = &flow[T]{workspace: workspace, startTag: c.virtualTime}
		c.flows[workspace] = f
	}
	return f
}

// prune forgets workspaces whose share would be that of a new one.
func (c *class[T]) prune() {
	for name, f := range c.flows {
		if len(f.entries) == 0 && f.startTag <= c.virtualTime {
			delete(c.flows, name)
		}
	}
}

// Expire removes and returns the requests that are no longer to be held at now.
func (q *Queue[T]) Expire(now time.Time) (expired []*Entry[T]) {
	for e := range q.entries {
		if !now.Before(e.HoldUntil) {
			expired = append(expired, e)
		}
	}
	for _, e := range expired {
		q.Remove(e)
	}
	return expired
}

// Drain removes and returns all requests.
func (q *Queue[T]) Drain() []*Entry[T] {
	all := slices.Collect(q.entries)
	for _, e := range all {
		q.Remove(e)
	}
	return all
}

// Wake returns the earliest time after now at which a request expires or becomes ready,
// or the zero time if the queue is empty.
func (q *Queue[T]) Wake(now time.Time) (at time.Time) {
	for e := range q.entries {
		next := e.HoldUntil
		if e.Request.ReadyAt.After(now) {
			next = earlier(next, e.Request.ReadyAt)
		}
		if at.IsZero() || next.Before(at) {
			at = next
		}
	}
	return at
}

// entries iterates over all waiting requests. The queue must not be changed meanwhile.
func (q *Queue[T]) entries(yield func(*Entry[T]) bool) {
	for u := range q.classes {
		for _, f := range q.classes[u].flows {
			for _, e := range f.entries {
				if !yield(e) {
					return
				}
			}
		}
	}
}

// Next removes and returns the request to send next, or nil if none is ready at now.
func (q *Queue[T]) Next(now time.Time) *Entry[T] {
	var best *Entry[T]
	// best is the request of the most urgent class that has a ready one, until a less
	// urgent class is found to be starved, and then that of the most starved one.
	topShare, lowest := 0.0, math.Inf(1)
	for u := range q.classes {
		c := &q.classes[u]
		if c.length == 0 {
			continue
		}
		e := c.next(now)
		if e == nil {
			continue
		}
		c.share.add(0, 0, now)
		fraction := c.share.fraction()
		if best == nil {
			best, topShare = e, fraction
		} else if fraction < minShare*topShare && fraction < lowest {
			best, lowest = e, fraction
		}
	}
	if best != nil {
		q.Remove(best)
	}
	return best
}

// Sent counts a request that Next returned and that was sent.
func (q *Queue[T]) Sent(e *Entry[T], now time.Time) {
	c := &q.classes[e.Request.Urgency]
	c.share.add(0, 1, now)
	f := c.flow(e.Request.Workspace)
	c.virtualTime = max(c.virtualTime, f.startTag)
	f.startTag += max(1, e.Request.Work)
}

// next returns the request of the class to send next, or nil if none is ready.
func (c *class[T]) next(now time.Time) (best *Entry[T]) {
	least := math.Inf(1)
	for _, f := range c.flows {
		e := f.next(now)
		if e == nil || f.startTag > least {
			continue
		}
		if f.startTag < least || e.Request.before(&best.Request, now) {
			best, least = e, f.startTag
		}
	}
	return best
}

// next returns the request of the flow to send next, or nil if none is ready.
func (f *flow[T]) next(now time.Time) (best *Entry[T]) {
	for _, e := range f.entries {
		if e.Request.ReadyAt.After(now) {
			continue
		}
		if best == nil || e.Request.before(&best.Request, now) {
			best = e
		}
	}
	return best
}

// cheapest returns the waiting request whose refusal costs least: one of the least urgent
// class that is not starved, of the workspace with the most waiting requests, with the
// most work for its value.
func (q *Queue[T]) cheapest(now time.Time) *Entry[T] {
	var candidates *class[T]
	topShare := -1.0
	for u := range q.classes {
		c := &q.classes[u]
		if c.length == 0 {
			continue
		}
		c.share.add(0, 0, now)
		fraction := c.share.fraction()
		if topShare < 0 {
			topShare = fraction
		}
		if fraction >= minShare*topShare {
			candidates = c
		}
	}
	var longest *flow[T]
	for _, f := range candidates.flows {
		if longest == nil || len(f.entries) > len(longest.entries) || len(f.entries) == len(longest.entries) && f.workspace < longest.workspace {
			longest = f
		}
	}
	return slices.MaxFunc(longest.entries, func(a, b *Entry[T]) int {
		switch {
		case a.Request.Work > b.Request.Work:
			return 1
		case a.Request.Work < b.Request.Work:
			return -1
		}
		return a.Request.Arrival.Compare(b.Request.Arrival)
	})
}

// Ahead returns the number of waiting requests that are more urgent than an urgency.
func (q *Queue[T]) Ahead(urgency int) (n int) {
	for u := range urgency {
		n += q.classes[u].length
	}
	return n
}

// Position returns the number of waiting requests of which r is sent after at now.
func (q *Queue[T]) Position(r *Request, now time.Time) int {
	n := q.Ahead(r.Urgency)
	for _, f := range q.classes[r.Urgency].flows {
		for _, e := range f.entries {
			if e.Request.before(r, now) {
				n++
			}
		}
	}
	return n
}
