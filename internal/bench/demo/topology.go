package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// Names used by the demo's catalogue.
const (
	languageEntry = "stetec-ai"
	serviceEntry  = "kalendar-app"
	oldVersion    = "2026-11"
	newVersion    = "2026-12"
	region        = "morava"
	demoToken     = "demo-token"
)

// Layout says what runs where.
type Layout struct {
	// Binaries is the directory of the built programs, Logs that for the
	// output of the processes.
	Binaries, Logs string
	Region         string
	FailureDomains []string
	// Entries, Engines and Services are numbers per failure domain.
	Entries, Engines, Services int
	// LanguageEntry and ServiceEntry are the catalogue entries of the engines
	// and of the plain services.
	LanguageEntry, ServiceEntry string
	// Versions are those that the engines have loaded.
	Versions []string
	// PlatformArgs, EngineArgs and ServiceArgs are further arguments of the
	// fakes.
	PlatformArgs, EngineArgs, ServiceArgs []string
	// RunLogs makes the backend servers log their runs, see RunLog.
	RunLogs bool
}

// demoLayout is the layout of the demo.
func demoLayout(c Config) Layout {
	return Layout{
		Binaries: c.Binaries, Logs: c.Logs, Region: region, FailureDomains: []string{"brno-a", "olomouc"},
		Entries: 2, Engines: 2, Services: 1, LanguageEntry: languageEntry, ServiceEntry: serviceEntry,
		Versions: []string{oldVersion, newVersion}, EngineArgs: []string{"--between-tokens", "20ms"},
	}
}

// EntryInstance is a started instance of `wasabiworks serve`.
type EntryInstance struct {
	ID, FailureDomain string
	// Client, Peer and Operations are addresses.
	Client, Peer, Operations string
	Process                  *Process
}

// BackendServer is a started stand-in.
type BackendServer struct {
	ID, FailureDomain, Address string
	// RunLog is the file with one line per run, or empty.
	RunLog  string
	Process *Process
}

// Topology is everything that runs.
type Topology struct {
	Layout   Layout
	Platform string
	Engines  []BackendServer
	Services []BackendServer
	Entries  []EntryInstance

	platform *Process
}

// Start starts the platform, the backend servers and the entry instances. Stop
// must be called even if it fails.
func (t *Topology) Start(ctx context.Context) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	t.Platform = address
	args := append([]string{"platform", "--listen", address}, t.Layout.PlatformArgs...)
	if t.platform, err = startProcess(t.Layout.Binaries, t.Layout.Logs, "platform", "standin", args...); err != nil {
		return err
	}
	if err := waitFor(ctx, "http://"+address+"/calls"); err != nil {
		return err
	}
	for _, domain := range t.Layout.FailureDomains {
		if err := t.startDomain(domain); err != nil {
			return err
		}
	}
	return nil
}

func (t *Topology) startDomain(domain string) error {
	for i := range t.Layout.Engines {
		if err := t.startEngine(domain, i); err != nil {
			return err
		}
	}
	for i := range t.Layout.Services {
		if err := t.startService(domain, i); err != nil {
			return err
		}
	}
	for i := range t.Layout.Entries {
		if _, err := t.StartEntry(domain, i); err != nil {
			return err
		}
	}
	return nil
}

func (t *Topology) startEngine(domain string, i int) error {
	args := []string{"--entry", t.Layout.LanguageEntry}
	for _, v := range t.Layout.Versions {
		args = append(args, "--version", v)
	}
	s, err := t.startBackend("engine", domain, i, append(args, t.Layout.EngineArgs...))
	if err != nil {
		return err
	}
	t.Engines = append(t.Engines, s)
	return nil
}

func (t *Topology) startService(domain string, i int) error {
	s, err := t.startBackend("service", domain, i, append([]string{"--entry", t.Layout.ServiceEntry}, t.Layout.ServiceArgs...))
	if err != nil {
		return err
	}
	t.Services = append(t.Services, s)
	return nil
}

func (t *Topology) startBackend(fake, domain string, i int, args []string) (BackendServer, error) {
	s := BackendServer{ID: fmt.Sprintf("%s-%s-%d", fake, domain, i), FailureDomain: domain}
	var err error
	if s.Address, err = freeAddress(); err != nil {
		return s, err
	}
	all := []string{
		fake, "--id", s.ID, "--listen", s.Address, "--platform", t.Platform,
		"--region", t.Layout.Region, "--failure-domain", domain,
	}
	if t.Layout.RunLogs {
		s.RunLog = filepath.Join(t.Layout.Logs, s.ID+".runs")
		all = append(all, "--run-log", s.RunLog)
	}
	s.Process, err = startProcess(t.Layout.Binaries, t.Layout.Logs, s.ID, "standin", append(all, args...)...)
	return s, err
}

// StartEntry starts entry instance i of a failure domain. An earlier one with
// the same ID is replaced in Entries.
func (t *Topology) StartEntry(domain string, i int) (EntryInstance, error) {
	e := EntryInstance{ID: fmt.Sprintf("entry-%s-%d", domain, i), FailureDomain: domain}
	for _, address := range []*string{&e.Client, &e.Peer, &e.Operations} {
		var err error
		if *address, err = freeAddress(); err != nil {
			return e, err
		}
	}
	var err error
	e.Process, err = startProcess(t.Layout.Binaries, t.Layout.Logs, e.ID, "wasabiworks", "serve",
		"--instance", e.ID, "--region", t.Layout.Region, "--failure-domain", domain,
		"--client-address", e.Client, "--peer-address", e.Peer, "--operations-address", e.Operations,
		"--platform", t.Platform)
	if err != nil {
		return e, err
	}
	if at := slices.IndexFunc(t.Entries, func(o EntryInstance) bool { return o.ID == e.ID }); at >= 0 {
		t.Entries[at] = e
	} else {
		t.Entries = append(t.Entries, e)
	}
	return e, nil
}

// ApplyCatalogue writes a catalogue file and applies it with the command that
// operators use. It returns the command's output.
func (t *Topology) ApplyCatalogue(ctx context.Context, author, yaml string, args ...string) (string, error) {
	file := filepath.Join(t.Layout.Logs, "catalogue-"+author+".yaml")
	if err := os.WriteFile(file, []byte(yaml), 0o600); err != nil {
		return "", fmt.Errorf("write the catalogue: %w", err)
	}
	all := append([]string{"catalogue", "apply", "--platform", t.Platform, "--author", author}, args...)
	return RunProgram(ctx, t.Layout.Binaries, "wasabiworks", append(all, file)...)
}

// Ready waits until every entry instance accepts requests and knows all
// backend servers, which the instance list names with a lag.
func (t *Topology) Ready(ctx context.Context) error {
	for _, e := range t.Entries {
		if err := e.Ready(ctx); err != nil {
			return err
		}
		if err := t.knowsBackends(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

// Ready waits until the instance accepts requests. It fails at once if the
// process has ended.
func (e EntryInstance) Ready(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-e.Process.Ended():
			cancel(fmt.Errorf("%s ended: %w", e.ID, e.Process.err))
		case <-ctx.Done():
		}
	}()
	if err := waitFor(ctx, "http://"+e.Operations+"/readyz"); err != nil {
		return fmt.Errorf("%s: %w: %w", e.ID, err, context.Cause(ctx))
	}
	return nil
}

func (t *Topology) knowsBackends(ctx context.Context, e EntryInstance) error {
	return Poll(ctx, func() error {
		var s struct {
			Backends []json.RawMessage `json:"backends"`
		}
		if err := e.Status(ctx, &s); err != nil {
			return err
		}
		if got, want := len(s.Backends), len(t.Engines)+len(t.Services); got != want {
			return fmt.Errorf("%s knows %d backend servers, want %d", e.ID, got, want)
		}
		return nil
	})
}

// Status reads the status of an entry instance.
func (e EntryInstance) Status(ctx context.Context, into any) error {
	data, err := Fetch(ctx, "http://"+e.Operations+"/status")
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("status of %s: %w", e.ID, err)
	}
	return nil
}

// SignalPlatform sends a signal to the platform fake.
func (t *Topology) SignalPlatform(s syscall.Signal) error {
	return t.platform.Signal(s)
}

// stopTime bounds the stop of all processes.
const stopTime = 15 * time.Second

// Stop stops the entry instances first, then everything else, and returns what
// did not stop cleanly. A process that had ended before must have done so with
// status 0.
func (t *Topology) Stop() []error {
	var faults []error
	deadline := time.Now().Add(stopTime)
	groups := make([][]*Process, 3)
	for _, e := range t.Entries {
		groups[0] = append(groups[0], e.Process)
	}
	for _, b := range slices.Concat(t.Engines, t.Services) {
		groups[1] = append(groups[1], b.Process)
	}
	if t.platform != nil {
		groups[2] = append(groups[2], t.platform)
	}
	for _, group := range groups {
		results := make(chan error, len(group))
		for _, p := range group {
			go func() { results <- p.Stop(deadline) }()
		}
		for range group {
			if err := <-results; err != nil {
				faults = append(faults, err)
			}
		}
	}
	return faults
}
