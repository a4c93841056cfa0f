package matrix

import (
	"context"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/demo"
	"wasabiworks.example/wasabiworks/internal/bench/fault"
	"wasabiworks.example/wasabiworks/internal/bench/platform"
)

func reclaimCells() []*Cell {
	return []*Cell{
		{Name: "reclaim-wave", Fault: "reclaim all backend servers of a failure domain with 2 s notice", unknownViolatesReclaim: true,
			script: func(ctx, _ context.Context, t *trial) error {
				return runDuringFault(func() error { return t.reclaimDomain(ctx, failureDomains[0], 2*time.Second) }, func() { t.applyNewRevision(ctx, "operator") })
			}},
		{Name: "reclaim-early", Fault: "an engine with 6 s notice dies 1 s after the notice", unknownViolatesReclaim: true,
			script: func(ctx, _ context.Context, t *trial) error {
				e := t.randomEngine()
				if err := t.reclaim(ctx, e, 6*time.Second); err != nil {
					return err
				}
				time.Sleep(time.Second)
				return t.removeBackend(e, true)
			}},
		{Name: "reclaim-long", Fault: "an engine and a service with 8 s notice keep accepting work until they end", unknownViolatesReclaim: true, loadTime: 14 * time.Second,
			script: func(ctx, _ context.Context, t *trial) error {
				e, s := t.randomEngine(), t.topology.Services[t.random.IntN(len(t.topology.Services))]
				for _, b := range []demo.BackendServer{e, s} {
					if err := t.reclaim(ctx, b, 8*time.Second); err != nil {
						return err
					}
				}
				return firstError(t.checkNoNewWork(ctx, 2*time.Second, e, s), t.removeBackend(e, false), t.removeBackend(s, false))
			}},
		{Name: "engine-leaving", Fault: "an engine rejects new work without a notice",
			script: func(ctx, _ context.Context, t *trial) error {
				e := t.randomEngine()
				if err := t.inject(ctx, e.Address, fault.Fault{Kind: fault.Leave}, 0); err != nil {
					return err
				}
				return t.checkNoNewWork(ctx, 2500*time.Millisecond, e)
			}},
	}
}

func (t *trial) reclaim(ctx context.Context, s demo.BackendServer, notice time.Duration) error {
	return t.inject(ctx, t.topology.PlatformAddress, fault.Fault{Kind: platform.Reclaim, Target: s.ID}, notice)
}

// checkNoNewWork waits for leavingBound and then checks for the given duration
// that leaving backend servers get no new attempts.
func (t *trial) checkNoNewWork(ctx context.Context, duration time.Duration, servers ...demo.BackendServer) error {
	time.Sleep(leavingBound)
	before := make([]int, len(servers))
	for i, s := range servers {
		var err error
		if before[i], err = countAttempts(ctx, s); err != nil {
			return err
		}
	}
	time.Sleep(duration)
	for i, s := range servers {
		after, err := countAttempts(ctx, s)
		if err != nil {
			return err
		}
		t.check(NoWorkWhileLeaving, after == before[i], "%s got %d new attempts between 5 s and %v after it started to leave", s.ID, after-before[i], leavingBound+duration)
	}
	return nil
}
