package gateway

import (
	"context"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/limit"
	"wasabiworks.example/wasabiworks/internal/peer/allowance"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/platform/wait"
)

// newAllowances returns the limiter that enforces the allowances of workspaces.
func (f *Instance) newAllowances() (*allowance.Limiter, error) {
	return allowance.New(allowance.Config{
		Instance: f.config.ID, Node: f.node, Counters: &f.counters, Slack: f.config.AllowanceSlack,
		Fleet: f.fleet, Table: f.table.Load, Ask: f.askAllowance, Notify: func() { f.exchange.Notify() },
		Now: f.now, Wall: time.Now, Registerer: f.registry, Log: f.config.Log,
	})
}

// fleet describes the instances that share the allowances.
func (f *Instance) fleet() allowance.Fleet {
	now := time.Now()
	return allowance.Fleet{Instances: f.instanceCount(), Unreachable: f.unreachableCount(now), Local: f.members.Live(f.config.FailureDomain, now)}
}

// askAllowance asks a peer to admit a use of a workspace's allowance.
func (f *Instance) askAllowance(ctx context.Context, instance, workspace string, units float64) (limit.Admission, error) {
	reply, err := f.exchange.Spend(ctx, instance, &peerpb.SpendRequest{Workspace: workspace, Units: units})
	return limit.Admission{
		Admitted: reply.GetAdmitted(), RetryAfter: time.Duration(reply.GetWait()) * time.Millisecond, ExhaustedLimit: reply.GetBound(),
	}, err
}

// serveSpend admits or rejects, for a peer, a use of a workspace's allowance.
func (f *Instance) serveSpend(_ context.Context, r *peerpb.SpendRequest) (*peerpb.SpendReply, error) {
	a, err := f.allowances.Serve(r.GetWorkspace(), r.GetUnits())
	if err != nil {
		return nil, err
	}
	return &peerpb.SpendReply{Admitted: a.Admitted, Wait: a.RetryAfter.Milliseconds(), Bound: a.ExhaustedLimit}, nil
}

// unreachableCount returns the number of registered instances that this one has lost
// contact with. Instances of other failure domains count as reachable while any
// member of their failure domain is heard from.
func (f *Instance) unreachableCount(now time.Time) (n int) {
	registered := f.registeredSnapshot.Load()
	if registered == nil {
		return 0
	}
	heard := f.members.HeardDomains(now)
	live := make(map[string]bool)
	for _, id := range f.members.Live(f.config.FailureDomain, now) {
		live[id] = true
	}
	for _, m := range *registered {
		if m.ID == f.config.ID {
			continue
		}
		if m.FailureDomain == f.config.FailureDomain && !live[m.ID] || m.FailureDomain != f.config.FailureDomain && !heard[m.FailureDomain] {
			n++
		}
	}
	return n
}

// refreshAllowancesAndCrashes periodically refreshes the allowances, removes
// expired crash records and logs which parts of prompts are blocked, until ctx ends.
func (f *Instance) refreshAllowancesAndCrashes(ctx context.Context) {
	var blocked []uint64
	wait.Every(ctx, allowance.RefreshPeriod, func() {
		f.allowances.Refresh()
		f.crashes.Set.Expire(time.Now())
		blocked = f.logBlockedParts(blocked)
	})
}
