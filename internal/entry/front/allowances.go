package front

import (
	"context"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/limit"
	"wasabiworks.example/wasabiworks/internal/peer/allowance"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/platform/wait"
)

// newAllowances composes the limiter of what workspaces use.
func (f *Front) newAllowances() (*allowance.Limiter, error) {
	return allowance.New(allowance.Config{
		Instance: f.config.Instance, Node: f.node, Counters: &f.counters, Slack: f.config.AllowanceSlack,
		Fleet: f.fleet, Table: f.table.Load, Ask: f.askAllowance, Notify: func() { f.exchange.Notify() },
		Now: f.now, Wall: time.Now, Registerer: f.registry, Log: f.config.Log,
	})
}

// fleet returns what is known of the instances that share the allowances.
func (f *Front) fleet() allowance.Fleet {
	now := time.Now()
	return allowance.Fleet{Instances: f.instances(), Unheard: f.unheard(now), Local: f.members.Live(f.config.FailureDomain, now)}
}

// askAllowance asks a peer to admit a use.
func (f *Front) askAllowance(ctx context.Context, instance, workspace string, units float64) (limit.Admission, error) {
	reply, err := f.exchange.Spend(ctx, instance, &peerpb.SpendRequest{Workspace: workspace, Units: units})
	return limit.Admission{
		Admitted: reply.GetAdmitted(), RetryAfter: time.Duration(reply.GetWait()) * time.Millisecond, Bound: reply.GetBound(),
	}, err
}

// serveSpend decides on a peer's use.
func (f *Front) serveSpend(_ context.Context, r *peerpb.SpendRequest) (*peerpb.SpendReply, error) {
	a, err := f.allowances.Serve(r.GetWorkspace(), r.GetUnits())
	if err != nil {
		return nil, err
	}
	return &peerpb.SpendReply{Admitted: a.Admitted, Wait: a.RetryAfter.Milliseconds(), Bound: a.Bound}, nil
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

// share keeps the allowances up to date until ctx ends.
func (f *Front) share(ctx context.Context) {
	wait.Every(ctx, allowance.RefreshPeriod, func() {
		f.allowances.Refresh()
		f.crashes.Set.Expire(time.Now())
	})
}
