package matrix

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/demo"
	"wasabiworks.example/wasabiworks/internal/bench/fault"
	"wasabiworks.example/wasabiworks/internal/bench/load"
)

const (
	// startTime bounds the start of all processes.
	startTime = 30 * time.Second
	// requestTimeout bounds a request, beyond every freeze and outage.
	requestTimeout = 40 * time.Second
	// moveTime is above the shortest one that a catalogue may have, 10 s.
	moveTime  = 10500 * time.Millisecond
	loadTime  = 12 * time.Second
	moveAt    = 500 * time.Millisecond
	faultAt   = 4 * time.Second
	baseLimit = 1000
	// betweenTokens makes the longest streams outlast the notice of a reclaim.
	betweenTokens = "10ms"
	faultTimeout  = 5 * time.Second
)

// applied is a revision and the time at which its apply returned.
type applied struct {
	revision int64
	at       time.Time
}

// trial is one run of a cell.
type trial struct {
	cell   *Cell
	config Config
	mix    load.Mix
	top    *demo.Topology
	watch  *watch
	random *rand.Rand
	start  time.Time
	report *load.Report

	mu       sync.Mutex
	settings settings
	revision int64
	applies  []applied
	deadline time.Time
	// killed are the client addresses of entry instances that were killed.
	killed   []string
	findings map[Guarantee]*finding
	notes    []string
}

func newTrial(c *Cell, config Config) (*trial, error) {
	m, err := mix()
	if err != nil {
		return nil, err
	}
	if err := os.RemoveAll(config.Logs); err != nil {
		return nil, fmt.Errorf("empty the log directory: %w", err)
	}
	if err := os.MkdirAll(config.Logs, 0o755); err != nil {
		return nil, fmt.Errorf("create the log directory: %w", err)
	}
	return &trial{
		cell: c, config: config, mix: m, watch: newWatch(), random: rand.New(rand.NewPCG(config.Seed, 1)),
		settings: settings{version: oldVersion, limit: baseLimit},
		findings: make(map[Guarantee]*finding),
		top: &demo.Topology{Layout: demo.Layout{
			Binaries: config.Binaries, Logs: config.Logs, Region: region, FailureDomains: failureDomains,
			Entries: 2, Engines: 2, Services: 1, LanguageEntry: languageEntry, ServiceEntry: serviceEntry,
			Versions: []string{oldVersion, newVersion}, RunLogs: true,
			PlatformArgs: c.platformArgs, EngineArgs: slices.Concat([]string{"--reclaimable", "--between-tokens", betweenTokens}, c.engineArgs),
			ServiceArgs: []string{"--reclaimable"},
		}},
	}, nil
}

// run starts the system, drives it through the cell and stops it.
func (t *trial) run(ctx context.Context) error {
	watching, stop := context.WithCancel(ctx)
	defer func() {
		stop()
		t.watch.wg.Wait()
	}()
	err := t.begin(ctx, watching)
	if err == nil {
		err = t.drive(ctx, watching)
	}
	if err == nil {
		t.checkAll(ctx)
	}
	for _, fault := range t.top.Stop() {
		t.check(PlannedShutdown, false, "stop after the load: %v", fault)
	}
	return err
}

func (t *trial) begin(ctx, watching context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	if err := t.top.Start(ctx); err != nil {
		return err
	}
	if out, err := t.apply(ctx, "first", func(*settings) {}); err != nil {
		return fmt.Errorf("first catalogue: %w: %s", err, out)
	}
	if err := t.top.Ready(ctx); err != nil {
		return err
	}
	for _, e := range t.top.Entries {
		t.watch.add(watching, e)
	}
	return nil
}

// drive runs the load and the cell's script at the same time.
func (t *trial) drive(ctx, watching context.Context) error {
	duration := t.cell.loadTime
	if duration == 0 {
		duration = loadTime
	}
	config := load.Config{
		Mix: t.mix, Seed: t.config.Seed, Run: fmt.Sprintf("%s-%d", t.cell.Name, t.config.Seed), Rate: t.config.Rate,
		Duration: duration, Timeout: requestTimeout, Platform: t.top.Platform,
	}
	for _, s := range t.top.Services {
		config.ServiceRunLogs = append(config.ServiceRunLogs, s.RunLog)
	}
	for _, s := range t.top.Engines {
		config.EngineRunLogs = append(config.EngineRunLogs, s.RunLog)
	}
	for _, file := range slices.Concat(config.ServiceRunLogs, config.EngineRunLogs) {
		if _, err := os.Stat(file); err != nil {
			return fmt.Errorf("run log: %w", err)
		}
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	var loadErr error
	t.start = time.Now()
	wg.Go(func() { t.report, loadErr = load.Run(ctx, config) })
	err := t.script(ctx, watching)
	wg.Wait()
	return errors.Join(err, loadErr)
}

func (t *trial) script(ctx, watching context.Context) error {
	if !t.cell.noMove {
		t.at(moveAt)
		out, err := t.apply(ctx, "mover", func(s *settings) {
			s.version, s.moveBy = newVersion, time.Now().Add(moveTime)
			t.deadline = s.moveBy
		})
		if err != nil {
			return fmt.Errorf("apply the move: %w: %s", err, out)
		}
	}
	t.at(faultAt)
	if t.cell.script == nil {
		return nil
	}
	return t.cell.script(ctx, watching, t)
}

// at waits until a time after the start of the load.
func (t *trial) at(d time.Duration) {
	time.Sleep(time.Until(t.start.Add(d)))
}

var revisionOf = regexp.MustCompile(`applied at revision (\d+)`)

// apply changes the catalogue with the operators' command.
func (t *trial) apply(ctx context.Context, author string, change func(*settings), args ...string) (string, error) {
	t.mu.Lock()
	next, base := t.settings, t.revision
	t.mu.Unlock()
	change(&next)
	out, err := t.top.ApplyCatalogue(ctx, author, next.yaml(base, t.mix.Workspaces), args...)
	if err != nil {
		return out, err
	}
	m := revisionOf.FindStringSubmatch(out)
	if m == nil {
		return out, fmt.Errorf("no revision in the output %q", out)
	}
	revision, err := strconv.ParseInt(m[1], 10, 64)
	if err != nil {
		return out, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settings, t.revision = next, revision
	t.applies = append(t.applies, applied{revision, time.Now()})
	return out, nil
}

// touch applies a new revision and checks that the apply succeeds.
func (t *trial) touch(ctx context.Context, author string) {
	out, err := t.apply(ctx, author, func(s *settings) { s.limit++ })
	t.check(Configuration, err == nil, "apply by %s: %v: %s", author, err, out)
}

// inject injects a fault into a fake. A duration of 0 leaves its end open.
func (t *trial) inject(ctx context.Context, address string, f fault.Fault, lasts time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	if lasts > 0 {
		f.Until = time.Now().Add(lasts)
	}
	if err := fault.Post(ctx, address, f); err != nil {
		return fmt.Errorf("inject %s: %w", f.Kind, err)
	}
	return nil
}

// check records that a guarantee was checked, and a problem unless ok.
func (t *trial) check(g Guarantee, ok bool, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.findings[g]
	if f == nil {
		f = new(finding)
		t.findings[g] = f
	}
	f.checked = true
	if !ok {
		f.problems = append(f.problems, strings.TrimSpace(fmt.Sprintf(format, args...)))
	}
}

// note records a measured result.
func (t *trial) note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notes = append(t.notes, fmt.Sprintf(format, args...))
}

// entry returns a random entry instance.
func (t *trial) entry() demo.EntryInstance {
	return t.top.Entries[t.random.IntN(len(t.top.Entries))]
}

// engine returns a random engine.
func (t *trial) engine() demo.BackendServer {
	return t.top.Engines[t.random.IntN(len(t.top.Engines))]
}

// killEntry kills an entry instance.
func (t *trial) killEntry(e demo.EntryInstance) {
	t.watch.away(e.ID, time.Now(), time.Time{})
	t.killed = append(t.killed, e.Client)
	e.Process.Kill()
	t.top.Entries = slices.DeleteFunc(t.top.Entries, func(o demo.EntryInstance) bool { return o.ID == e.ID })
}

// dropBackend kills a backend server or waits for its end if it is reclaimed.
func (t *trial) dropBackend(s demo.BackendServer, kill bool) error {
	if kill {
		s.Process.Kill()
	}
	select {
	case <-s.Process.Ended():
	case <-time.After(faultTimeout):
		s.Process.Kill()
		return fmt.Errorf("%s did not end at its reclaim", s.ID)
	}
	same := func(o demo.BackendServer) bool { return o.ID == s.ID }
	t.top.Engines = slices.DeleteFunc(t.top.Engines, same)
	t.top.Services = slices.DeleteFunc(t.top.Services, same)
	return nil
}

// freeze stops processes by SIGSTOP for a time.
func (t *trial) freeze(lasts time.Duration, processes ...*demo.Process) error {
	var errs []error
	for _, p := range processes {
		errs = append(errs, p.Signal(syscall.SIGSTOP))
	}
	time.Sleep(lasts)
	for _, p := range processes {
		errs = append(errs, p.Signal(syscall.SIGCONT))
	}
	return errors.Join(errs...)
}

// freezeEntries freezes entry instances for a time.
func (t *trial) freezeEntries(lasts time.Duration, es ...demo.EntryInstance) error {
	var ps []*demo.Process
	now := time.Now()
	for _, e := range es {
		t.watch.away(e.ID, now, now.Add(lasts))
		ps = append(ps, e.Process)
	}
	return t.freeze(lasts, ps...)
}

// stopEntry shuts an entry instance down as planned and checks its end.
func (t *trial) stopEntry(e demo.EntryInstance) {
	t.watch.away(e.ID, time.Now(), time.Time{})
	began := time.Now()
	err := e.Process.Stop(time.Now().Add(startTime))
	t.check(PlannedShutdown, err == nil, "%v", err)
	t.note("%s stopped in %v", e.ID, time.Since(began).Round(10*time.Millisecond))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.top.Entries = slices.DeleteFunc(slices.Clone(t.top.Entries), func(o demo.EntryInstance) bool { return o.ID == e.ID })
}

// received returns the attempts that an engine received, for a version or for
// all if it is empty.
func received(ctx context.Context, s demo.BackendServer, version string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	data, err := demo.Fetch(ctx, "http://"+s.Address+"/runs")
	if err != nil {
		return 0, err
	}
	var log struct {
		Runs []struct {
			Version  string `json:"version"`
			Received int    `json:"received"`
		} `json:"runs"`
	}
	if err := json.Unmarshal(data, &log); err != nil {
		return 0, fmt.Errorf("runs of %s: %w", s.ID, err)
	}
	n := 0
	for _, r := range log.Runs {
		if version == "" || r.Version == version {
			n += r.Received
		}
	}
	return n, nil
}

// attempts returns the attempts that a backend server received. A plain service
// counts those that ran.
func attempts(ctx context.Context, s demo.BackendServer) (int, error) {
	if strings.HasPrefix(s.ID, "engine-") {
		return received(ctx, s, "")
	}
	data, err := os.ReadFile(s.RunLog)
	if err != nil {
		return 0, fmt.Errorf("runs of %s: %w", s.ID, err)
	}
	return bytes.Count(data, []byte("\n")), nil
}

// logDirectory is where a cell's processes log.
func logDirectory(base, cell string) string {
	return filepath.Join(base, cell)
}
