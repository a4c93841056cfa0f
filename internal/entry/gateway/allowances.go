package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/limit"
	"wasabiworks.example/wasabiworks/internal/peer/allowance"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/platform/wait"
)

// newAllowances returns the limiter that enforces the allowances of workspaces.
func (f *Instance) newAllowances() (*allowance.Limiter, error) {
	return allowance.New(allowance.Config{
		Instance: f.config.ID, Slack: f.config.AllowanceSlack, Fleet: f.fleet, Table: f.currentTable, Ask: f.askAllowance,
		Now: f.now, Registerer: f.registry, Log: f.config.Log,
	})
}

// fleet describes the instances that share the allowances.
func (f *Instance) fleet() allowance.Fleet {
	now := time.Now()
	fleet := allowance.Fleet{Instances: max(1, f.allowanceCount.get(f.now())), Local: f.members.Live(f.config.FailureDomain, now)}
	heard := f.members.HeardDomains(now)
	delete(heard, f.config.FailureDomain)
	for _, domain := range slices.Sorted(maps.Keys(heard)) {
		fleet.Remote = append(fleet.Remote, f.members.Live(domain, now))
	}
	return fleet
}

// askAllowance sends a request about a workspace's allowance to a peer.
func (f *Instance) askAllowance(ctx context.Context, instance string, r allowance.Request) (allowance.Reply, error) {
	reply, err := f.exchange.Spend(ctx, instance, &peerpb.SpendRequest{
		Workspace: r.Workspace, Units: r.Use.Units, Urgency: uint32(r.Use.Urgency),
		Contribution: r.Contribution, Borrow: r.Borrow,
	})
	return allowance.Reply{
		Admission: limit.Admission{
			Admitted: reply.GetAdmitted(), RetryAfter: time.Duration(reply.GetWait()) * time.Millisecond, ExhaustedLimit: reply.GetBound(),
		},
		Granted: reply.GetGranted(),
	}, err
}

// serveSpend handles a peer's request about a workspace's allowance.
func (f *Instance) serveSpend(ctx context.Context, r *peerpb.SpendRequest) (*peerpb.SpendReply, error) {
	reply, err := f.allowances.Serve(ctx, allowance.Request{
		Workspace: r.GetWorkspace(), Use: limit.Use{Units: r.GetUnits(), Urgency: int(r.GetUrgency())},
		Contribution: r.GetContribution(), Borrow: r.GetBorrow(),
	})
	if err != nil {
		return nil, err
	}
	a := reply.Admission
	return &peerpb.SpendReply{
		Admitted: a.Admitted, Wait: a.RetryAfter.Milliseconds(), Bound: a.ExhaustedLimit, Granted: reply.Granted,
	}, nil
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

// collectAllowances periodically collects the units of the allowances that this
// instance owns, until ctx ends.
func (f *Instance) collectAllowances(ctx context.Context) {
	wait.Every(ctx, allowance.CollectPeriod, func() { f.allowances.Collect(ctx) })
}
