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
	"wasabiworks.example/wasabiworks/internal/platform/wait"
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
	// troubled is how long after a failed call of the store the servers are not
	// taken to be known.
	troubled = 3 * time.Second
	// steady is how long the number of servers must be the same to be taken for
	// what was planned.
	steady = 1500 * time.Millisecond
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
	needs  map[string]need
}

// need is how many servers a service needs, and the last window that counted.
type need struct {
	servers float64
	window  int64
}

type total struct {
	servers int
	since   time.Time
}

// run orders servers until ctx ends.
func (s *scaler) run(ctx context.Context) {
	wait.Every(ctx, scalePeriod, func() {
		fence, ok := s.front.duty.Fence()
		table := s.front.table.Load()
		if !ok || table == nil {
			return
		}
		if fence != s.fence {
			s.fence, s.sent, s.totals = fence, make(map[orderKey]ordered), make(map[string]total)
			s.needs = make(map[string]need)
		}
		for i := range table.Services {
			if table.Services[i].Scaling != nil {
				s.scale(ctx, &table.Services[i])
			}
		}
	})
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
	c := capacity.Service{
		Min: service.Scaling.Min, Max: service.Scaling.Max, ReclaimablePrice: service.Scaling.ReclaimablePrice, Need: s.needed(service.Name, planned),
	}
	usable := s.reclaimable(service.Name)
	for domain, price := range service.Scaling.Prices {
		c.Domains = append(c.Domains, capacity.Domain{Name: domain, Price: price, Reclaimable: usable[domain]})
	}
	slices.SortFunc(c.Domains, func(a, b capacity.Domain) int { return strings.Compare(a.Name, b.Name) })
	for _, o := range capacity.Plan(c) {
		if o.Reclaimable > 0 {
			s.order(ctx, orderKey{service.Name, o.Domain, true}, o.Reclaimable)
		}
		s.order(ctx, orderKey{service.Name, o.Domain, false}, o.Ordinary)
	}
}

// reclaimable returns the number of a service's reclaimable servers that take
// requests, by failure domain.
func (s *scaler) reclaimable(service string) map[string]int {
	n := make(map[string]int)
	for _, w := range s.front.pool.Service(service) {
		if w.Reclaimable && w.Usable() {
			n[w.FailureDomain]++
		}
	}
	return n
}

// needed returns the number of servers that the streams of the past windows
// show to be needed.
func (s *scaler) needed(service string, planned int) float64 {
	n := s.needs[service]
	if n.servers == 0 {
		n.servers = capacity.Next(0, planned, capacity.Load{})
	}
	window, l, nodes := s.front.usage.Load(service)
	if window > n.window && 2*nodes >= s.front.instances() {
		next := capacity.Next(n.servers, planned, capacity.Load{Prompts: int(l.GetPrompts()), Late: int(l.GetLate())})
		if next != n.servers {
			s.front.config.Log.Info("need changed", zap.String("service", service), zap.Float64("servers", next), zap.Float64("before", n.servers),
				zap.Int64("window", window), zap.Int64("prompts", l.GetPrompts()), zap.Int64("late", l.GetLate()))
		}
		n.servers, n.window = next, window
	}
	s.needs[service] = n
	return n.servers
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
