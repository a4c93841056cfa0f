package scaling

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/peer/propagation"
)

const (
	warmUpTime = 3 * time.Second
	windowTime = 8 * time.Second
	// changeCount is the number of catalogue changes of a run, changeInterval
	// the time from one change to the next.
	changeCount    = 4
	changeInterval = 1500 * time.Millisecond
	// repeats is the number of runs of each shape.
	repeats = 2
	// parallelRuns is the maximum number of concurrent runs.
	parallelRuns = 4
)

// Target is the scale of section 1.4 of docs/design.md. The measured process is the
// 360th node.
var Target = Shape{Peers: 359, Workers: 2000}

// shapes are the measured fleets: the number of peers varies with 20 workers, and
// the number of workers varies with all peers.
var shapes = []Shape{
	{Peers: 359, Workers: 2000}, {Peers: 359, Workers: 2000, Holder: true},
	{Peers: 359, Workers: 1000}, {Peers: 359, Workers: 200}, {Peers: 359, Workers: 20},
	{Peers: 359, Workers: 20, Bare: true}, {Peers: 100, Workers: 20, Bare: true}, {Peers: 10, Workers: 20, Bare: true},
	{Peers: 200, Workers: 20}, {Peers: 100, Workers: 20}, {Peers: 50, Workers: 20}, {Peers: 10, Workers: 20},
}

// Config configures the measurements.
type Config struct {
	// Binaries is the directory of the built programs. Logs is the directory
	// for the output of the processes.
	Binaries, Logs string
	// Quick measures only the smallest shape and the target, and repeats nothing.
	Quick bool
	// Progress receives a line for each run and each window of the request path.
	Progress io.Writer
}

// Run holds the measurements of one process in a fleet of one shape.
type Run struct {
	Shape  Shape `json:"shape"`
	Repeat int   `json:"repeat"`
	// Idle is measured with heartbeats and polls, but without requests, version
	// moves and catalogue changes.
	Idle Window `json:"idle"`
	// Move is measured during one version move.
	Move Window `json:"move"`
	// Change is measured during a series of catalogue changes.
	Change Window `json:"change"`
	// InEffect holds the seconds from each write to the store until the
	// process reported the new revision.
	InEffect []float64 `json:"in-effect"`
}

// Results holds all measurements.
type Results struct {
	Command string `json:"command"`
	// Seconds is the duration of all measurements.
	Seconds float64 `json:"seconds"`
	Repeats int     `json:"repeats"`
	Runs    []Run   `json:"runs"`
	// Path holds the windows of the request path.
	Path []PathWindow `json:"path"`
	// Journal holds the mean cost of one non-idempotent call, except that its
	// "calls" is the total number of calls.
	Journal  map[string]float64 `json:"journal"`
	Packages *PackageCosts      `json:"local"`
}

// Measure runs all measurements. It starts the programs in c.Binaries and stops
// them before it returns.
func Measure(ctx context.Context, c Config) (*Results, error) {
	if err := os.MkdirAll(c.Logs, 0o755); err != nil {
		return nil, err
	}
	start := time.Now()
	r := &Results{Command: "make capacity", Repeats: c.repeats()}
	var err error
	if r.Packages, err = measurePackages(); err != nil {
		return nil, err
	}
	if r.Runs, err = c.measureShapes(ctx); err != nil {
		return nil, err
	}
	r.Path, r.Journal, err = c.measurePath(ctx)
	r.Seconds = time.Since(start).Seconds()
	return r, err
}

func (c Config) repeats() int {
	if c.Quick {
		return 1
	}
	return repeats
}

// measureShapes measures all shapes. It starts one run of each shape before the
// next repeat, so that the repeats of a shape are spread over time.
func (c Config) measureShapes(ctx context.Context) (runs []Run, err error) {
	plan := shapes
	if c.Quick {
		plan = []Shape{shapes[0], shapes[len(shapes)-1]}
	}
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(parallelRuns)
	for repeat := range c.repeats() {
		for _, s := range plan {
			g.Go(func() error {
				start := time.Now()
				r, err := c.measureShape(ctx, s, repeat)
				if err != nil {
					return fmt.Errorf("measure shape %+v: %w", s, err)
				}
				mu.Lock()
				defer mu.Unlock()
				runs = append(runs, r)
				fmt.Fprintf(c.Progress, "slopes: %d peers, %d workers, holder %v, bare %v, repeat %d: idle %.2f%% of a core, %.0f KB/s sent to peers (%.1f s)\n",
					s.Peers, s.Workers, s.Holder, s.Bare, repeat, 100*r.Idle.Rates["cpu"], r.Idle.Rates["peers.sent"]/1e3, time.Since(start).Seconds())
				return nil
			})
		}
	}
	return runs, g.Wait()
}

// measureShape measures one process in a fleet of shape s. Version moves and
// catalogue changes are measured only for shapes that are not bare and have 20 or
// the target number of workers.
func (c Config) measureShape(ctx context.Context, s Shape, repeat int) (r Run, err error) {
	r = Run{Shape: s, Repeat: repeat}
	t, err := newTestbed(ctx, s)
	defer func() { err = errors.Join(err, t.stop()) }()
	if err != nil {
		return r, err
	}
	if err := t.putCatalogue(ctx, 0, false); err != nil {
		return r, err
	}
	if err := t.start(ctx, c.Binaries, c.Logs, fmt.Sprintf("serve-%d-%d-%v-%v-%d", s.Peers, s.Workers, s.Holder, s.Bare, repeat)); err != nil {
		return r, err
	}
	time.Sleep(warmUpTime)
	pid := t.process.Process.Pid
	if r.Idle, err = t.counters.measureWindow(pid, windowTime, nil); err != nil || s.Bare || s.Workers != 20 && s.Workers != Target.Workers {
		return r, err
	}
	if err := t.putCatalogue(ctx, 1, true); err != nil {
		return r, err
	}
	t.peers.moving.Store(true)
	time.Sleep(warmUpTime)
	if r.Move, err = t.counters.measureWindow(pid, windowTime, nil); err != nil {
		return r, err
	}
	t.peers.moving.Store(false)
	if err := t.putCatalogue(ctx, 2, false); err != nil {
		return r, err
	}
	time.Sleep(warmUpTime)
	return r, t.measureChanges(ctx, pid, &r)
}

// measureChanges measures the process during a series of catalogue changes and the
// time until each is in effect.
func (t *testbed) measureChanges(ctx context.Context, pid int, r *Run) error {
	var errs []error
	var err error
	r.Change, err = t.counters.measureWindow(pid, changeCount*changeInterval, func() {
		for i := range changeCount {
			start := time.Now()
			err := t.putCatalogue(ctx, 3+i, false)
			if err == nil {
				err = t.peers.announceRevision(ctx)
			}
			if err == nil {
				err = t.waitForRevision(ctx)
			}
			errs = append(errs, err)
			r.InEffect = append(r.InEffect, time.Since(start).Seconds())
			time.Sleep(time.Until(start.Add(changeInterval)))
		}
	})
	return errors.Join(append(errs, err)...)
}

// putCatalogue writes a catalogue to the store and makes it the one that the light
// peers serve. The bytes of the write are counted as if the measured process had
// sent them; no figure from a window with changes uses them.
func (t *testbed) putCatalogue(ctx context.Context, change int, moving bool) error {
	data, err := encodeCatalogue(change, moving)
	if err != nil {
		return err
	}
	previous := t.peers.catalogue.Load().GetRevision()
	revision, err := t.store.Put(ctx, "catalogue", data, previous)
	if err != nil {
		return err
	}
	t.peers.catalogue.Store(&peerpb.Snapshot{Revision: revision, Catalogue: propagation.Compress(data)})
	return nil
}

// waitForRevision waits until the measured process reports the latest catalogue
// revision.
func (t *testbed) waitForRevision(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	want := t.peers.catalogue.Load().GetRevision()
	return poll(ctx, 25*time.Millisecond, func(ctx context.Context) error {
		s, err := t.readStatus(ctx)
		if err != nil {
			return err
		}
		if s.CatalogueRevision < want {
			return fmt.Errorf("catalogue revision of the measured process is %d, want %d", s.CatalogueRevision, want)
		}
		return nil
	})
}
