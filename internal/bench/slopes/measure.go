package slopes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wasabiworks.example/wasabiworks/internal/peer/config"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

const (
	warmUp     = 3 * time.Second
	windowTime = 8 * time.Second
	// changes is the number of catalogue changes of a run, changePause the
	// time between two of them.
	changes     = 4
	changePause = 1500 * time.Millisecond
	// repeats is the number of runs of each shape.
	repeats = 2
	// parallel is the number of runs at a time.
	parallel = 4
)

// Target is the scale of section 1.4 of docs/design.md. One of the nodes is the
// measured process.
var Target = Shape{Peers: 359, Workers: 2000}

// shapes vary the peers with few workers and the workers with all peers.
var shapes = []Shape{
	{Peers: 359, Workers: 2000}, {Peers: 359, Workers: 2000, Holder: true},
	{Peers: 359, Workers: 1000}, {Peers: 359, Workers: 200}, {Peers: 359, Workers: 20},
	{Peers: 359, Workers: 20, Bare: true}, {Peers: 100, Workers: 20, Bare: true}, {Peers: 10, Workers: 20, Bare: true},
	{Peers: 200, Workers: 20}, {Peers: 100, Workers: 20}, {Peers: 50, Workers: 20}, {Peers: 10, Workers: 20},
}

// Config says where the programs are and where the results go.
type Config struct {
	// Binaries is the directory of the built programs, Logs that for the
	// output of the processes.
	Binaries, Logs string
	// Quick measures the smallest and the target shape once only.
	Quick    bool
	Progress io.Writer
}

// Run holds the measurements of one process.
type Run struct {
	Shape  Shape  `json:"shape"`
	Repeat int    `json:"repeat"`
	Idle   Window `json:"idle"`
	// Move is measured with one version move in progress.
	Move Window `json:"move"`
	// Change is measured under catalogue changes.
	Change Window `json:"change"`
	// InEffect holds the seconds from each write to the store until the
	// process reported the new revision.
	InEffect []float64 `json:"in-effect"`
}

// Results are all measurements.
type Results struct {
	Command string `json:"command"`
	// Seconds is the time that the measurements took.
	Seconds float64            `json:"seconds"`
	Repeats int                `json:"repeats"`
	Runs    []Run              `json:"runs"`
	Path    []PathWindow       `json:"path"`
	Journal map[string]float64 `json:"journal"`
	Local   *Local             `json:"local"`
}

// Measure makes all measurements.
func Measure(ctx context.Context, c Config) (*Results, error) {
	if err := os.MkdirAll(c.Logs, 0o755); err != nil {
		return nil, err
	}
	start := time.Now()
	r := &Results{Command: "make capacity", Repeats: c.repeats()}
	var err error
	if r.Local, err = local(); err != nil {
		return nil, err
	}
	if r.Runs, err = c.runs(ctx); err != nil {
		return nil, err
	}
	r.Path, r.Journal, err = c.path(ctx)
	r.Seconds = time.Since(start).Seconds()
	return r, err
}

func (c Config) repeats() int {
	if c.Quick {
		return 1
	}
	return repeats
}

// runs measures all shapes, the same shape at different times.
func (c Config) runs(ctx context.Context) (runs []Run, err error) {
	plan := shapes
	if c.Quick {
		plan = []Shape{shapes[0], shapes[len(shapes)-1]}
	}
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(parallel)
	for repeat := range c.repeats() {
		for _, s := range plan {
			g.Go(func() error {
				start := time.Now()
				r, err := c.run(ctx, s, repeat)
				if err != nil {
					return fmt.Errorf("%+v: %w", s, err)
				}
				mu.Lock()
				defer mu.Unlock()
				runs = append(runs, r)
				fmt.Fprintf(c.Progress, "slopes: %d peers, %d workers, holder %v, bare %v, repeat %d: %.2f%% of a core, %.0f KB/s sent to peers (%.1f s)\n",
					s.Peers, s.Workers, s.Holder, s.Bare, repeat, 100*r.Idle.Rates["cpu"], r.Idle.Rates["peers.sent"]/1e3, time.Since(start).Seconds())
				return nil
			})
		}
	}
	return runs, g.Wait()
}

// run measures one process.
func (c Config) run(ctx context.Context, s Shape, repeat int) (r Run, err error) {
	r = Run{Shape: s, Repeat: repeat}
	w, err := newWorld(ctx, s)
	defer func() { err = errors.Join(err, w.stop()) }()
	if err != nil {
		return r, err
	}
	if err := w.apply(ctx, 0, false); err != nil {
		return r, err
	}
	if err := w.start(ctx, c.Binaries, c.Logs, fmt.Sprintf("serve-%d-%d-%v-%v-%d", s.Peers, s.Workers, s.Holder, s.Bare, repeat)); err != nil {
		return r, err
	}
	time.Sleep(warmUp)
	pid := w.process.Process.Pid
	if r.Idle, err = w.counters.window(pid, windowTime, nil); err != nil || s.Bare || s.Workers != 20 && s.Workers != Target.Workers {
		return r, err
	}
	if err := w.apply(ctx, 1, true); err != nil {
		return r, err
	}
	w.peers.moving.Store(true)
	time.Sleep(warmUp)
	if r.Move, err = w.counters.window(pid, windowTime, nil); err != nil {
		return r, err
	}
	w.peers.moving.Store(false)
	if err := w.apply(ctx, 2, false); err != nil {
		return r, err
	}
	time.Sleep(warmUp)
	return r, w.measureChanges(ctx, pid, &r)
}

// measureChanges measures catalogue changes.
func (w *world) measureChanges(ctx context.Context, pid int, r *Run) error {
	var errs []error
	var err error
	r.Change, err = w.counters.window(pid, changes*changePause, func() {
		for i := range changes {
			start := time.Now()
			err := w.apply(ctx, 3+i, false)
			if err == nil {
				err = w.peers.announce(ctx)
			}
			if err == nil {
				err = w.inEffect(ctx)
			}
			errs = append(errs, err)
			r.InEffect = append(r.InEffect, time.Since(start).Seconds())
			time.Sleep(time.Until(start.Add(changePause)))
		}
	})
	return errors.Join(append(errs, err)...)
}

// apply writes a catalogue to the store and gives it to the light peers. The
// write counts as sent to the platform, which no figure of a window with
// changes uses.
func (w *world) apply(ctx context.Context, change int, moving bool) error {
	data, err := encoded(change, moving)
	if err != nil {
		return err
	}
	have := w.peers.catalogue.Load().GetRevision()
	revision, err := w.store.Put(ctx, "catalogue", data, have)
	if err != nil {
		return err
	}
	w.peers.catalogue.Store(&peerpb.Snapshot{Revision: revision, Catalogue: config.Pack(data)})
	return nil
}

// inEffect waits until the process reports the latest revision.
func (w *world) inEffect(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	want := w.peers.catalogue.Load().GetRevision()
	return poll(ctx, 25*time.Millisecond, func(ctx context.Context) error {
		s, err := w.read(ctx)
		if err != nil {
			return err
		}
		if s.CatalogueRevision < want {
			return fmt.Errorf("revision is %d, want %d", s.CatalogueRevision, want)
		}
		return nil
	})
}
