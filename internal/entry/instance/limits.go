package instance

import (
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/fleet"
	"wasabiworks.example/wasabiworks/internal/caller/reply"
	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/limit"
	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
	"wasabiworks.example/wasabiworks/internal/peer/exchange"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

const (
	// sharePeriod is the time between two computations of the limits' shares.
	sharePeriod = time.Second
	// demandKept is how long a node's demand counts after it was measured, and
	// demandRepeat after what time it is sent again though it hardly changed.
	demandKept   = 10 * time.Second
	demandRepeat = 4 * time.Second
	// demandChange is the part by which demand must change to be sent at once.
	demandChange = 0.1
	// smoothing is the weight of the last period in the measured demand.
	smoothing = 0.5
	// queueFactor is the part of the capacity that may be admitted; what
	// exceeds 1 waits in the backend servers' queues. A request waits for about
	// the excess times the mean duration of a response, which is seconds; with
	// half the capacity in queues the first token is late under overload.
	queueFactor = 1.1
)

// use identifies a workspace on an entry.
type use struct{ entry, workspace string }

// demand is the use by one node, or the sum over a failure domain, whose name
// is as in package evidence.
type demand struct {
	node string
	use
	rate       float64 // requests per second
	concurrent float64
	at         time.Time
}

type demandKey struct {
	node string
	use
}

// newDemands spreads demand: to the failure domain what this node measured, and
// to other failure domains the sum over its own, so that what crosses does not
// grow with the nodes.
func newDemands(self, domain string, now func() time.Time) *exchange.Set[demandKey, demand] {
	return exchange.NewSet(exchange.SetConfig[demandKey, demand]{
		Key: func(d demand) demandKey { return demandKey{d.node, d.use} },
		Join: func(have, offered demand) (demand, bool) {
			if offered.at.After(have.at) {
				return offered, true
			}
			return have, false
		},
		Deadline: func(d demand) time.Time { return d.at.Add(demandKept) },
		Relay: func(to membership.Member, d demand) bool {
			if to.FailureDomain == domain {
				return d.node == self
			}
			return d.node == evidence.DomainNode(domain)
		},
		Add: func(d *peerpb.Digest, v demand) {
			d.Demands = append(d.Demands, &peerpb.Demand{
				Node: v.node, Entry: v.entry, Workspace: v.workspace,
				RequestsPerSecond: float32(v.rate), Concurrent: uint32(v.concurrent), At: v.at.UnixNano(),
			})
		},
		Take: func(d *peerpb.Digest) (vs []demand) {
			for _, v := range d.GetDemands() {
				if !named(v.GetNode(), v.GetEntry(), v.GetWorkspace()) {
					continue
				}
				vs = append(vs, demand{
					node: v.GetNode(), use: use{v.GetEntry(), v.GetWorkspace()},
					rate: float64(v.GetRequestsPerSecond()), concurrent: float64(v.GetConcurrent()), at: time.Unix(0, v.GetAt()),
				})
			}
			return vs
		},
		Now: now,
	})
}

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
	demands *exchange.Set[demandKey, demand]
	nodes   func() int // live entry instances, this one included

	// domainOf returns the failure domain of a node, and live the number of live
	// nodes of a failure domain.
	domainOf func(node string) string
	live     func(domain string) int
	snapshot func() *catalogue.Snapshot

	gates    sync.Map // use to *gate
	shedders sync.Map // entry name to *limit.Shedder
}

// gate returns the gate of u. A new one starts with an even part of the limit,
// since the other nodes' demand is not looked at before the next period.
func (l *limiter) gate(u use) *gate {
	if g, ok := l.gates.Load(u); ok {
		return g.(*gate)
	}
	g := new(gate)
	if s := l.snapshot(); s != nil {
		l.setRate(s, u, g, demand{}, nil)
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
	g := l.gate(use{e.Name, workspace})
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
	others := l.others()
	capacity := make(map[string]float64)
	own := make(map[string]float64)
	sums := l.sums(others)
	foreign := make(map[string][]float64)
	l.gates.Range(func(k, v any) bool {
		u, g := k.(use), v.(*gate)
		g.rate = smoothing*float64(g.arrived.Swap(0))/sharePeriod.Seconds() + (1-smoothing)*g.rate
		d := demand{node: l.node, use: u, rate: g.rate, concurrent: float64(g.bucket.Running()), at: now}
		if d.rate >= 0.01 || d.concurrent > 0 {
			l.put(d)
			sums[u] = sums[u].plus(d)
		}
		own[u.entry] += d.rate
		l.setRate(s, u, g, d, others[u])
		return true
	})
	for u, sum := range sums {
		sum.node, sum.use, sum.at = evidence.DomainNode(l.domain), u, now
		l.put(sum)
	}
	for u, ds := range others {
		for _, d := range ds {
			foreign[u.entry] = append(foreign[u.entry], d.rate)
		}
	}
	for i := range s.Catalogue.Entries {
		name := s.Catalogue.Entries[i].Name
		for _, b := range l.fleet.View(name) {
			capacity[name] += float64(b.Capacity)
		}
		l.setCapacity(name, capacity[name], own[name], foreign[name])
	}
}

// put publishes demand that changed notably or was last sent a while ago.
func (l *limiter) put(d demand) {
	have, ok := l.demands.Get(demandKey{d.node, d.use})
	if ok && d.at.Sub(have.at) < demandRepeat &&
		math.Abs(d.rate-have.rate) <= demandChange*have.rate && math.Abs(d.concurrent-have.concurrent) <= demandChange*have.concurrent {
		return
	}
	l.demands.Put(d)
}

// others returns the demand of the other nodes. The sum over another failure
// domain is divided evenly among its live nodes, since limits are shared by
// node.
func (l *limiter) others() map[use][]demand {
	ds := make(map[use][]demand)
	for _, d := range l.demands.Values() {
		domain, isSum := evidence.DomainOf(d.node)
		switch {
		case d.node == l.node || isSum && domain == l.domain:
			continue
		case !isSum:
			ds[d.use] = append(ds[d.use], d)
			continue
		}
		n := max(1, l.live(domain))
		d.rate, d.concurrent = d.rate/float64(n), d.concurrent/float64(n)
		for range n {
			ds[d.use] = append(ds[d.use], d)
		}
	}
	return ds
}

func (d demand) plus(o demand) demand {
	d.rate, d.concurrent = d.rate+o.rate, d.concurrent+o.concurrent
	return d
}

// sums returns the demand of the other nodes of the failure domain by use.
func (l *limiter) sums(others map[use][]demand) map[use]demand {
	sums := make(map[use]demand)
	for u, ds := range others {
		for _, d := range ds {
			if l.domainOf(d.node) == l.domain {
				sums[u] = sums[u].plus(d)
			}
		}
	}
	return sums
}

func (l *limiter) setRate(s *catalogue.Snapshot, u use, g *gate, own demand, others []demand) {
	c, ok := s.LimitOf(u.entry, u.workspace)
	if !ok {
		g.bucket.SetRate(0, 0)
		return
	}
	// Idle nodes count with no demand, so that each keeps an even part of what
	// nobody uses.
	n := max(len(others), l.nodes()-1)
	rates, running := make([]float64, n), make([]float64, n)
	for i, d := range others {
		rates[i], running[i] = d.rate, d.concurrent
	}
	concurrent := 0
	if c.Concurrent > 0 {
		concurrent = max(1, int(math.Floor(limit.Share(float64(c.Concurrent), own.concurrent, running))))
	}
	g.bucket.SetRate(limit.Share(c.RequestsPerSecond, own.rate, rates), concurrent)
}

// setCapacity gives the node its part of an entry's capacity: by demand, but
// no less than an equal part, since demand is known with a lag and the backend
// servers' queues absorb the difference.
func (l *limiter) setCapacity(entry string, capacity, own float64, others []float64) {
	if capacity == 0 {
		return // no load report yet; the servers reject what they cannot run
	}
	part := max(limit.Share(capacity, own, others), capacity/float64(max(1, l.nodes())))
	l.shedder(entry).SetCapacity(max(1, queueFactor*part))
}
