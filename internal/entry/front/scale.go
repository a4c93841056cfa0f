package front

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/decide/capacity"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
	"wasabiworks.example/wasabiworks/internal/platform/store"
)

const (
	// scalePeriod is how often the orders are looked at.
	scalePeriod = 500 * time.Millisecond
	// orderAgain is how long an order that was taken is not repeated, and
	// orderRetry the same for one that was refused.
	orderAgain = 20 * time.Second
	orderRetry = 2 * time.Second
	// planPrefix is where the planned numbers of servers are kept.
	planPrefix = "wasabiworks/plan/"
	// loadWindows is the number of past windows of which the busiest counts.
	loadWindows = 3
	// speedKept is the part of the measured speed that is kept from look to
	// look, so that it follows slower servers within a minute.
	speedKept = 0.995
	// shrink is the part of the servers below which fewer are ordered.
	shrink = 0.75
	// steady is how long the number of servers must be the same to be taken for
	// what was planned.
	steady = 1500 * time.Millisecond
	// plannedPart is the part of the planned servers that is needed.
	plannedPart = 0.75
)

// orderKey identifies what is ordered.
type orderKey struct {
	service, domain string
	reclaimable     bool
}

// ordered is the last order.
type ordered struct {
	desired int
	retry   time.Time // on the boot clock; not sent again before, if equal
}

// scaler orders servers while this instance holds the duty.
type scaler struct {
	front *Front
	fence int64
	sent  map[orderKey]ordered
	// totals are the servers of each service as last seen, and since when the
	// number is the same.
	totals map[string]total
	speed  map[string]int64 // in tokens per second
	need   map[string]float64
}

type total struct {
	servers int
	since   time.Time
}

// run orders servers until ctx ends.
func (s *scaler) run(ctx context.Context) {
	t := time.NewTicker(scalePeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		fence, ok := s.front.duty.Fence()
		table := s.front.table.Load()
		if !ok || table == nil {
			continue
		}
		if fence != s.fence {
			s.fence, s.sent, s.totals = fence, make(map[orderKey]ordered), make(map[string]total)
			s.speed, s.need = make(map[string]int64), make(map[string]float64)
		}
		for i := range table.Services {
			if table.Services[i].Scaling != nil {
				s.scale(ctx, &table.Services[i])
			}
		}
	}
}

// scale orders the servers of one service.
func (s *scaler) scale(ctx context.Context, service *routes.Service) {
	if s.front.now().Sub(s.front.follower.Trouble()) < troubled {
		return // the servers are not known
	}
	planned, ok := s.planned(ctx, service.Name)
	if !ok {
		return
	}
	need := s.needed(service, planned)
	c := capacity.Service{
		Min: service.Scaling.Min, Max: service.Scaling.Max, ReclaimablePrice: service.Scaling.ReclaimablePrice, Need: need,
	}
	for domain, price := range service.Scaling.Prices {
		c.Domains = append(c.Domains, capacity.Domain{Name: domain, Price: price})
	}
	slices.SortFunc(c.Domains, func(a, b capacity.Domain) int { return strings.Compare(a.Name, b.Name) })
	for _, o := range capacity.Plan(c) {
		if o.Reclaimable > 0 {
			s.order(ctx, orderKey{service.Name, o.Domain, true}, o.Reclaimable)
		}
		s.order(ctx, orderKey{service.Name, o.Domain, false}, o.Ordinary)
	}
}

// needed returns the number of servers that the load of the last windows
// needs. Before there is a load it is a part of what was planned.
func (s *scaler) needed(service *routes.Service, planned int) float64 {
	need := 0.0
	measured := false
	last := s.front.counter.at(time.Now()) - 1
	for k := last - loadWindows; k <= last; k++ {
		loads, nodes := s.front.collector.loads(k)
		l, ok := loads[service.Name]
		if !ok || 2*nodes < s.front.instances() {
			continue
		}
		measured = true
		slots := 0
		if service.Engine != nil {
			slots = service.Engine.Slots
		}
		if l.Speed > 0 {
			s.speed[service.Name] = max(l.Speed, int64(speedKept*float64(s.speed[service.Name])))
		}
		need = max(need, capacity.Need(capacity.Load{
			Unread: float64(l.Unread) / s.front.counter.window.Seconds(), Speed: float64(s.speed[service.Name]),
			Concurrent: float64(l.Busy) / float64(s.front.counter.window.Milliseconds()), Slots: slots,
		}))
	}
	if !measured {
		return plannedPart * float64(planned)
	}
	have := s.need[service.Name]
	if have > 0 && need < have && need > have*shrink {
		need = have // small changes don't pay for the servers that come and go
	}
	s.need[service.Name] = need
	return need
}

// planned returns the number of servers that a service had before this system
// changed it. The first holder of the duty writes it to the store.
func (s *scaler) planned(ctx context.Context, service string) (servers int, ok bool) {
	if n, ok := s.front.plans.Load(service); ok {
		return n.(int), true
	}
	now := s.front.now()
	seen := total{len(s.front.pool.Service(service)), now}
	last, ok := s.totals[service]
	if !ok || last.servers != seen.servers {
		s.totals[service] = seen
		return 0, false
	}
	if seen.servers == 0 || now.Sub(last.since) < steady {
		return 0, false
	}
	key := planPrefix + service
	_, err := s.front.config.Store.Commit(ctx, store.Commit{
		Conditions: []store.Condition{{Key: key}}, Puts: []store.Put{{Key: key, Value: []byte(strconv.Itoa(seen.servers))}},
	})
	if err != nil {
		// If it stands there, the watch brings it.
		s.front.config.Log.Info("planned servers could not be kept", zap.String("service", service), zap.Error(err))
		return 0, false
	}
	s.front.plans.Store(service, seen.servers)
	return seen.servers, true
}

// applyPlan takes the planned number of servers of a service.
func (f *Front) applyPlan(item store.Item) {
	n, err := strconv.Atoi(string(item.Value))
	if item.Removed || err != nil || n <= 0 {
		f.config.Log.Warn("planned servers are not readable", zap.String("key", item.Key), zap.Error(err))
		return
	}
	f.plans.Store(strings.TrimPrefix(item.Key, planPrefix), n)
}

// order sends an order that differs from the last one, or is due again.
func (s *scaler) order(ctx context.Context, k orderKey, desired int) {
	now := s.front.now()
	last, ok := s.sent[k]
	if ok && last.desired == desired && now.Before(last.retry) {
		return
	}
	fence, held := s.front.duty.Fence()
	if !held {
		return
	}
	err := s.front.config.Cloud.Order(ctx, fence, k.service, k.domain, desired, k.reclaimable)
	wait := orderAgain
	if err != nil {
		wait = orderRetry
	}
	s.sent[k] = ordered{desired, now.Add(wait)}
	if errors.Is(err, context.Canceled) || ok && last.desired == desired && err == nil {
		return
	}
	s.front.config.Log.Info("servers ordered", zap.String("service", k.service), zap.String("domain", k.domain), zap.Bool("reclaimable", k.reclaimable),
		zap.Int("desired", desired), zap.Int64("fence", fence), zap.Error(err))
}
