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
	// sharePeriod is the interval between two computations of this instance's
	// shares of the limits, and of all other work of runPeriodicUpdates.
	sharePeriod = time.Second
	// demandSmoothing is the weight of the last period in the exponentially
	// smoothed request rate.
	demandSmoothing = 0.5
	// admissionFactor is the number of requests that may be admitted, as a
	// multiple of the capacity. Requests above the capacity wait in the backend
	// servers' queues, for about the mean duration of a response times the
	// excess of the factor over 1. A response takes seconds, so with queues of
	// half the capacity the first token is late under overload.
	admissionFactor = 1.1
	// spareThreshold is the utilization of an entry's capacity below which an
	// instance may use spareFactor times its share, so that unevenly distributed
	// requests are not rejected while servers have free slots. The utilization
	// comes from load reports that are up to 1.5 s old.
	spareThreshold = 0.8
	spareFactor    = 2
)

// workspaceLimiter limits the requests of one workspace to one entry on this
// instance.
type workspaceLimiter struct {
	bucket   limit.Bucket
	arrivals atomic.Int64
	rate     float64 // smoothed arrivals per second; used by updateShares only
}

// limiter admits requests within this instance's share of each limit and of the
// backend servers' capacity.
type limiter struct {
	instanceID    string
	domain        string
	fleet         *fleet.Fleet
	demands       *demand.Table
	liveInstances func() int // number of live entry instances, including this one

	snapshot func() *catalogue.Snapshot

	workspaceLimiters sync.Map // demand.WorkspaceEntry to *workspaceLimiter
	shedders          sync.Map // entry name to *limit.Shedder
}

// workspaceLimiter returns the limiter of a workspace on an entry and creates it
// on first use. A new limiter starts with an equal share of the limit, because
// the demand of other instances is not taken into account before the next period.
func (l *limiter) workspaceLimiter(u demand.WorkspaceEntry) *workspaceLimiter {
	if w, ok := l.workspaceLimiters.Load(u); ok {
		return w.(*workspaceLimiter)
	}
	w := new(workspaceLimiter)
	if s := l.snapshot(); s != nil {
		l.setLimits(s, u, w, demand.Demand{}, nil)
	}
	actual, _ := l.workspaceLimiters.LoadOrStore(u, w)
	return actual.(*workspaceLimiter)
}

func (l *limiter) shedder(entry string) *limit.Shedder {
	if s, ok := l.shedders.Load(entry); ok {
		return s.(*limit.Shedder)
	}
	s, _ := l.shedders.LoadOrStore(entry, new(limit.Shedder))
	return s.(*limit.Shedder)
}

// Admit admits a request or returns a *reply.Error. The caller must call release
// at the end of an admitted request.
func (l *limiter) Admit(workspace string, e *catalogue.Entry, now time.Time) (release func(), err error) {
	w := l.workspaceLimiter(demand.WorkspaceEntry{Entry: e.Name, Workspace: workspace})
	w.arrivals.Add(1)
	if !w.bucket.Admit(now) {
		return nil, rejection(http.StatusTooManyRequests, "rate_limited", "the workspace's limit on this entry is reached")
	}
	s, class := l.shedder(e.Name), limit.Interactive
	if e.Class == catalogue.ClassBatch {
		class = limit.Batch
	}
	if !s.Admit(workspace, class) {
		w.bucket.Release()
		return nil, rejection(http.StatusServiceUnavailable, "overloaded", "the entry's backend servers have no capacity left")
	}
	return func() {
		s.Release(workspace)
		w.bucket.Release()
	}, nil
}

// rejection returns a *reply.Error that asks the client to retry after a second.
func rejection(status int, code, message string) error {
	e := reply.Rejected(status, code, message)
	e.RetryAfter = time.Second
	return e
}

// updateShares measures and publishes this instance's demand, and sets its shares
// of the limits and of the capacity. It must be called once per sharePeriod.
func (l *limiter) updateShares(s *catalogue.Snapshot, now time.Time) {
	if s == nil {
		return
	}
	others := l.demands.Others()
	capacity, used := make(map[string]float64), make(map[string]float64)
	ownRates := make(map[string]float64)
	otherRates := make(map[string][]float64)
	var published []demand.Demand
	l.workspaceLimiters.Range(func(k, v any) bool {
		u, w := k.(demand.WorkspaceEntry), v.(*workspaceLimiter)
		w.rate = demandSmoothing*float64(w.arrivals.Swap(0))/sharePeriod.Seconds() + (1-demandSmoothing)*w.rate
		d := demand.Demand{Node: l.instanceID, WorkspaceEntry: u, Rate: w.rate, Concurrent: float64(w.bucket.Running()), At: now}
		// The smoothed rate of an idle workspace only approaches zero, so that
		// negligible rates are not published.
		if d.Rate >= 0.01 || d.Concurrent > 0 {
			l.demands.Publish(d)
			published = append(published, d)
		}
		ownRates[u.Entry] += d.Rate
		l.setLimits(s, u, w, d, others[u])
		return true
	})
	l.demands.PublishSums(published, others, now)
	for u, ds := range others {
		for _, d := range ds {
			otherRates[u.Entry] = append(otherRates[u.Entry], d.Rate)
		}
	}
	for i := range s.Catalogue.Entries {
		name := s.Catalogue.Entries[i].Name
		for _, b := range l.fleet.View(name) {
			capacity[name] += float64(b.Capacity)
			used[name] += float64(b.Running + b.Queued)
		}
		l.setCapacity(name, capacity[name], used[name], ownRates[name], otherRates[name])
	}
}

// setLimits sets the rate and the concurrency of w to this instance's shares of
// the limit of a workspace on an entry. If there is no limit in s, w admits all
// requests.
func (l *limiter) setLimits(s *catalogue.Snapshot, u demand.WorkspaceEntry, w *workspaceLimiter, own demand.Demand, others []demand.Demand) {
	c, ok := s.LimitOf(u.Entry, u.Workspace)
	if !ok {
		w.bucket.SetRate(0, 0) // zero means no limit
		return
	}
	// Instances without demand are included with demand zero, so that each keeps
	// an equal share of the unused part of the limit.
	n := max(len(others), l.liveInstances()-1)
	rates, running := make([]float64, n), make([]float64, n)
	for i, d := range others {
		rates[i], running[i] = d.Rate, d.Concurrent
	}
	concurrent := 0
	if c.Concurrent > 0 {
		concurrent = max(1, int(math.Floor(limit.Share(float64(c.Concurrent), own.Concurrent, running))))
	}
	w.bucket.SetRate(limit.Share(c.RequestsPerSecond, own.Rate, rates), concurrent)
}

// setCapacity sets this instance's share of an entry's capacity. The share
// depends on demand, but is at least an equal share, because demand is known with
// a delay and the backend servers' queues absorb the excess.
func (l *limiter) setCapacity(entry string, capacity, used, own float64, others []float64) {
	if capacity == 0 {
		return // no load report yet; the servers reject requests that they cannot run
	}
	share := max(limit.Share(capacity, own, others), capacity/float64(max(1, l.liveInstances())))
	if used < spareThreshold*capacity {
		share = min(capacity, spareFactor*share)
	}
	l.shedder(entry).SetCapacity(max(1, admissionFactor*share))
}
