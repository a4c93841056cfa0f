package matrix

import (
	"context"
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/fault"
	"wasabiworks.example/wasabiworks/internal/bench/platform"
)

// pairCells combine faults that hide each other's remedy.
func pairCells() []*Cell {
	return []*Cell{
		{Name: "wave+store-outage", Fault: "reclaim wave with 2 s notice during a store outage of 6 s", reclaims: true, bookingsFail: journalDown,
			script: func(ctx, _ context.Context, t *trial) error {
				if err := t.storeFault(ctx, platform.Outage, outageTime); err != nil {
					return err
				}
				ends := time.Now().Add(outageTime)
				err := t.wave(ctx, failureDomains[1], 2*time.Second)
				time.Sleep(time.Until(ends))
				t.touch(ctx, "after")
				return err
			}},
		{Name: "wave+entries-stopped", Fault: "reclaim wave with 2 s notice and planned shutdown of the entry instances of the same failure domain", reclaims: true,
			script: func(ctx, _ context.Context, t *trial) error {
				var wg sync.WaitGroup
				defer wg.Wait()
				for _, e := range t.domainEntries(failureDomains[0]) {
					wg.Go(func() { t.stopEntry(e) })
				}
				return t.wave(ctx, failureDomains[0], 2*time.Second)
			}},
		{Name: "wave+entry-frozen", Fault: "reclaim wave with 2 s notice while an entry instance of another failure domain is frozen for 5 s", bookingsFail: ownerLost, completionsFail: noticeMissed,
			script: func(ctx, _ context.Context, t *trial) error {
				e := t.domainEntries(failureDomains[1])[0]
				return both(
					func() error { return t.freezeEntries(freezeTime, e) },
					func() error { return t.wave(ctx, failureDomains[0], 2*time.Second) })
			}},
		{Name: "two-waves", Fault: "reclaim waves over two of three failure domains, 1 s apart, with 2 s notice", reclaims: true,
			engineArgs: []string{"--slots", "32"},
			script: func(ctx, _ context.Context, t *trial) error {
				return both(
					func() error { return t.wave(ctx, failureDomains[0], 2*time.Second) },
					func() error { time.Sleep(settle); return t.wave(ctx, failureDomains[1], 2*time.Second) })
			}},
		{Name: "entry-frozen+entry-killed", Fault: "freeze an entry instance for 5 s and kill another", bookingsFail: ownerLost,
			script: func(ctx, _ context.Context, t *trial) error {
				frozen, killed := t.top.Entries[0], t.top.Entries[1+t.random.IntN(len(t.top.Entries)-1)]
				return during(func() error { return t.freezeEntries(freezeTime, frozen) }, func() {
					t.killEntry(killed)
					t.touch(ctx, "operator")
				})
			}},
		{Name: "entry-frozen+lost-answers", Fault: "freeze an entry instance for 5 s while the store loses the answers to all writes", bookingsFail: ownerLost,
			script: func(ctx, _ context.Context, t *trial) error {
				if err := t.storeFault(ctx, platform.LostAnswer, freezeTime); err != nil {
					return err
				}
				return t.freezeEntries(freezeTime, t.entry())
			}},
		{Name: "entry-killed+lost-answers", Fault: "kill an entry instance while the store loses the answers to all writes", bookingsFail: ownerLost,
			script: func(ctx, _ context.Context, t *trial) error {
				if err := t.storeFault(ctx, platform.LostAnswer, freezeTime); err != nil {
					return err
				}
				time.Sleep(settle)
				t.killEntry(t.entry())
				return nil
			}},
		{Name: "entry-stopped+store-outage", Fault: "planned shutdown of an entry instance during a store outage of 6 s", bookingsFail: journalDown,
			script: func(ctx, _ context.Context, t *trial) error {
				if err := t.storeFault(ctx, platform.Outage, outageTime); err != nil {
					return err
				}
				time.Sleep(settle)
				t.stopEntry(t.entry())
				return nil
			}},
		{Name: "version-fails+store-outage", Fault: "the new version fails from the start of a store outage of 6 s", completionsFail: badVersion, bookingsFail: journalDown, loadTime: loadTime + watchTime,
			script: func(ctx, _ context.Context, t *trial) error {
				if err := t.storeFault(ctx, platform.Outage, outageTime); err != nil {
					return err
				}
				injected := time.Now()
				if err := t.breakVersion(ctx, fault.Fault{Kind: fault.Fail, Version: newVersion}); err != nil {
					return err
				}
				return t.awaitVeto(ctx, injected)
			}},
		{Name: "version-fails+wave", Fault: "the new version fails during a reclaim wave with 2 s notice", completionsFail: badVersion, loadTime: loadTime + watchTime,
			script: func(ctx, _ context.Context, t *trial) error {
				injected := time.Now()
				if err := t.breakVersion(ctx, fault.Fault{Kind: fault.Fail, Version: newVersion}); err != nil {
					return err
				}
				if err := t.wave(ctx, failureDomains[0], 2*time.Second); err != nil {
					return err
				}
				return t.awaitVeto(ctx, injected)
			}},
		{Name: "rolling-restart+slow-store", Fault: "planned restart of all entry instances while the store answers after 2 s", bookingsFail: journalDown, loadTime: 20 * time.Second,
			script: func(ctx, watching context.Context, t *trial) error {
				if err := t.storeFault(ctx, platform.Slow, 16*time.Second); err != nil {
					return err
				}
				return t.rollingRestart(ctx, watching, false)
			}},
		{Name: "platform-outage+engine-killed", Fault: "outage of the whole platform for 6 s and kill of an engine", cause: budgetCause, bookingsFail: journalDown,
			script: func(ctx, _ context.Context, t *trial) error {
				if err := t.inject(ctx, t.top.Platform, fault.Fault{Kind: platform.Outage}, outageTime); err != nil {
					return err
				}
				ends := time.Now().Add(outageTime)
				err := t.dropBackend(t.engine(), true)
				time.Sleep(time.Until(ends))
				t.touch(ctx, "after")
				return err
			}},
	}
}

// noticeMissed is why completions fail with a frozen entry instance.
const noticeMissed = "the frozen instance learns of the reclaim after its deadline"

func (t *trial) storeFault(ctx context.Context, kind string, lasts time.Duration) error {
	return t.inject(ctx, t.top.Platform, fault.Fault{Kind: kind, Target: "kv"}, lasts)
}

// both runs two functions at the same time.
func both(f, g func() error) error {
	done := make(chan error, 1)
	go func() { done <- f() }()
	return firstError(g(), <-done)
}
