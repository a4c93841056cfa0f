package matrix

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/demo"
	"wasabiworks.example/wasabiworks/internal/bench/fault"
	"wasabiworks.example/wasabiworks/internal/bench/platform"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
)

func shutdownCells() []*Cell {
	return []*Cell{
		{Name: "entry-stopped", Fault: "planned shutdown of an entry instance",
			script: func(ctx, _ context.Context, t *trial) error {
				e := t.randomEntry()
				return runDuringFault(func() error { t.stopEntry(e); return nil }, func() { t.applyNewRevision(ctx, "operator") })
			}},
		{Name: "rolling-restart", Fault: "planned restart of all entry instances, one per failure domain at a time", loadTime: 18 * time.Second,
			script: func(ctx, samplerCtx context.Context, t *trial) error { return t.rollingRestart(ctx, samplerCtx, true) }},
		{Name: "entry-started-in-outage", Fault: "a new entry instance starts during a store outage of 6 s", bookingFailureReason: reasonStoreUnavailable, script: startEntryDuringOutage},
	}
}

// rollingRestart restarts all entry instances, one of each failure domain at a
// time, and waits until the load balancer has discovered the new ones before it
// continues. If applyRevisions is set, it applies a new revision after each round.
func (t *trial) rollingRestart(ctx, samplerCtx context.Context, applyRevisions bool) error {
	for i := range t.topology.Layout.EntryInstancesPerDomain {
		var entries []demo.EntryInstance
		for _, domain := range failureDomains {
			entries = append(entries, t.domainEntries(domain)[i])
		}
		var wg sync.WaitGroup
		for _, e := range entries {
			wg.Go(func() {
				began := time.Now()
				err := e.Process.Stop(time.Now().Add(processTimeout))
				t.check(PlannedShutdown, err == nil, "planned shutdown: %v", err)
				t.note("%s stopped in %v", e.ID, time.Since(began).Round(10*time.Millisecond))
			})
		}
		began := time.Now()
		wg.Wait()
		for _, e := range entries {
			restarted, err := t.topology.StartEntry(e.FailureDomain, i)
			if err != nil {
				return err
			}
			took, err := t.awaitReady(ctx, restarted)
			if err != nil {
				return err
			}
			t.note("%s ready after %v", restarted.ID, took.Round(10*time.Millisecond))
			t.sampler.addAbsence(e.ID, began, time.Now())
			t.sampler.addInstance(samplerCtx, restarted)
		}
		if applyRevisions {
			t.applyNewRevision(ctx, "operator")
		}
		if err := t.awaitListed(ctx); err != nil {
			return err
		}
	}
	return nil
}

// awaitListed waits until the instance list has the addresses of all entry
// instances.
func (t *trial) awaitListed(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, processTimeout)
	defer cancel()
	client := instances.New(instances.Config{Address: t.topology.PlatformAddress})
	return demo.Poll(ctx, func() error {
		all, err := client.List(ctx)
		if err != nil {
			return err
		}
		for _, e := range t.topology.EntryInstances {
			if !slices.ContainsFunc(all, func(i instances.Instance) bool { return i.Address == e.ClientAddress && i.State == instances.StateLive }) {
				return fmt.Errorf("%s is not listed", e.ID)
			}
		}
		return nil
	})
}

// awaitReady waits until an instance is ready and returns how long it waited.
func (t *trial) awaitReady(ctx context.Context, e demo.EntryInstance) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, processTimeout)
	defer cancel()
	began := time.Now()
	err := e.AwaitReady(ctx)
	return time.Since(began), err
}

func startEntryDuringOutage(ctx, samplerCtx context.Context, t *trial) error {
	if err := t.inject(ctx, t.topology.PlatformAddress, fault.Fault{Kind: platform.Outage, Target: "kv"}, outageTime); err != nil {
		return err
	}
	outageEnd := time.Now().Add(outageTime)
	e, err := t.topology.StartEntry(failureDomains[1], t.topology.Layout.EntryInstancesPerDomain)
	if err != nil {
		return err
	}
	took, err := t.awaitReady(ctx, e)
	if err != nil {
		return err
	}
	t.check(RevisionEffective, time.Now().Before(outageEnd), "the new instance was ready %v after the end of the outage", time.Since(outageEnd))
	t.note("new instance ready after %v", took.Round(10*time.Millisecond))
	t.sampler.addInstance(samplerCtx, e)
	time.Sleep(time.Until(outageEnd))
	t.applyNewRevision(ctx, "after")
	return nil
}
