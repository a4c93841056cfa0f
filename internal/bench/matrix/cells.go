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

// Cells returns all cells: the faults singly, then pairs.
func Cells() []*Cell {
	return slices.Concat(instanceCells(), reclaimCells(), storeCells(), operatorCells(), versionCells(), poisonCells(), shutdownCells(), pairCells())
}

const (
	freezeTime = 5 * time.Second
	outageTime = 6 * time.Second
	// These say why requests may fail.
	mayHaveRun  = "a call that may have run is not repeated"
	journalDown = "no new booking while the store is unavailable"
	ownerLost   = "calls at the owner of a journal shard are lost with it"
)

// budgetCause is that of completions with an unknown outcome after the loss of
// an engine.
const budgetCause = `an entry instance earns a tenth of a retry on an engine with each first attempt there, and
starts with none. With 36 pairs of instance and engine and 33 completions/s, each pair has about 0.4 of a retry
when the fault begins, so streams are given up though the retries of all are far below a tenth of the load.`

func instanceCells() []*Cell {
	return []*Cell{
		{Name: "none", Fault: "no fault", script: func(ctx, _ context.Context, t *trial) error {
			t.touch(ctx, "operator")
			return nil
		}},
		{Name: "entry-killed", Fault: "kill an entry instance", bookingsFail: ownerLost,
			script: func(ctx, _ context.Context, t *trial) error {
				t.killEntry(t.entry())
				t.touch(ctx, "operator")
				return nil
			}},
		{Name: "entry-frozen", Fault: "freeze an entry instance for 5 s", bookingsFail: ownerLost,
			script: func(ctx, _ context.Context, t *trial) error {
				return during(func() error { return t.freezeEntries(freezeTime, t.entry()) }, func() { t.touch(ctx, "operator") })
			}},
		{Name: "domain-frozen", Fault: "freeze all entry instances of a failure domain for 5 s (in place of a network cut)", bookingsFail: ownerLost,
			script: func(ctx, _ context.Context, t *trial) error {
				return during(func() error { return t.freezeEntries(freezeTime, t.domainEntries(failureDomains[0])...) }, func() { t.touch(ctx, "operator") })
			}},
		{Name: "engine-killed", Fault: "kill an engine", cause: budgetCause,
			script: func(ctx, _ context.Context, t *trial) error {
				err := t.dropBackend(t.engine(), true)
				t.touch(ctx, "operator")
				return err
			}},
		{Name: "engine-frozen", Fault: "freeze an engine for 5 s", cause: budgetCause,
			script: func(ctx, _ context.Context, t *trial) error {
				p := t.engine().Process
				return during(func() error { return t.freeze(freezeTime, p) }, func() { t.touch(ctx, "operator") })
			}},
		{Name: "service-killed", Fault: "kill a plain service", bookingsFail: mayHaveRun,
			script: func(_, _ context.Context, t *trial) error {
				return t.dropBackend(t.top.Services[t.random.IntN(len(t.top.Services))], true)
			},
			verify: func(_ context.Context, t *trial) {
				n := t.report.Classes["booking"].Outcomes[load.NotRun]
				t.check(OwnResponse, n == 0, "%d bookings were rejected while two services could run them; codes %v", n, t.report.Codes)
			}},
		{Name: "service-frozen", Fault: "freeze a plain service for 5 s", bookingsFail: mayHaveRun,
			script: func(_, _ context.Context, t *trial) error {
				return t.freeze(freezeTime, t.top.Services[t.random.IntN(len(t.top.Services))].Process)
			}},
		{Name: "engine-frames", Fault: "duplicate, late and foreign frames from all engines",
			script: func(ctx, _ context.Context, t *trial) error {
				for _, e := range t.top.Engines {
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

// during runs a fault and, half a second after its start, something else.
func during(run func() error, meanwhile func()) error {
	done := make(chan error, 1)
	go func() { done <- run() }()
	time.Sleep(settle / 2)
	meanwhile()
	return <-done
}

func (t *trial) domainEntries(domain string) (es []demo.EntryInstance) {
	for _, e := range t.top.Entries {
		if e.FailureDomain == domain {
			es = append(es, e)
		}
	}
	return es
}

func (t *trial) domainBackends(domain string) (ss []demo.BackendServer) {
	for _, s := range slices.Concat(t.top.Engines, t.top.Services) {
		if s.FailureDomain == domain {
			ss = append(ss, s)
		}
	}
	return ss
}

// wave reclaims all backend servers of a failure domain and waits for their
// end.
func (t *trial) wave(ctx context.Context, domain string, notice time.Duration) error {
	leaving := t.domainBackends(domain)
	if err := t.inject(ctx, t.top.Platform, fault.Fault{Kind: platform.Reclaim, Target: domain}, notice); err != nil {
		return err
	}
	time.Sleep(notice)
	for _, s := range leaving {
		if err := t.dropBackend(s, false); err != nil {
			return err
		}
	}
	return nil
}

func storeCells() []*Cell {
	store := func(kind string, lasts time.Duration, touch bool) func(ctx, _ context.Context, t *trial) error {
		return func(ctx, _ context.Context, t *trial) error {
			if err := t.inject(ctx, t.top.Platform, fault.Fault{Kind: kind, Target: "kv"}, lasts); err != nil {
				return err
			}
			if touch {
				t.touch(ctx, "during")
			}
			time.Sleep(lasts)
			t.touch(ctx, "after")
			return nil
		}
	}
	return []*Cell{
		{Name: "store-outage", Fault: "store unavailable for 6 s", bookingsFail: journalDown, script: store(platform.Outage, outageTime, false)},
		{Name: "store-slow", Fault: "store answers after 2 s, for 6 s", bookingsFail: journalDown, script: store(platform.Slow, outageTime, false)},
		{Name: "store-lost-answers", Fault: "store loses the answers to all writes for 4 s", bookingsFail: journalDown, script: store(platform.LostAnswer, 4*time.Second, true)},
		{Name: "store-restart", Fault: "store restarts in the middle of a move: all calls break for 1 s, all leases end (it keeps its data)", bookingsFail: journalDown,
			script: func(ctx, watching context.Context, t *trial) error {
				if err := t.inject(ctx, t.top.Platform, fault.Fault{Kind: platform.Lapse}, 0); err != nil {
					return err
				}
				return store(platform.Outage, time.Second, false)(ctx, watching, t)
			}},
		{Name: "platform-frozen", Fault: "freeze the platform (store, instance list, notices) for 5 s", bookingsFail: journalDown,
			script: func(ctx, _ context.Context, t *trial) error {
				err := t.freezePlatform(freezeTime)
				t.touch(ctx, "after")
				return err
			}},
		{Name: "list-lagging", Fault: "instance list lags by 8 s while an engine leaves", platformArgs: []string{"--list-lag", "8s"},
			script: func(ctx, _ context.Context, t *trial) error {
				e := t.engine()
				err := e.Process.Stop(time.Now().Add(startTime))
				return firstError(err, t.dropBackend(e, false))
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

func (t *trial) freezePlatform(lasts time.Duration) error {
	if err := t.top.SignalPlatform(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(lasts)
	return t.top.SignalPlatform(syscall.SIGCONT)
}
