package matrix

import (
	"context"
	"slices"
	"syscall"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/demo"
	"wasabiworks.example/wasabiworks/internal/bench/fault"
	"wasabiworks.example/wasabiworks/internal/bench/load"
	"wasabiworks.example/wasabiworks/internal/bench/platform"
)

// Cells returns all cells: those with a single fault, then those with pairs.
func Cells() []*Cell {
	return slices.Concat(instanceCells(), reclaimCells(), storeCells(), operatorCells(), versionCells(), poisonCells(), shutdownCells(), pairCells())
}

const (
	freezeTime = 5 * time.Second
	outageTime = 6 * time.Second
	// Reasons for which the design allows requests to fail.
	reasonMayHaveRun       = "a call that may have run is not repeated"
	reasonStoreUnavailable = "no new booking while the store is unavailable"
	reasonOwnerLost        = "calls at the owner of a journal shard are lost with it"
)

// budgetCause explains completions that have an unknown outcome after the loss
// of an engine.
const budgetCause = `each first attempt on an engine adds a tenth of a retry to the entry instance's budget for that
engine, which starts at 0. With 36 pairs of instance and engine and 33 completions/s, each pair has a budget of about
0.4 when the fault begins, so streams fail although all retries together are far below a tenth of the load.`

func instanceCells() []*Cell {
	return []*Cell{
		{Name: "none", Fault: "no fault", script: func(ctx, _ context.Context, t *trial) error {
			t.applyNewRevision(ctx, "operator")
			return nil
		}},
		{Name: "entry-killed", Fault: "kill an entry instance", bookingFailureReason: reasonOwnerLost,
			script: func(ctx, _ context.Context, t *trial) error {
				t.killEntry(t.randomEntry())
				t.applyNewRevision(ctx, "operator")
				return nil
			}},
		{Name: "entry-frozen", Fault: "freeze an entry instance for 5 s", bookingFailureReason: reasonOwnerLost,
			script: func(ctx, _ context.Context, t *trial) error {
				return runDuringFault(func() error { return t.freezeEntries(freezeTime, t.randomEntry()) }, func() { t.applyNewRevision(ctx, "operator") })
			}},
		{Name: "domain-frozen", Fault: "freeze all entry instances of a failure domain for 5 s (in place of a network cut)", bookingFailureReason: reasonOwnerLost,
			script: func(ctx, _ context.Context, t *trial) error {
				return runDuringFault(func() error { return t.freezeEntries(freezeTime, t.domainEntries(failureDomains[0])...) }, func() { t.applyNewRevision(ctx, "operator") })
			}},
		{Name: "engine-killed", Fault: "kill an engine", knownCause: budgetCause,
			script: func(ctx, _ context.Context, t *trial) error {
				err := t.removeBackend(t.randomEngine(), true)
				t.applyNewRevision(ctx, "operator")
				return err
			}},
		{Name: "engine-frozen", Fault: "freeze an engine for 5 s", knownCause: budgetCause,
			script: func(ctx, _ context.Context, t *trial) error {
				p := t.randomEngine().Process
				return runDuringFault(func() error { return t.freeze(freezeTime, p) }, func() { t.applyNewRevision(ctx, "operator") })
			}},
		{Name: "service-killed", Fault: "kill a plain service", bookingFailureReason: reasonMayHaveRun,
			script: func(_, _ context.Context, t *trial) error {
				return t.removeBackend(t.topology.Services[t.random.IntN(len(t.topology.Services))], true)
			},
			verify: func(_ context.Context, t *trial) {
				n := t.report.Classes["booking"].Outcomes[load.OutcomeNotRun]
				t.check(CorrectResponse, n == 0, "%d bookings were rejected while two services could run them; codes %v", n, t.report.Codes)
			}},
		{Name: "service-frozen", Fault: "freeze a plain service for 5 s", bookingFailureReason: reasonMayHaveRun,
			script: func(_, _ context.Context, t *trial) error {
				return t.freeze(freezeTime, t.topology.Services[t.random.IntN(len(t.topology.Services))].Process)
			}},
		{Name: "engine-frames", Fault: "duplicate, late and foreign frames from all engines",
			script: func(ctx, _ context.Context, t *trial) error {
				for _, e := range t.topology.Engines {
					for _, kind := range []string{fault.DuplicateFrames, fault.LateFrames, fault.ForeignFrames} {
						if err := t.inject(ctx, e.Address, fault.Fault{Kind: kind}, 0); err != nil {
							return err
						}
					}
				}
				return nil
			}},
	}
}

// runDuringFault calls injectFault, which returns when the fault ends, and calls
// during half a second later. It waits for both.
func runDuringFault(injectFault func() error, during func()) error {
	done := make(chan error, 1)
	go func() { done <- injectFault() }()
	time.Sleep(settleTime / 2)
	during()
	return <-done
}

func (t *trial) domainEntries(domain string) (entries []demo.EntryInstance) {
	for _, e := range t.topology.EntryInstances {
		if e.FailureDomain == domain {
			entries = append(entries, e)
		}
	}
	return entries
}

func (t *trial) domainBackends(domain string) (backends []demo.BackendServer) {
	for _, s := range slices.Concat(t.topology.Engines, t.topology.Services) {
		if s.FailureDomain == domain {
			backends = append(backends, s)
		}
	}
	return backends
}

// reclaimDomain reclaims all backend servers of a failure domain at once and
// waits until their processes have ended.
func (t *trial) reclaimDomain(ctx context.Context, domain string, notice time.Duration) error {
	leaving := t.domainBackends(domain)
	if err := t.inject(ctx, t.topology.PlatformAddress, fault.Fault{Kind: platform.Reclaim, Target: domain}, notice); err != nil {
		return err
	}
	time.Sleep(notice)
	for _, s := range leaving {
		if err := t.removeBackend(s, false); err != nil {
			return err
		}
	}
	return nil
}

func storeCells() []*Cell {
	store := func(kind string, duration time.Duration, applyDuring bool) func(ctx, _ context.Context, t *trial) error {
		return func(ctx, _ context.Context, t *trial) error {
			if err := t.inject(ctx, t.topology.PlatformAddress, fault.Fault{Kind: kind, Target: "kv"}, duration); err != nil {
				return err
			}
			if applyDuring {
				t.applyNewRevision(ctx, "during")
			}
			time.Sleep(duration)
			t.applyNewRevision(ctx, "after")
			return nil
		}
	}
	return []*Cell{
		{Name: "store-outage", Fault: "store unavailable for 6 s", bookingFailureReason: reasonStoreUnavailable, script: store(platform.Outage, outageTime, false)},
		{Name: "store-slow", Fault: "store answers after 2 s, for 6 s", bookingFailureReason: reasonStoreUnavailable, script: store(platform.Slow, outageTime, false)},
		{Name: "store-lost-answers", Fault: "store loses the answers to all writes for 4 s", bookingFailureReason: reasonStoreUnavailable, script: store(platform.LostResponse, 4*time.Second, true)},
		{Name: "store-restart", Fault: "store restarts in the middle of a move: all calls fail for 1 s, all leases end (it keeps its data)", bookingFailureReason: reasonStoreUnavailable,
			script: func(ctx, samplerCtx context.Context, t *trial) error {
				if err := t.inject(ctx, t.topology.PlatformAddress, fault.Fault{Kind: platform.EndLeases}, 0); err != nil {
					return err
				}
				return store(platform.Outage, time.Second, false)(ctx, samplerCtx, t)
			}},
		{Name: "platform-frozen", Fault: "freeze the platform (store, instance list, notices) for 5 s", bookingFailureReason: reasonStoreUnavailable,
			script: func(ctx, _ context.Context, t *trial) error {
				err := t.freezePlatform(freezeTime)
				t.applyNewRevision(ctx, "after")
				return err
			}},
		{Name: "list-lagging", Fault: "instance list lags by 8 s while an engine leaves", platformArgs: []string{"--list-lag", "8s"},
			script: func(ctx, _ context.Context, t *trial) error {
				e := t.randomEngine()
				err := e.Process.Stop(time.Now().Add(processTimeout))
				return firstError(err, t.removeBackend(e, false))
			}},
	}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (t *trial) freezePlatform(duration time.Duration) error {
	if err := t.topology.SignalPlatform(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(duration)
	return t.topology.SignalPlatform(syscall.SIGCONT)
}
