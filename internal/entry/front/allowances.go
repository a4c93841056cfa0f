package front

import (
	"context"
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/limit"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
	"wasabiworks.example/wasabiworks/internal/peer/demand"
)

const (
	// sharePeriod is the time between two computations of the shares.
	sharePeriod = 500 * time.Millisecond
	// smoothing is the weight of the last period in the measured demand.
	smoothing = 0.2
	// settle is how long after it was published higher demand is drawn on. By
	// then the others know of it and have lowered their shares.
	settle = 5 * time.Second
	// slackPart is the part of the tolerated excess that widens the bursts, so
	// that an even load that arrives unevenly is not rejected.
	slackPart = 0.5
	// allowancesEntry is the entry under which the demand of workspaces on all
	// routes together is published.
	allowancesEntry = "*"
)

// allowances keeps this instance's share of each workspace's allowance.
type allowances struct {
	front *Front
	slack float64 // units beyond the allowance that all instances may admit

	mu     sync.Mutex
	shares map[string]*share
}

// share is the part of one workspace's allowance.
type share struct {
	limit limit.Allowance
	asked float64   // units since the last period
	rate  float64   // smoothed units per second
	past  []float64 // the rates of the last periods, as long as settle
}

// Take implements forward.Allowances.
func (a *allowances) Take(w *routes.Workspace, units float64) (bool, time.Duration) {
	if w.Allowance.Rate <= 0 {
		return true, 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s, ok := a.shares[w.Name]
	now := a.front.now()
	if !ok {
		s = new(share)
		a.shares[w.Name] = s
		a.set(w, s, 1/float64(a.front.instances()), now)
	}
	s.asked += units
	return s.limit.Take(units, now)
}

func (a *allowances) set(w *routes.Workspace, s *share, part float64, now time.Time) {
	burst := w.Allowance.Burst*part + slackPart*a.slack/float64(a.front.instances())
	s.limit.Set(w.Allowance.Rate*part, max(1, burst), now)
}

// compute measures the demand and sets the shares.
func (a *allowances) compute(t *routes.Table) {
	now, wall := a.front.now(), time.Now()
	others := a.front.demands.Others()
	unheard := a.front.unheard(wall)
	a.mu.Lock()
	var own []demand.Demand
	for i := range t.Workspaces {
		w := &t.Workspaces[i]
		s, ok := a.shares[w.Name]
		if !ok || w.Allowance.Rate <= 0 {
			continue
		}
		s.rate = smoothing*s.asked/sharePeriod.Seconds() + (1-smoothing)*s.rate
		s.asked = 0
		s.past = append(s.past, s.rate)
		if over := len(s.past) - int(settle/sharePeriod); over > 0 {
			s.past = s.past[over:]
		}
		use := demand.Use{Entry: allowancesEntry, Workspace: w.Name}
		own = append(own, demand.Demand{Node: a.front.config.Instance, Use: use, Rate: s.rate, At: wall})
		a.set(w, s, a.part(w.Allowance.Rate, s, others[use], unheard), now)
	}
	a.mu.Unlock()
	for _, d := range own {
		a.front.demands.Publish(d)
	}
	a.front.demands.PublishSums(own, others, wall)
}

// part returns this instance's part of a rate. Instances that are not heard
// from may ask for everything, which leaves this one an even part.
func (a *allowances) part(rate float64, s *share, others []demand.Demand, unheard int) float64 {
	drawn := s.rate
	for _, r := range s.past {
		drawn = min(drawn, r)
	}
	n := a.front.instances() - 1
	rates := make([]float64, 0, n+unheard)
	for _, d := range others {
		rates = append(rates, d.Rate)
	}
	for range unheard {
		rates = append(rates, rate)
	}
	for len(rates) < n {
		rates = append(rates, 0)
	}
	return limit.Share(rate, drawn, rates) / rate
}

// unheard returns the number of registered instances that this one has lost
// touch with.
func (f *Front) unheard(now time.Time) (n int) {
	l := f.listed.Load()
	if l == nil {
		return 0
	}
	heard := f.members.HeardDomains(now)
	live := make(map[string]bool)
	for _, id := range f.members.Live(f.config.FailureDomain, now) {
		live[id] = true
	}
	for _, m := range *l {
		if m.ID == f.config.Instance {
			continue
		}
		if m.FailureDomain == f.config.FailureDomain && !live[m.ID] || m.FailureDomain != f.config.FailureDomain && !heard[m.FailureDomain] {
			n++
		}
	}
	return n
}

// share computes the shares until ctx ends.
func (f *Front) share(ctx context.Context) {
	t := time.NewTicker(sharePeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if table := f.table.Load(); table != nil {
				f.allowances.compute(table)
			}
			f.crashes.Set.Expire(time.Now())
		}
	}
}
