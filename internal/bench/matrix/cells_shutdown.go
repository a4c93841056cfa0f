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
				e := t.entry()
				return during(func() error { t.stopEntry(e); return nil }, func() { t.touch(ctx, "operator") })
			}},
		{Name: "rolling-restart", Fault: "planned restart of all entry instances, one per failure domain at a time", loadTime: 18 * time.Second,
			script: func(ctx, watching context.Context, t *trial) error { return t.rollingRestart(ctx, watching, true) }},
		{Name: "entry-started-in-outage", Fault: "a new entry instance starts during a store outage of 6 s", bookingsFail: journalDown, script: startInOutage},
	}
}

// rollingRestart restarts one entry instance of each failure domain, waits until
// the load balancer knows the new ones, and goes on with the next. touch applies
// a revision after each round.
func (t *trial) rollingRestart(ctx, watching context.Context, touch bool) error {
	for i := range t.top.Layout.Entries {
		var es []demo.EntryInstance
		for _, domain := range failureDomains {
			es = append(es, t.domainEntries(domain)[i])
		}
		var wg sync.WaitGroup
		for _, e := range es {
			wg.Go(func() {
				began := time.Now()
				err := e.Process.Stop(time.Now().Add(startTime))
				t.check(PlannedShutdown, err == nil, "%v", err)
				t.note("%s stopped in %v", e.ID, time.Since(began).Round(10*time.Millisecond))
			})
		}
		began := time.Now()
		wg.Wait()
		for _, e := range es {
			again, err := t.top.StartEntry(e.FailureDomain, i)
			if err != nil {
				return err
			}
			took, err := t.awaitReady(ctx, again)
			if err != nil {
				return err
			}
			t.note("%s ready after %v", again.ID, took.Round(10*time.Millisecond))
			t.watch.away(e.ID, began, time.Now())
			t.watch.add(watching, again)
		}
		if touch {
			t.touch(ctx, "operator")
		}
		if err := t.listed(ctx); err != nil {
			return err
		}
	}
	return nil
}

// listed waits until the instance list has the addresses of all entry instances.
func (t *trial) listed(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	client := instances.New(instances.Config{Address: t.top.Platform})
	return demo.Poll(ctx, func() error {
		all, err := client.List(ctx)
		if err != nil {
			return err
		}
		for _, e := range t.top.Entries {
			if !slices.ContainsFunc(all, func(i instances.Instance) bool { return i.Address == e.Client && i.State == instances.StateLive }) {
				return fmt.Errorf("%s is not listed", e.ID)
			}
		}
		return nil
	})
}

// awaitReady returns how long an instance took to be ready.
func (t *trial) awaitReady(ctx context.Context, e demo.EntryInstance) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	began := time.Now()
	err := e.Ready(ctx)
	return time.Since(began), err
}

func startInOutage(ctx, watching context.Context, t *trial) error {
	if err := t.inject(ctx, t.top.Platform, fault.Fault{Kind: platform.Outage, Target: "kv"}, outageTime); err != nil {
		return err
	}
	ends := time.Now().Add(outageTime)
	e, err := t.top.StartEntry(failureDomains[1], t.top.Layout.Entries)
	if err != nil {
		return err
	}
	took, err := t.awaitReady(ctx, e)
	if err != nil {
		return err
	}
	t.check(Configuration, time.Now().Before(ends), "the new instance was ready %v after the end of the outage", time.Since(ends))
	t.note("new instance ready after %v", took.Round(10*time.Millisecond))
	t.watch.add(watching, e)
	time.Sleep(time.Until(ends))
	t.touch(ctx, "after")
	return nil
}
