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
	// processTimeout limits the start of all processes, the planned shutdown of
	// one, the wait until the instance list is complete and a poison request.
	processTimeout = 30 * time.Second
	// requestTimeout is longer than every freeze and outage.
	requestTimeout = 40 * time.Second
	// moveTime is slightly longer than the shortest allowed move, 10 s.
	moveTime = 10500 * time.Millisecond
	// loadTime is the duration of the load unless the cell sets another.
	loadTime = 12 * time.Second
	// moveAt and faultAt are the times after the start of the load at which the
	// move is applied and the cell's script is called.
	moveAt  = 500 * time.Millisecond
	faultAt = 4 * time.Second
	// baseRequestsPerSecond is the limit of each workspace in the first revision.
	baseRequestsPerSecond = 1000
	// betweenTokens is large enough that the longest streams take longer than
	// the notice of a reclaim.
	betweenTokens = "10ms"
	// fakeTimeout limits a control request to a fake and the wait until the process
	// of a reclaimed fake has ended.
	fakeTimeout = 5 * time.Second
)

// appliedRevision is a revision and the time at which its apply returned.
type appliedRevision struct {
	revision int64
	at       time.Time
}

// trial is one run of a cell.
type trial struct {
	cell     *Cell
	config   Config
	mix      load.Mix
	topology *demo.Topology
	sampler  *statusSampler
	random   *rand.Rand
	start    time.Time
	report   *load.Report

	mu               sync.Mutex
	settings         settings
	revision         int64
	appliedRevisions []appliedRevision
	deadline         time.Time
	// killed are the client addresses of the killed entry instances.
	killed   []string
	findings map[Guarantee]*finding
	notes    []string
}

func newTrial(c *Cell, config Config) (*trial, error) {
	m, err := workloadMix()
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
		cell: c, config: config, mix: m, sampler: newStatusSampler(), random: rand.New(rand.NewPCG(config.Seed, 1)),
		settings: settings{version: oldVersion, requestsPerSecond: baseRequestsPerSecond},
		findings: make(map[Guarantee]*finding),
		topology: &demo.Topology{Layout: demo.Layout{
			Binaries: config.Binaries, Logs: config.Logs, Region: region, FailureDomains: failureDomains,
			EntryInstancesPerDomain: 2, EnginesPerDomain: 2, ServicesPerDomain: 1, LanguageEntry: languageEntry, ServiceEntry: serviceEntry,
			Versions: []string{oldVersion, newVersion}, RunLogs: true,
			PlatformArgs: c.platformArgs, EngineArgs: slices.Concat([]string{"--reclaimable", "--between-tokens", betweenTokens}, c.engineArgs),
			ServiceArgs: []string{"--reclaimable"},
		}},
	}, nil
}

// run starts the system, runs the load and the cell's script, makes the checks
// and stops the system.
func (t *trial) run(ctx context.Context) error {
	samplerCtx, stop := context.WithCancel(ctx)
	defer func() {
		stop()
		t.sampler.wg.Wait()
	}()
	err := t.startSystem(ctx, samplerCtx)
	if err == nil {
		err = t.runLoadAndScript(ctx, samplerCtx)
	}
	if err == nil {
		t.checkAll(ctx)
	}
	for _, stopErr := range t.topology.Stop() {
		t.check(PlannedShutdown, false, "shutdown after the load: %v", stopErr)
	}
	return err
}

func (t *trial) startSystem(ctx, samplerCtx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, processTimeout)
	defer cancel()
	if err := t.topology.Start(ctx); err != nil {
		return err
	}
	if out, err := t.apply(ctx, "first", func(*settings) {}); err != nil {
		return fmt.Errorf("first catalogue: %w: %s", err, out)
	}
	if err := t.topology.AwaitReady(ctx); err != nil {
		return err
	}
	for _, e := range t.topology.EntryInstances {
		t.sampler.addInstance(samplerCtx, e)
	}
	return nil
}

// runLoadAndScript runs the load and the cell's script at the same time.
func (t *trial) runLoadAndScript(ctx, samplerCtx context.Context) error {
	duration := t.cell.loadTime
	if duration == 0 {
		duration = loadTime
	}
	config := load.Config{
		Mix: t.mix, Seed: t.config.Seed, KeyPrefix: fmt.Sprintf("%s-%d", t.cell.Name, t.config.Seed), Rate: t.config.Rate,
		Duration: duration, Timeout: requestTimeout, Platform: t.topology.PlatformAddress,
	}
	for _, s := range t.topology.Services {
		config.ServiceRunLogs = append(config.ServiceRunLogs, s.RunLog)
	}
	for _, s := range t.topology.Engines {
		config.EngineRunLogs = append(config.EngineRunLogs, s.RunLog)
	}
	for _, file := range slices.Concat(config.ServiceRunLogs, config.EngineRunLogs) {
		if _, err := os.Stat(file); err != nil {
			return fmt.Errorf("check the run log: %w", err)
		}
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	var loadErr error
	t.start = time.Now()
	wg.Go(func() { t.report, loadErr = load.Run(ctx, config) })
	err := t.runScript(ctx, samplerCtx)
	wg.Wait()
	return errors.Join(err, loadErr)
}

func (t *trial) runScript(ctx, samplerCtx context.Context) error {
	if !t.cell.noMove {
		t.waitUntil(moveAt)
		out, err := t.apply(ctx, "mover", func(s *settings) {
			s.version, s.moveBy = newVersion, time.Now().Add(moveTime)
			t.deadline = s.moveBy
		})
		if err != nil {
			return fmt.Errorf("apply the move: %w: %s", err, out)
		}
	}
	t.waitUntil(faultAt)
	if t.cell.script == nil {
		return nil
	}
	return t.cell.script(ctx, samplerCtx, t)
}

// waitUntil waits until d after the start of the load.
func (t *trial) waitUntil(d time.Duration) {
	time.Sleep(time.Until(t.start.Add(d)))
}

var revisionPattern = regexp.MustCompile(`applied at revision (\d+)`)

// apply changes the catalogue with `wasabiworks catalogue apply` and returns the
// output of the command.
func (t *trial) apply(ctx context.Context, author string, change func(*settings), args ...string) (string, error) {
	t.mu.Lock()
	next, base := t.settings, t.revision
	t.mu.Unlock()
	change(&next)
	out, err := t.topology.ApplyCatalogue(ctx, author, next.yaml(base, t.mix.Workspaces), args...)
	if err != nil {
		return out, err
	}
	m := revisionPattern.FindStringSubmatch(out)
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
	t.appliedRevisions = append(t.appliedRevisions, appliedRevision{revision, time.Now()})
	return out, nil
}

// applyNewRevision applies a new revision of the catalogue and checks that the
// apply succeeds.
func (t *trial) applyNewRevision(ctx context.Context, author string) {
	out, err := t.apply(ctx, author, func(s *settings) { s.requestsPerSecond++ })
	t.check(RevisionEffective, err == nil, "apply by %s: %v: %s", author, err, out)
}

// inject injects a fault into a fake for the given duration; 0 means until the
// fault is cleared.
func (t *trial) inject(ctx context.Context, address string, f fault.Fault, duration time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, fakeTimeout)
	defer cancel()
	if duration > 0 {
		f.Until = time.Now().Add(duration)
	}
	if err := fault.Post(ctx, address, f); err != nil {
		return fmt.Errorf("inject %s: %w", f.Kind, err)
	}
	return nil
}

// check records that a guarantee was checked and, unless ok, a violation.
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
		f.violations = append(f.violations, strings.TrimSpace(fmt.Sprintf(format, args...)))
	}
}

func (t *trial) note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notes = append(t.notes, fmt.Sprintf(format, args...))
}

func (t *trial) randomEntry() demo.EntryInstance {
	return t.topology.EntryInstances[t.random.IntN(len(t.topology.EntryInstances))]
}

func (t *trial) randomEngine() demo.BackendServer {
	return t.topology.Engines[t.random.IntN(len(t.topology.Engines))]
}

// killEntry kills an entry instance and removes it from the topology.
func (t *trial) killEntry(e demo.EntryInstance) {
	t.sampler.addAbsence(e.ID, time.Now(), time.Time{})
	t.killed = append(t.killed, e.ClientAddress)
	e.Process.Kill()
	t.topology.EntryInstances = slices.DeleteFunc(t.topology.EntryInstances, func(o demo.EntryInstance) bool { return o.ID == e.ID })
}

// removeBackend kills a backend server, or waits until a reclaimed one has ended,
// and removes it from the topology.
func (t *trial) removeBackend(s demo.BackendServer, kill bool) error {
	if kill {
		s.Process.Kill()
	}
	select {
	case <-s.Process.Ended():
	case <-time.After(fakeTimeout):
		s.Process.Kill()
		return fmt.Errorf("%s did not exit when it was reclaimed", s.ID)
	}
	same := func(o demo.BackendServer) bool { return o.ID == s.ID }
	t.topology.Engines = slices.DeleteFunc(t.topology.Engines, same)
	t.topology.Services = slices.DeleteFunc(t.topology.Services, same)
	return nil
}

// freeze stops processes with SIGSTOP for the given duration.
func (t *trial) freeze(duration time.Duration, processes ...*demo.Process) error {
	var errs []error
	for _, p := range processes {
		errs = append(errs, p.Signal(syscall.SIGSTOP))
	}
	time.Sleep(duration)
	for _, p := range processes {
		errs = append(errs, p.Signal(syscall.SIGCONT))
	}
	return errors.Join(errs...)
}

// freezeEntries stops entry instances with SIGSTOP for the given duration.
func (t *trial) freezeEntries(duration time.Duration, entries ...demo.EntryInstance) error {
	var processes []*demo.Process
	now := time.Now()
	for _, e := range entries {
		t.sampler.addAbsence(e.ID, now, now.Add(duration))
		processes = append(processes, e.Process)
	}
	return t.freeze(duration, processes...)
}

// stopEntry shuts down an entry instance with SIGTERM and checks that it exits
// with status 0.
func (t *trial) stopEntry(e demo.EntryInstance) {
	t.sampler.addAbsence(e.ID, time.Now(), time.Time{})
	began := time.Now()
	err := e.Process.Stop(time.Now().Add(processTimeout))
	t.check(PlannedShutdown, err == nil, "planned shutdown: %v", err)
	t.note("%s stopped in %v", e.ID, time.Since(began).Round(10*time.Millisecond))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.topology.EntryInstances = slices.DeleteFunc(slices.Clone(t.topology.EntryInstances), func(o demo.EntryInstance) bool { return o.ID == e.ID })
}

// countEngineAttempts returns the number of attempts that an engine received for
// a version, or for all versions if version is empty.
func countEngineAttempts(ctx context.Context, s demo.BackendServer, version string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, fakeTimeout)
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
		return 0, fmt.Errorf("decode the runs of %s: %w", s.ID, err)
	}
	n := 0
	for _, r := range log.Runs {
		if version == "" || r.Version == version {
			n += r.Received
		}
	}
	return n, nil
}

// countAttempts returns the number of attempts that a backend server received,
// or that ran in the case of a plain service.
func countAttempts(ctx context.Context, s demo.BackendServer) (int, error) {
	if strings.HasPrefix(s.ID, "engine-") {
		return countEngineAttempts(ctx, s, "")
	}
	data, err := os.ReadFile(s.RunLog)
	if err != nil {
		return 0, fmt.Errorf("read the run log of %s: %w", s.ID, err)
	}
	return bytes.Count(data, []byte("\n")), nil
}

// logDirectory returns the directory for the logs of a cell's processes.
func logDirectory(base, cell string) string {
	return filepath.Join(base, cell)
}
