package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Config configures Run.
type Config struct {
	// Binaries is the directory of the built programs.
	Binaries string
	// Logs is the directory for the output of the processes.
	Logs string
	// Output receives the progress messages and the table of results.
	Output io.Writer
}

// moveTime is the time from the start of the version move to its deadline.
const moveTime = 12 * time.Second

// reclaimNotice is shorter than the streams that run when the notice is sent, so
// that the engine is killed before they end.
const reclaimNotice = 1500 * time.Millisecond

// maxPrintedFailures limits the number of failures that are printed.
const maxPrintedFailures = 10

// Run starts the system, sends requests during a version move, a reclaim and a
// planned shutdown, and stops the system. It returns an error if a response was
// wrong or incomplete, a booking ran twice or a process failed.
func Run(ctx context.Context, c Config) error {
	if err := os.MkdirAll(c.Logs, 0o755); err != nil {
		return fmt.Errorf("create the log directory: %w", err)
	}
	d := &demo{config: c, topology: Topology{Layout: demoLayout(c)}}
	started := time.Now()
	err := d.run(ctx)
	d.progress("stopping all processes")
	errs := d.topology.Stop()
	d.report(time.Since(started))
	for i, f := range d.tally.failures {
		if i == maxPrintedFailures {
			errs = append(errs, fmt.Errorf("%d more failures", len(d.tally.failures)-i))
			break
		}
		errs = append(errs, errors.New(f))
	}
	return errors.Join(append([]error{err}, errs...)...)
}

type demo struct {
	config      Config
	topology    Topology
	tally       tally
	moveSummary string
	totals      totals
}

// totals are sums over the status of all entry instances.
type totals struct {
	generated, recomputed int64
	cost                  float64
}

func (d *demo) progress(format string, args ...any) {
	fmt.Fprintf(d.config.Output, "demo: "+format+"\n", args...)
}

func (d *demo) run(ctx context.Context) error {
	d.progress("starting platform, backend servers and entry instances in %s", strings.Join(d.topology.Layout.FailureDomains, " and "))
	if err := d.topology.Start(ctx); err != nil {
		return err
	}
	d.progress("applying the catalogue (%s on version %s)", languageEntry, oldVersion)
	out, err := d.topology.ApplyCatalogue(ctx, "demo", catalogueYAML(oldVersion, 0, time.Time{}), "--wait")
	if err != nil {
		return err
	}
	d.progress("%s", strings.TrimSpace(out))
	if err := d.topology.AwaitReady(ctx); err != nil {
		return err
	}
	d.progress("sending 40 completions, half of them streamed, and 10 bookings, each booking twice")
	d.completions(ctx, "completion", 40)
	d.bookings(ctx, 10)
	if err := d.checkRuns(ctx); err != nil {
		return err
	}
	if err := d.move(ctx); err != nil {
		return err
	}
	d.progress("reclaiming a backend server in the middle of 16 streams")
	if err := d.reclaim(ctx); err != nil {
		return err
	}
	if err := d.readTotals(ctx); err != nil {
		return err
	}
	d.progress("stopping one entry instance in the middle of 8 streams")
	return d.plannedStop(ctx)
}

// completions sends n requests, distributed over all entry instances, 8 at a
// time.
func (d *demo) completions(ctx context.Context, kind string, n int) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, 8)
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			d.completion(ctx, kind, i, d.topology.EntryInstances[i%len(d.topology.EntryInstances)], 24)
		})
	}
	wg.Wait()
}

func (d *demo) completion(ctx context.Context, kind string, i int, e EntryInstance, maxTokens int) {
	message := fmt.Sprintf("%s %d: draft a face-painting design with a tiger for a birthday party", kind, i)
	got, err := newChatClient(e.ClientAddress, demoToken, languageEntry).complete(ctx, message, maxTokens, i%2 == 0)
	d.tally.record(kind, message, got, expectedResponse(message, maxTokens), err)
}

// bookings sends each booking twice, the second time through another entry
// instance.
func (d *demo) bookings(ctx context.Context, n int) {
	for i := range n {
		key, body := fmt.Sprintf("booking-%d", i), fmt.Sprintf(`{"slot":%d}`, i)
		first := d.topology.EntryInstances[i%len(d.topology.EntryInstances)]
		second := d.topology.EntryInstances[(i+1)%len(d.topology.EntryInstances)]
		want, _, err := sendBooking(ctx, first.ClientAddress, demoToken, serviceEntry, key, body)
		d.tally.record("booking", key, want, want, err)
		got, replayed, err := sendBooking(ctx, second.ClientAddress, demoToken, serviceEntry, key, body)
		d.tally.record("booking", key+" again", got, want, err)
		if err == nil && !replayed {
			d.tally.addFailure("booking %s: the second call was not answered from the journal", key)
		}
		d.tally.update("booking", func(c *Counts) {
			if replayed {
				c.Replayed++
			}
		})
	}
}

// checkRuns checks that the plain services ran no booking more than once.
func (d *demo) checkRuns(ctx context.Context) error {
	runs := make(map[string]int)
	for _, s := range d.topology.Services {
		data, err := Fetch(ctx, "http://"+s.Address+"/runs")
		if err != nil {
			return err
		}
		var counted map[string]int
		if err := json.Unmarshal(data, &counted); err != nil {
			return fmt.Errorf("decode the runs of %s: %w", s.ID, err)
		}
		for key, n := range counted {
			runs[key] += n
		}
	}
	for key, n := range runs {
		if n != 1 {
			d.tally.addFailure("booking %s ran %d times", key, n)
			d.tally.update("booking", func(c *Counts) { c.DuplicateRuns += n - 1 })
		}
	}
	return nil
}

// move moves the language entry to the new version under load.
func (d *demo) move(ctx context.Context) error {
	deadline := time.Now().Add(moveTime)
	d.progress("moving %s to version %s by %s", languageEntry, newVersion, deadline.Format(time.TimeOnly))
	revision, err := d.revision(ctx)
	if err != nil {
		return err
	}
	if _, err := d.topology.ApplyCatalogue(ctx, "demo", catalogueYAML(newVersion, revision, deadline), "--wait"); err != nil {
		return err
	}
	for i := 0; time.Now().Before(deadline.Add(5 * time.Second)); i++ {
		d.completions(ctx, "during move", 8)
		m, err := d.moveState(ctx)
		if err != nil {
			return err
		}
		d.moveSummary = fmt.Sprintf("%s %s to %s: %s", m.Entry, m.From, m.To, m.Phase)
		if i%4 == 0 {
			d.progress("share of %s: %.0f%% (%s)", newVersion, 100*m.Share, m.Phase)
		}
		if m.Phase == "done" {
			if late := time.Since(deadline); late > 0 {
				return fmt.Errorf("move finished %s after its deadline", late)
			}
			d.progress("move finished %s before its deadline", time.Until(deadline).Round(100*time.Millisecond))
			return nil
		}
	}
	return fmt.Errorf("move did not finish: %s", d.moveSummary)
}

// reclaim announces the reclaim of an engine while streams run on it, and kills
// the engine at the end of the notice.
func (d *demo) reclaim(ctx context.Context) error {
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			d.completion(ctx, "during reclaim", i, d.topology.EntryInstances[i%len(d.topology.EntryInstances)], 800)
		})
	}
	time.Sleep(500 * time.Millisecond)
	body := fmt.Sprintf(`{"kind":"reclaim","target":%q,"until":%q}`,
		d.topology.Engines[0].ID, time.Now().Add(reclaimNotice).Format(time.RFC3339Nano))
	res, err := http.Post("http://"+d.topology.PlatformAddress+"/faults", "application/json", strings.NewReader(body))
	if err != nil {
		return fmt.Errorf("announce the reclaim: %w", err)
	}
	res.Body.Close()
	time.Sleep(reclaimNotice)
	d.topology.Engines[0].Process.Kill()
	d.topology.Engines = d.topology.Engines[1:]
	wg.Wait()
	return nil
}

// plannedStop shuts down an entry instance while it streams responses.
func (d *demo) plannedStop(ctx context.Context) error {
	leaving := d.topology.EntryInstances[0]
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() { d.completion(ctx, "planned stop", i, leaving, 40) })
	}
	time.Sleep(300 * time.Millisecond)
	err := leaving.Process.Stop(time.Now().Add(30 * time.Second))
	d.topology.EntryInstances = d.topology.EntryInstances[1:]
	wg.Wait()
	return err
}

// moveStatus is a move in the status of an entry instance.
type moveStatus struct {
	Entry string  `json:"entry"`
	From  string  `json:"from"`
	To    string  `json:"to"`
	Share float64 `json:"share"`
	Phase string  `json:"phase"`
}

func (d *demo) revision(ctx context.Context) (int64, error) {
	var s struct {
		Revision int64 `json:"catalogue-revision"`
	}
	err := d.topology.EntryInstances[0].Status(ctx, &s)
	return s.Revision, err
}

func (d *demo) moveState(ctx context.Context) (moveStatus, error) {
	var s struct {
		Moves []moveStatus `json:"moves"`
	}
	if err := d.topology.EntryInstances[0].Status(ctx, &s); err != nil {
		return moveStatus{}, err
	}
	for _, m := range s.Moves {
		if m.Entry == languageEntry && m.To == newVersion {
			return m, nil
		}
	}
	return moveStatus{}, fmt.Errorf("status has no move of %s", languageEntry)
}

func (d *demo) readTotals(ctx context.Context) error {
	for _, e := range d.topology.EntryInstances {
		var s struct {
			Generated  int64   `json:"generated-tokens"`
			Recomputed int64   `json:"recomputed-tokens"`
			Cost       float64 `json:"cost"`
		}
		if err := e.Status(ctx, &s); err != nil {
			return err
		}
		d.totals.generated += s.Generated
		d.totals.recomputed += s.Recomputed
		d.totals.cost += s.Cost
	}
	return nil
}
