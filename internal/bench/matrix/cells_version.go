package matrix

import (
	"context"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/fault"
)

// watchTime is how long the load goes on after the deadline of a move to a bad
// version.
const watchTime = 8 * time.Second

// badVersion is why completions fail in cells with a bad version.
const badVersion = "some run on the bad version before it is detected"

func versionCells() []*Cell {
	return []*Cell{
		versionCell("version-fails", "the new version fails at once", 0, fault.Fault{Kind: fault.Fail}, ""),
		versionCell("version-fails-later", "the new version fails from 5 s after the start of its move", faultAt+1500*time.Millisecond, fault.Fault{Kind: fault.Fail}, ""),
		versionCell("version-fails-under-load", "the new version fails while a fifth of the slots are busy", 0, fault.Fault{Kind: fault.FailUnderLoad, Value: "0.2"}, ""),
		versionCell("version-fails-on-route", "the new version fails on text completions", 0, fault.Fault{Kind: fault.FailRoute, Value: "completions"}, routeCause),
		versionCell("version-slow", "the new version is 6 times slower", 0, fault.Fault{Kind: fault.Slow, Value: "6"}, slowCause),
	}
}

const routeCause = `the route has 3.6 requests/s. In a move of 10.5 s, near the shortest that a catalogue may
have, the shares leave too few of them on the new version for the test, and the owner's deadline takes
precedence (section 9).`

// slowCause is by reading caller/openai, where report is called once per attempt.
const slowCause = `an attempt counts as slow when it ends, and a slow stream ends late: the longest take 18 s
here, longer than the move. The evidence comes too late to hold the shares.`

// versionCell injects a fault of the new version into all engines at a time.
func versionCell(name, text string, at time.Duration, f fault.Fault, cause string) *Cell {
	f.Version = newVersion
	return &Cell{
		Name: name, cause: cause, Fault: text, completionsFail: badVersion, loadTime: loadTime + watchTime,
		script: func(ctx, _ context.Context, t *trial) error {
			t.at(at)
			injected := time.Now()
			if err := t.breakVersion(ctx, f); err != nil {
				return err
			}
			return t.awaitVeto(ctx, injected)
		},
	}
}

func (t *trial) breakVersion(ctx context.Context, f fault.Fault) error {
	for _, e := range t.top.Engines {
		if err := t.inject(ctx, e.Address, f, 0); err != nil {
			return err
		}
	}
	return nil
}

// awaitVeto waits until the move is rolled back everywhere and checks that the
// bad version then gets no new attempt.
func (t *trial) awaitVeto(ctx context.Context, injected time.Time) error {
	// A version is watched after its deadline, too; the load goes on.
	for time.Now().Before(t.deadline.Add(watchTime)) && !t.allRolledBack() {
		time.Sleep(samplePeriod)
	}
	time.Sleep(settle)
	before, err := t.attemptsOnNew(ctx)
	if err != nil {
		return err
	}
	t.vetoed(ctx, injected)
	time.Sleep(2 * time.Second)
	after, err := t.attemptsOnNew(ctx)
	if err != nil {
		return err
	}
	t.check(BadVersion, after == before, "%d new attempts on the bad version in 2 s, from 1 s after the veto on all instances", after-before)
	t.note("%d attempts on the bad version in all; its deadline was %v after the fault", after, t.deadline.Sub(injected).Round(10*time.Millisecond))
	return nil
}

func (t *trial) allRolledBack() bool {
	for _, id := range t.watch.ids() {
		if _, reachable := t.watch.reachable(id, time.Now(), 0); !reachable {
			continue
		}
		if _, ok := t.watch.first(id, time.Time{}, rolledBack); !ok {
			return false
		}
	}
	return true
}

func (t *trial) attemptsOnNew(ctx context.Context) (int, error) {
	sum := 0
	for _, e := range t.top.Engines {
		n, err := received(ctx, e, newVersion)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}
