package matrix

import (
	"context"
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/fault"
	"wasabiworks.example/wasabiworks/internal/bench/platform"
)

// pairCells returns cells that combine two faults, where one can prevent the
// recovery from the other.
func pairCells() []*Cell {
	return []*Cell{
		{Name: "wave+store-outage", Fault: "reclaim wave with 2 s notice during a store outage of 6 s", unknownViolatesReclaim: true, bookingFailureReason: reasonStoreUnavailable,
			script: func(ctx, _ context.Context, t *trial) error {
				if err := t.storeFault(ctx, platform.Outage, outageTime); err != nil {
					return err
				}
				outageEnd := time.Now().Add(outageTime)
				err := t.reclaimDomain(ctx, failureDomains[1], 2*time.Second)
				time.Sleep(time.Until(outageEnd))
				t.applyNewRevision(ctx, "after")
				return err
			}},
		{Name: "wave+entries-stopped", Fault: "reclaim wave with 2 s notice and planned shutdown of the entry instances of the same failure domain", unknownViolatesReclaim: true,
			script: func(ctx, _ context.Context, t *trial) error {
				var wg sync.WaitGroup
				defer wg.Wait()
				for _, e := range t.domainEntries(failureDomains[0]) {
					wg.Go(func() { t.stopEntry(e) })
				}
				return t.reclaimDomain(ctx, failureDomains[0], 2*time.Second)
			}},
		{Name: "wave+entry-frozen", Fault: "reclaim wave with 2 s notice while an entry instance of another failure domain is frozen for 5 s", bookingFailureReason: reasonOwnerLost, completionFailureReason: reasonLateNotice,
			script: func(ctx, _ context.Context, t *trial) error {
				e := t.domainEntries(failureDomains[1])[0]
				return runConcurrently(
					func() error { return t.freezeEntries(freezeTime, e) },
					func() error { return t.reclaimDomain(ctx, failureDomains[0], 2*time.Second) })
			}},
		{Name: "two-waves", Fault: "reclaim waves over two of three failure domains, 1 s apart, with 2 s notice", unknownViolatesReclaim: true,
			engineArgs: []string{"--slots", "32"},
			script: func(ctx, _ context.Context, t *trial) error {
				return runConcurrently(
					func() error { return t.reclaimDomain(ctx, failureDomains[0], 2*time.Second) },
					func() error { time.Sleep(settleTime); return t.reclaimDomain(ctx, failureDomains[1], 2*time.Second) })
			}},
		{Name: "entry-frozen+entry-killed", Fault: "freeze an entry instance for 5 s and kill another", bookingFailureReason: reasonOwnerLost,
			script: func(ctx, _ context.Context, t *trial) error {
				frozen, killed := t.topology.EntryInstances[0], t.topology.EntryInstances[1+t.random.IntN(len(t.topology.EntryInstances)-1)]
				return runDuringFault(func() error { return t.freezeEntries(freezeTime, frozen) }, func() {
					t.killEntry(killed)
					t.applyNewRevision(ctx, "operator")
				})
			}},
		{Name: "entry-frozen+lost-answers", Fault: "freeze an entry instance for 5 s while the store loses the answers to all writes", bookingFailureReason: reasonOwnerLost,
			script: func(ctx, _ context.Context, t *trial) error {
				if err := t.storeFault(ctx, platform.LostResponse, freezeTime); err != nil {
					return err
				}
				return t.freezeEntries(freezeTime, t.randomEntry())
			}},
		{Name: "entry-killed+lost-answers", Fault: "kill an entry instance while the store loses the answers to all writes", bookingFailureReason: reasonOwnerLost,
			script: func(ctx, _ context.Context, t *trial) error {
				if err := t.storeFault(ctx, platform.LostResponse, freezeTime); err != nil {
					return err
				}
				time.Sleep(settleTime)
				t.killEntry(t.randomEntry())
				return nil
			}},
		{Name: "entry-stopped+store-outage", Fault: "planned shutdown of an entry instance during a store outage of 6 s", bookingFailureReason: reasonStoreUnavailable,
			script: func(ctx, _ context.Context, t *trial) error {
				if err := t.storeFault(ctx, platform.Outage, outageTime); err != nil {
					return err
				}
				time.Sleep(settleTime)
				t.stopEntry(t.randomEntry())
				return nil
			}},
		{Name: "version-fails+store-outage", Fault: "the new version fails from the start of a store outage of 6 s", completionFailureReason: reasonBadVersion, bookingFailureReason: reasonStoreUnavailable, loadTime: loadTime + postDeadlineLoadTime,
			script: func(ctx, _ context.Context, t *trial) error {
				if err := t.storeFault(ctx, platform.Outage, outageTime); err != nil {
					return err
				}
				injected := time.Now()
				if err := t.injectIntoEngines(ctx, fault.Fault{Kind: fault.Fail, Version: newVersion}); err != nil {
					return err
				}
				return t.awaitRollback(ctx, injected)
			}},
		{Name: "version-fails+wave", Fault: "the new version fails during a reclaim wave with 2 s notice", completionFailureReason: reasonBadVersion, loadTime: loadTime + postDeadlineLoadTime,
			script: func(ctx, _ context.Context, t *trial) error {
				injected := time.Now()
				if err := t.injectIntoEngines(ctx, fault.Fault{Kind: fault.Fail, Version: newVersion}); err != nil {
					return err
				}
				if err := t.reclaimDomain(ctx, failureDomains[0], 2*time.Second); err != nil {
					return err
				}
				return t.awaitRollback(ctx, injected)
			}},
		{Name: "rolling-restart+slow-store", Fault: "planned restart of all entry instances while the store answers after 2 s", bookingFailureReason: reasonStoreUnavailable, loadTime: 20 * time.Second,
			script: func(ctx, samplerCtx context.Context, t *trial) error {
				if err := t.storeFault(ctx, platform.Slow, 16*time.Second); err != nil {
					return err
				}
				return t.rollingRestart(ctx, samplerCtx, false)
			}},
		{Name: "platform-outage+engine-killed", Fault: "outage of the whole platform for 6 s and kill of an engine", knownCause: budgetCause, bookingFailureReason: reasonStoreUnavailable,
			script: func(ctx, _ context.Context, t *trial) error {
				if err := t.inject(ctx, t.topology.PlatformAddress, fault.Fault{Kind: platform.Outage}, outageTime); err != nil {
					return err
				}
				outageEnd := time.Now().Add(outageTime)
				err := t.removeBackend(t.randomEngine(), true)
				time.Sleep(time.Until(outageEnd))
				t.applyNewRevision(ctx, "after")
				return err
			}},
	}
}

// reasonLateNotice is why completions may fail at a frozen entry instance.
const reasonLateNotice = "the frozen instance receives the reclaim notice after the end of the notice period"

func (t *trial) storeFault(ctx context.Context, kind string, duration time.Duration) error {
	return t.inject(ctx, t.topology.PlatformAddress, fault.Fault{Kind: kind, Target: "kv"}, duration)
}

// runConcurrently runs f and g at the same time, waits for both and returns the
// error of g, or else that of f.
func runConcurrently(f, g func() error) error {
	done := make(chan error, 1)
	go func() { done <- f() }()
	return firstError(g(), <-done)
}
