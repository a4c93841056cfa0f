package instance

import (
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/fleet"
	"wasabiworks.example/wasabiworks/internal/caller/reply"
	"wasabiworks.example/wasabiworks/internal/decide/limit"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
	"wasabiworks.example/wasabiworks/internal/peer/demand"
)

const (
	// sharePeriod is the time between two computations of the limits' shares.
	sharePeriod = time.Second
	// smoothing is the weight of the last period in the measured demand.
	smoothing = 0.5
	// queueFactor is the part of the capacity that may be admitted; what
	// exceeds 1 waits in the backend servers' queues. A request waits for about
	// the excess times the mean duration of a response, which is seconds; with
	// half the capacity in queues the first token is late under overload.
	queueFactor = 1.1
	// spareBelow is the part of an entry's capacity in use below which a node may
	// take spareReach times its part: what comes unevenly is not rejected while
	// servers have free slots. Load reports are up to 1.5 s old.
	spareBelow = 0.8
	spareReach = 2
)

// gate limits one workspace on one entry at this node.
type gate struct {
	bucket  limit.Bucket
	arrived atomic.Int64
	rate    float64 // smoothed arrivals per second; used by share only
}

// limiter admits requests within this node's share of each limit and of the
// backend servers' capacity.
type limiter struct {
	node    string
	domain  string
	fleet   *fleet.Fleet
	demands *demand.Book
	nodes   func() int // live entry instances, this one included

	snapshot func() *catalogue.Snapshot

	gates    sync.Map // demand.Use to *gate
	shedders sync.Map // entry name to *limit.Shedder
}

// gate returns the gate of u. A new one starts with an even part of the limit,
// since the other nodes' demand is not looked at before the next period.
func (l *limiter) gate(u demand.Use) *gate {
	if g, ok := l.gates.Load(u); ok {
		return g.(*gate)
	}
	g := new(gate)
	if s := l.snapshot(); s != nil {
		l.setRate(s, u, g, demand.Demand{}, nil)
	}
	kept, _ := l.gates.LoadOrStore(u, g)
	return kept.(*gate)
}

func (l *limiter) shedder(entry string) *limit.Shedder {
	if s, ok := l.shedders.Load(entry); ok {
		return s.(*limit.Shedder)
	}
	s, _ := l.shedders.LoadOrStore(entry, new(limit.Shedder))
	return s.(*limit.Shedder)
}

// Admit admits a request or returns a *reply.Error; release ends the request.
func (l *limiter) Admit(workspace string, e *catalogue.Entry, now time.Time) (release func(), err error) {
	g := l.gate(demand.Use{Entry: e.Name, Workspace: workspace})
	g.arrived.Add(1)
	if !g.bucket.Take(now) {
		return nil, rejected(http.StatusTooManyRequests, "rate_limited", "the workspace's limit on this entry is reached")
	}
	s, class := l.shedder(e.Name), limit.Interactive
	if e.Class == catalogue.ClassBatch {
		class = limit.Batch
	}
	if !s.Admit(workspace, class) {
		g.bucket.Release()
		return nil, rejected(http.StatusServiceUnavailable, "overloaded", "the entry's backend servers have no capacity left")
	}
	return func() {
		s.Release(workspace)
		g.bucket.Release()
	}, nil
}

func rejected(status int, code, message string) error {
	e := reply.Rejected(status, code, message)
	e.RetryAfter = time.Second
	return e
}

// share measures this node's demand and sets its shares.
func (l *limiter) share(s *catalogue.Snapshot, now time.Time) {
	if s == nil {
		return
	}
	others := l.demands.Others()
	capacity, used := make(map[string]float64), make(map[string]float64)
	own := make(map[string]float64)
	foreign := make(map[string][]float64)
	var published []demand.Demand
	l.gates.Range(func(k, v any) bool {
		u, g := k.(demand.Use), v.(*gate)
		g.rate = smoothing*float64(g.arrived.Swap(0))/sharePeriod.Seconds() + (1-smoothing)*g.rate
		d := demand.Demand{Node: l.node, Use: u, Rate: g.rate, Concurrent: float64(g.bucket.Running()), At: now}
		if d.Rate >= 0.01 || d.Concurrent > 0 {
			l.demands.Publish(d)
			published = append(published, d)
		}
		own[u.Entry] += d.Rate
		l.setRate(s, u, g, d, others[u])
		return true
	})
	l.demands.PublishSums(published, others, now)
	for u, ds := range others {
		for _, d := range ds {
			foreign[u.Entry] = append(foreign[u.Entry], d.Rate)
		}
	}
	for i := range s.Catalogue.Entries {
		name := s.Catalogue.Entries[i].Name
		for _, b := range l.fleet.View(name) {
			capacity[name] += float64(b.Capacity)
			used[name] += float64(b.Running + b.Queued)
		}
		l.setCapacity(name, capacity[name], used[name], own[name], foreign[name])
	}
}

func (l *limiter) setRate(s *catalogue.Snapshot, u demand.Use, g *gate, own demand.Demand, others []demand.Demand) {
	c, ok := s.LimitOf(u.Entry, u.Workspace)
	if !ok {
		g.bucket.SetRate(0, 0)
		return
	}
	// Idle nodes count with no demand, so that each keeps an even part of what
	// nobody uses.
	n := max(len(others), l.nodes()-1)
	rates, running := make([]float64, n), make([]float64, n)
	for i, d := range others {
		rates[i], running[i] = d.Rate, d.Concurrent
	}
	concurrent := 0
	if c.Concurrent > 0 {
		concurrent = max(1, int(math.Floor(limit.Share(float64(c.Concurrent), own.Concurrent, running))))
	}
	g.bucket.SetRate(limit.Share(c.RequestsPerSecond, own.Rate, rates), concurrent)
}

// setCapacity gives the node its part of an entry's capacity: by demand, but
// no less than an equal part, since demand is known with a lag and the backend
// servers' queues absorb the difference.
func (l *limiter) setCapacity(entry string, capacity, used, own float64, others []float64) {
	if capacity == 0 {
		return // no load report yet; the servers reject what they cannot run
	}
	part := max(limit.Share(capacity, own, others), capacity/float64(max(1, l.nodes())))
	if used < spareBelow*capacity {
		part = min(capacity, spareReach*part)
	}
	l.shedder(entry).SetCapacity(max(1, queueFactor*part))
}
