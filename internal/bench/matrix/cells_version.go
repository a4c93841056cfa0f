package matrix

import (
	"context"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/fault"
)

// postDeadlineLoadTime is how long the load continues after the deadline of a
// move to a bad version.
const postDeadlineLoadTime = 8 * time.Second

// reasonBadVersion is why completions may fail in cells with a bad version.
const reasonBadVersion = "some run on the bad version before it is detected"

func versionCells() []*Cell {
	return []*Cell{
		versionCell("version-fails", "the new version fails at once", 0, fault.Fault{Kind: fault.Fail}, ""),
		versionCell("version-fails-later", "the new version fails from 5 s after the start of its move", faultAt+1500*time.Millisecond, fault.Fault{Kind: fault.Fail}, ""),
		versionCell("version-fails-under-load", "the new version fails while a fifth of the slots are busy", 0, fault.Fault{Kind: fault.FailUnderLoad, Value: "0.2"}, ""),
		versionCell("version-fails-on-route", "the new version fails on text completions", 0, fault.Fault{Kind: fault.FailRoute, Value: "completions"}, routeCause),
		versionCell("version-slow", "the new version is 6 times slower", 0, fault.Fault{Kind: fault.Slow, Value: "6"}, slowCause),
	}
}

// routeCause explains a fault on one route that is not detected in time.
const routeCause = `the route has 3.6 requests/s. In a move of 10.5 s, which is close to the shortest allowed
move, too few of these requests are sent to the new version for the statistical test, and the owner's deadline takes
precedence (section 9).`

// slowCause explains a slow version that is not detected in time. The cause is
// derived from the code of internal/caller/openai, where report is called once per
// attempt.
const slowCause = `an attempt is counted as slow only when it ends. The longest slow streams take 18 s here, longer
than the move, so the evidence arrives too late to stop the increase of the shares.`

// versionCell returns a cell that injects a fault of the new version into all
// engines at a time after the start of the load.
func versionCell(name, text string, at time.Duration, f fault.Fault, cause string) *Cell {
	f.Version = newVersion
	return &Cell{
		Name: name, knownCause: cause, Fault: text, completionFailureReason: reasonBadVersion, loadTime: loadTime + postDeadlineLoadTime,
		script: func(ctx, _ context.Context, t *trial) error {
			t.waitUntil(at)
			injected := time.Now()
			if err := t.injectIntoEngines(ctx, f); err != nil {
				return err
			}
			return t.awaitRollback(ctx, injected)
		},
	}
}

func (t *trial) injectIntoEngines(ctx context.Context, f fault.Fault) error {
	for _, e := range t.topology.Engines {
		if err := t.inject(ctx, e.Address, f, 0); err != nil {
			return err
		}
	}
	return nil
}

// awaitRollback waits until the move is rolled back on all reachable instances, at
// most until postDeadlineLoadTime after its deadline. It checks the times of the
// rollbacks and that the bad version gets no new attempts after them.
func (t *trial) awaitRollback(ctx context.Context, injected time.Time) error {
	// A version can still be rolled back after the deadline of its move, so the
	// load continues.
	for time.Now().Before(t.deadline.Add(postDeadlineLoadTime)) && !t.allRolledBack() {
		time.Sleep(samplePeriod)
	}
	time.Sleep(settleTime)
	before, err := t.newVersionAttempts(ctx)
	if err != nil {
		return err
	}
	t.checkRollback(ctx, injected)
	time.Sleep(2 * time.Second)
	after, err := t.newVersionAttempts(ctx)
	if err != nil {
		return err
	}
	t.check(BadVersionRollback, after == before, "%d new attempts on the bad version between 1 s and 3 s after the rollback on all instances", after-before)
	t.note("%d attempts on the bad version in total; the deadline of the move was %v after the fault", after, t.deadline.Sub(injected).Round(10*time.Millisecond))
	return nil
}

func (t *trial) allRolledBack() bool {
	for _, id := range t.sampler.instanceIDs() {
		if _, reachable := t.sampler.reachableFrom(id, time.Now(), 0); !reachable {
			continue
		}
		if _, ok := t.sampler.firstMatch(id, time.Time{}, moveRolledBack); !ok {
			return false
		}
	}
	return true
}

func (t *trial) newVersionAttempts(ctx context.Context) (int, error) {
	sum := 0
	for _, e := range t.topology.Engines {
		n, err := countEngineAttempts(ctx, e, newVersion)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}
