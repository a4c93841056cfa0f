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
		{Name: "reclaim-wave", Fault: "reclaim all backend servers of a failure domain with 2 s notice", reclaims: true,
			script: func(ctx, _ context.Context, t *trial) error {
				return during(func() error { return t.wave(ctx, failureDomains[0], 2*time.Second) }, func() { t.touch(ctx, "operator") })
			}},
		{Name: "reclaim-early", Fault: "an engine with 6 s notice dies 1 s after the notice", reclaims: true,
			script: func(ctx, _ context.Context, t *trial) error {
				e := t.engine()
				if err := t.reclaim(ctx, e, 6*time.Second); err != nil {
					return err
				}
				time.Sleep(time.Second)
				return t.dropBackend(e, true)
			}},
		{Name: "reclaim-long", Fault: "an engine and a service with 8 s notice keep accepting work until they end", reclaims: true, loadTime: 14 * time.Second,
			script: func(ctx, _ context.Context, t *trial) error {
				e, s := t.engine(), t.top.Services[t.random.IntN(len(t.top.Services))]
				for _, b := range []demo.BackendServer{e, s} {
					if err := t.reclaim(ctx, b, 8*time.Second); err != nil {
						return err
					}
				}
				return firstError(t.noNewWork(ctx, 2*time.Second, e, s), t.dropBackend(e, false), t.dropBackend(s, false))
			}},
		{Name: "engine-leaving", Fault: "an engine rejects new work without a notice",
			script: func(ctx, _ context.Context, t *trial) error {
				e := t.engine()
				if err := t.inject(ctx, e.Address, fault.Fault{Kind: fault.Leave}, 0); err != nil {
					return err
				}
				return t.noNewWork(ctx, 2500*time.Millisecond, e)
			}},
	}
}

func (t *trial) reclaim(ctx context.Context, s demo.BackendServer, notice time.Duration) error {
	return t.inject(ctx, t.top.Platform, fault.Fault{Kind: platform.Reclaim, Target: s.ID}, notice)
}

// noNewWork waits until leaving servers must get no new work and checks for a
// time that they get none.
func (t *trial) noNewWork(ctx context.Context, lasts time.Duration, servers ...demo.BackendServer) error {
	time.Sleep(leavingBound)
	before := make([]int, len(servers))
	for i, s := range servers {
		var err error
		if before[i], err = attempts(ctx, s); err != nil {
			return err
		}
	}
	time.Sleep(lasts)
	for i, s := range servers {
		after, err := attempts(ctx, s)
		if err != nil {
			return err
		}
		t.check(LeavingServer, after == before[i], "%s got %d new attempts from 5 s to %v after it began to leave", s.ID, after-before[i], leavingBound+lasts)
	}
	return nil
}
