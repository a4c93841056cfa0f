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

// Layout describes the processes of a topology.
type Layout struct {
	// Binaries is the directory of the built programs, Logs the directory for
	// the output of the processes.
	Binaries, Logs string
	Region         string
	FailureDomains []string
	// EntryInstancesPerDomain, EnginesPerDomain and ServicesPerDomain are the
	// numbers of processes per failure domain.
	EntryInstancesPerDomain, EnginesPerDomain, ServicesPerDomain int
	// LanguageEntry and ServiceEntry are the catalogue entries of the engines
	// and of the plain services.
	LanguageEntry, ServiceEntry string
	// Versions are the versions that the engines have loaded.
	Versions []string
	// PlatformArgs, EngineArgs and ServiceArgs are additional command line
	// arguments of the fakes.
	PlatformArgs, EngineArgs, ServiceArgs []string
	// RunLogs enables the run logs of the backend servers, see
	// BackendServer.RunLog.
	RunLogs bool
}

// demoLayout is the layout of the demo.
func demoLayout(c Config) Layout {
	return Layout{
		Binaries: c.Binaries, Logs: c.Logs, Region: region, FailureDomains: []string{"brno-a", "olomouc"},
		EntryInstancesPerDomain: 2, EnginesPerDomain: 2, ServicesPerDomain: 1, LanguageEntry: languageEntry, ServiceEntry: serviceEntry,
		Versions: []string{oldVersion, newVersion}, EngineArgs: []string{"--between-tokens", "20ms"},
	}
}

// EntryInstance is a started instance of `wasabiworks serve`.
type EntryInstance struct {
	ID, FailureDomain                             string
	ClientAddress, PeerAddress, OperationsAddress string
	Process                                       *Process
}

// BackendServer is a started fake engine or fake plain service.
type BackendServer struct {
	ID, FailureDomain, Address string
	// RunLog is the path of a file with one line per run, or empty.
	RunLog  string
	Process *Process
}

// Topology is the set of running processes.
type Topology struct {
	Layout          Layout
	PlatformAddress string
	Engines         []BackendServer
	Services        []BackendServer
	EntryInstances  []EntryInstance

	platformProcess *Process
}

// Start starts the platform fake, the backend servers and the entry instances.
// The caller must call Stop even if Start fails.
func (t *Topology) Start(ctx context.Context) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	t.PlatformAddress = address
	args := append([]string{"platform", "--listen", address}, t.Layout.PlatformArgs...)
	if t.platformProcess, err = startProcess(t.Layout.Binaries, t.Layout.Logs, "platform", "standin", args...); err != nil {
		return err
	}
	if err := awaitOK(ctx, "http://"+address+"/calls"); err != nil {
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
	for i := range t.Layout.EnginesPerDomain {
		if err := t.startEngine(domain, i); err != nil {
			return err
		}
	}
	for i := range t.Layout.ServicesPerDomain {
		if err := t.startService(domain, i); err != nil {
			return err
		}
	}
	for i := range t.Layout.EntryInstancesPerDomain {
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
		fake, "--id", s.ID, "--listen", s.Address, "--platform", t.PlatformAddress,
		"--region", t.Layout.Region, "--failure-domain", domain,
	}
	if t.Layout.RunLogs {
		s.RunLog = filepath.Join(t.Layout.Logs, s.ID+".runs")
		all = append(all, "--run-log", s.RunLog)
	}
	s.Process, err = startProcess(t.Layout.Binaries, t.Layout.Logs, s.ID, "standin", append(all, args...)...)
	return s, err
}

// StartEntry starts entry instance i of a failure domain. In EntryInstances,
// it replaces an earlier instance with the same ID.
func (t *Topology) StartEntry(domain string, i int) (EntryInstance, error) {
	e := EntryInstance{ID: fmt.Sprintf("entry-%s-%d", domain, i), FailureDomain: domain}
	for _, address := range []*string{&e.ClientAddress, &e.PeerAddress, &e.OperationsAddress} {
		var err error
		if *address, err = freeAddress(); err != nil {
			return e, err
		}
	}
	var err error
	e.Process, err = startProcess(t.Layout.Binaries, t.Layout.Logs, e.ID, "wasabiworks", "serve",
		"--instance", e.ID, "--region", t.Layout.Region, "--failure-domain", domain,
		"--client-address", e.ClientAddress, "--peer-address", e.PeerAddress, "--operations-address", e.OperationsAddress,
		"--platform", t.PlatformAddress)
	if err != nil {
		return e, err
	}
	if at := slices.IndexFunc(t.EntryInstances, func(o EntryInstance) bool { return o.ID == e.ID }); at >= 0 {
		t.EntryInstances[at] = e
	} else {
		t.EntryInstances = append(t.EntryInstances, e)
	}
	return e, nil
}

// ApplyCatalogue writes a catalogue file, applies it with `wasabiworks
// catalogue apply` and returns the output of the command.
func (t *Topology) ApplyCatalogue(ctx context.Context, author, yaml string, args ...string) (string, error) {
	file := filepath.Join(t.Layout.Logs, "catalogue-"+author+".yaml")
	if err := os.WriteFile(file, []byte(yaml), 0o600); err != nil {
		return "", fmt.Errorf("write the catalogue: %w", err)
	}
	all := append([]string{"catalogue", "apply", "--platform", t.PlatformAddress, "--author", author}, args...)
	return RunProgram(ctx, t.Layout.Binaries, "wasabiworks", append(all, file)...)
}

// AwaitReady waits until every entry instance accepts requests and has discovered
// all backend servers. An instance can be ready before that, because new backend
// servers appear in the instance list with a delay.
func (t *Topology) AwaitReady(ctx context.Context) error {
	for _, e := range t.EntryInstances {
		if err := e.AwaitReady(ctx); err != nil {
			return err
		}
		if err := t.awaitBackends(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

// AwaitReady waits until the instance accepts requests. It returns an error
// immediately if the process ends.
func (e EntryInstance) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-e.Process.Ended():
			cancel(fmt.Errorf("%s ended: %w", e.ID, e.Process.err))
		case <-ctx.Done():
		}
	}()
	if err := awaitOK(ctx, "http://"+e.OperationsAddress+"/readyz"); err != nil {
		return fmt.Errorf("wait until %s is ready: %w: %w", e.ID, err, context.Cause(ctx))
	}
	return nil
}

func (t *Topology) awaitBackends(ctx context.Context, e EntryInstance) error {
	return Poll(ctx, func() error {
		var s struct {
			Backends []json.RawMessage `json:"backends"`
		}
		if err := e.Status(ctx, &s); err != nil {
			return err
		}
		if got, want := len(s.Backends), len(t.Engines)+len(t.Services); got != want {
			return fmt.Errorf("%s has discovered %d backend servers, want %d", e.ID, got, want)
		}
		return nil
	})
}

// Status gets the status of the entry instance and decodes it into v.
func (e EntryInstance) Status(ctx context.Context, v any) error {
	data, err := Fetch(ctx, "http://"+e.OperationsAddress+"/status")
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode the status of %s: %w", e.ID, err)
	}
	return nil
}

// SignalPlatform sends a signal to the platform fake.
func (t *Topology) SignalPlatform(s syscall.Signal) error {
	return t.platformProcess.Signal(s)
}

// stopTime limits the shutdown of all processes.
const stopTime = 15 * time.Second

// Stop stops the entry instances, then the backend servers, then the platform
// fake. It returns an error for each process that did not exit with status 0,
// including processes that had ended before the call.
func (t *Topology) Stop() []error {
	var errs []error
	deadline := time.Now().Add(stopTime)
	groups := make([][]*Process, 3)
	for _, e := range t.EntryInstances {
		groups[0] = append(groups[0], e.Process)
	}
	for _, b := range slices.Concat(t.Engines, t.Services) {
		groups[1] = append(groups[1], b.Process)
	}
	if t.platformProcess != nil {
		groups[2] = append(groups[2], t.platformProcess)
	}
	for _, group := range groups {
		results := make(chan error, len(group))
		for _, p := range group {
			go func() { results <- p.Stop(deadline) }()
		}
		for range group {
			if err := <-results; err != nil {
				errs = append(errs, err)
			}
		}
	}
	return errs
}
