package gateway

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
	// scalePeriod is the time between two computations of the orders.
	scalePeriod = 500 * time.Millisecond
	// repeatDelay is the time after which an order is sent again in any case, and
	// refillDelay that after which it is sent again because fewer servers run than
	// were ordered. The cloud does not replace servers that were taken away, and
	// ordered ones take some seconds to start.
	repeatDelay = time.Minute
	refillDelay = 6 * time.Second
	// minRetryDelay is the time after which an order is sent again if the call
	// failed; it doubles up to maxRetryDelay.
	minRetryDelay = 2 * time.Second
	maxRetryDelay = 8 * time.Second
	// planPrefix is the prefix of the store keys that hold the planned numbers of
	// servers.
	planPrefix = "wasabiworks/plan/"
	// maxPlannedServers is the largest accepted planned number of servers.
	maxPlannedServers = 1 << 20
	// storeRecoveryTime is how long after a failed call to the store the set of
	// known servers is assumed to be incomplete.
	storeRecoveryTime = 3 * time.Second
	// stableTime is how long the number of servers must stay the same before it is
	// taken as the planned number.
	stableTime = 1500 * time.Millisecond
)

// orderKey identifies a group of servers that is ordered separately.
type orderKey struct {
	service, domain string
	reclaimable     bool
}

// sentOrder is the last order for a group of servers that was sent to the cloud,
// whether or not the call succeeded.
type sentOrder struct {
	desired  int
	failures int // consecutive failed calls
	// retryAt is the time from which the order is sent again while fewer servers run
	// than were ordered, and repeatAt that from which it is sent again anyway, on the
	// boot clock.
	retryAt, repeatAt time.Time
}

// due reports whether to send an order for desired servers while some are running.
func (o sentOrder) due(desired, running int, now time.Time) bool {
	return desired != o.desired || !now.Before(o.repeatAt) || running < desired && !now.Before(o.retryAt)
}

// next returns the order after a call for desired servers at now that returned err.
func (o sentOrder) next(desired int, now time.Time, err error) sentOrder {
	if err == nil {
		return sentOrder{desired: desired, retryAt: now.Add(refillDelay), repeatAt: now.Add(repeatDelay)}
	}
	failures := o.failures + 1
	if desired != o.desired {
		failures = 1
	}
	retryAt := now.Add(min(maxRetryDelay, minRetryDelay<<min(failures-1, 10)))
	return sentOrder{desired: desired, failures: failures, retryAt: retryAt, repeatAt: now.Add(repeatDelay)}
}

// scaler orders servers while this instance holds the duty. Its state is reset
// when the fencing token changes.
type scaler struct {
	instance   *Instance
	fence      int64
	lastOrders map[orderKey]sentOrder
	// counts holds, by service, the number of servers last observed; it is used
	// until the planned number is known.
	counts map[string]serverCount
	// needs holds, by service, the number of servers needed.
	needs map[string]need
}

// need is the number of servers that a service needs, and the last usage window
// that it was computed from.
type need struct {
	servers float64
	window  int64
}

// serverCount is an observed number of servers and when it was first observed.
type serverCount struct {
	servers int
	since   time.Time // on the boot clock
}

// run periodically orders servers until ctx ends.
func (s *scaler) run(ctx context.Context) {
	wait.Every(ctx, scalePeriod, func() {
		fence, ok := s.instance.duty.Fence()
		table := s.instance.currentTable()
		if !ok || table == nil {
			return
		}
		if fence != s.fence {
			s.fence, s.lastOrders, s.counts = fence, make(map[orderKey]sentOrder), make(map[string]serverCount)
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
	if s.instance.now().Sub(s.instance.follower.LastFailure()) < storeRecoveryTime {
		return // the set of known servers may be incomplete
	}
	planned, ok := s.planned(ctx, service.Name)
	if !ok {
		return
	}
	c := capacity.Service{
		Min: service.Scaling.Min, Max: service.Scaling.Max, ReclaimablePrice: service.Scaling.ReclaimablePrice, Need: s.needed(service.Name, planned),
	}
	usable := s.usable(service.Name)
	c.Domains = s.domains(service, usable)
	for _, o := range capacity.Plan(c) {
		reclaimable, ordinary := orderKey{service.Name, o.Domain, true}, orderKey{service.Name, o.Domain, false}
		if o.Reclaimable > 0 {
			s.order(ctx, reclaimable, o.Reclaimable, usable[reclaimable])
		}
		s.order(ctx, ordinary, o.Ordinary, usable[ordinary])
	}
}

// domains returns the failure domains of a service that are not evacuated. Nothing is
// ordered or released in an evacuated one, and the others carry the need.
func (s *scaler) domains(service *routes.Service, usable map[orderKey]int) (domains []capacity.Domain) {
	evacuated := s.instance.pool.EvacuatedDomains()
	for name, price := range service.Scaling.Prices {
		if !evacuated.IsEvacuated(name) {
			domains = append(domains, capacity.Domain{Name: name, Price: price, Reclaimable: usable[orderKey{service.Name, name, true}]})
		}
	}
	slices.SortFunc(domains, func(a, b capacity.Domain) int { return strings.Compare(a.Name, b.Name) })
	return domains
}

// usable returns the number of a service's servers that take requests, by group.
func (s *scaler) usable(service string) map[orderKey]int {
	n := make(map[orderKey]int)
	for _, w := range s.instance.pool.Service(service) {
		if w.Usable() {
			n[orderKey{service, w.FailureDomain, w.Reclaimable}]++
		}
	}
	return n
}

// needed returns the number of servers that a service needs according to the late
// first events of its streams. A window is used only if at least half of the
// instances have sent their counts.
func (s *scaler) needed(service string, planned int) float64 {
	current := s.needs[service]
	if current.servers == 0 {
		current.servers = capacity.NextNeed(0, planned, capacity.Load{})
	}
	window, load, nodes := s.instance.usage.Load(service)
	if window > current.window && 2*nodes >= s.instance.instanceCount() {
		next := capacity.NextNeed(current.servers, planned, capacity.Load{Prompts: int(load.GetPrompts()), Late: int(load.GetLate())})
		if next != current.servers {
			s.instance.config.Log.Info("number of needed servers changed", zap.String("service", service), zap.Float64("servers", next), zap.Float64("before", current.servers),
				zap.Int64("window", window), zap.Int64("prompts", load.GetPrompts()), zap.Int64("late", load.GetLate()))
		}
		current.servers, current.window = next, window
	}
	s.needs[service] = current
	return current.servers
}

// planned returns the number of servers of a service before this system first
// changed that number; ok is false while it is not known. The first holder of the
// duty writes it to the store once it has been stable for stableTime.
func (s *scaler) planned(ctx context.Context, service string) (servers int, ok bool) {
	if n, ok := s.instance.plannedServers.Load(service); ok {
		return n.(int), true
	}
	now := s.instance.now()
	observed := serverCount{len(s.instance.pool.Service(service)), now}
	last, ok := s.counts[service]
	if !ok || last.servers != observed.servers {
		s.counts[service] = observed
		return 0, false
	}
	if observed.servers == 0 || now.Sub(last.since) < stableTime {
		return 0, false
	}
	key := planPrefix + service
	// An invalid number in the store is replaced.
	replaced, _ := s.instance.invalidPlans.Load(service)
	revision, _ := replaced.(int64)
	_, err := s.instance.config.Store.Commit(ctx, store.Commit{
		Conditions: []store.Condition{{Key: key, Revision: revision}}, Puts: []store.Put{{Key: key, Value: []byte(strconv.Itoa(observed.servers))}},
	})
	if err != nil {
		// If the number is in the store already, the watch delivers it.
		s.instance.config.Log.Info("storing planned number of servers failed", zap.String("service", service), zap.Error(err))
		return 0, false
	}
	s.instance.plannedServers.Store(service, observed.servers)
	return observed.servers, true
}

// applyPlan stores the planned number of servers of a service for the scaler. A
// number that is known remains in effect if it is removed or replaced by one that
// is not from 1 to maxPlannedServers.
func (f *Instance) applyPlan(item store.Item) {
	service := strings.TrimPrefix(item.Key, planPrefix)
	f.invalidPlans.Delete(service)
	if item.Removed {
		f.config.Log.Warn("planned number of servers was removed", zap.String("key", item.Key), zap.Int64("revision", item.Revision))
		return
	}
	n, err := strconv.Atoi(string(item.Value))
	if err != nil || n < 1 || n > maxPlannedServers {
		f.invalidPlans.Store(service, item.Revision)
		f.config.Log.Warn("ignoring invalid planned number of servers", zap.String("key", item.Key), zap.Int64("revision", item.Revision), zap.Error(err))
		return
	}
	f.plannedServers.Store(service, n)
}

// order sends an order if it differs from the last one or is due again. running is
// the number of servers of the group that take requests.
func (s *scaler) order(ctx context.Context, k orderKey, desired, running int) {
	now := s.instance.now()
	last, ok := s.lastOrders[k]
	if ok && !last.due(desired, running, now) {
		return
	}
	fence, held := s.instance.duty.Fence()
	if !held {
		return
	}
	err := s.instance.config.Cloud.SetCapacity(ctx, fence, k.service, k.domain, desired, k.reclaimable)
	s.lastOrders[k] = last.next(desired, now, err)
	if errors.Is(err, context.Canceled) {
		return
	}
	s.instance.config.Log.Info("server order attempted", zap.String("service", k.service), zap.String("domain", k.domain), zap.Bool("reclaimable", k.reclaimable),
		zap.Int("desired", desired), zap.Int("running", running), zap.Int64("fence", fence), zap.Error(err))
}
