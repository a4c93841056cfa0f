package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
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

var failureDomains = []string{"brno-a", "olomouc"}

// entryInstance is a started instance of `wasabiworks serve`.
type entryInstance struct {
	id                       string
	client, peer, operations string
	process                  *process
}

// backendServer is a started stand-in.
type backendServer struct {
	id, address string
	process     *process
}

// topology is everything that runs.
type topology struct {
	config   Config
	platform string
	others   []*process
	engines  []backendServer
	services []backendServer
	entries  []entryInstance
}

// start starts the platform, the backend servers and the entry instances.
func (t *topology) start(ctx context.Context) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	t.platform = address
	p, err := startProcess(t.config.Binaries, t.config.Logs, "platform", "standin", "platform", "--listen", address)
	if err != nil {
		return err
	}
	t.others = append(t.others, p)
	if err := waitFor(ctx, "http://"+address+"/calls"); err != nil {
		return err
	}
	for _, domain := range failureDomains {
		for i := range 2 {
			if err := t.startEngine(domain, i); err != nil {
				return err
			}
		}
		if err := t.startService(domain); err != nil {
			return err
		}
		for i := range 2 {
			if err := t.startEntry(domain, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (t *topology) startEngine(domain string, i int) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	id := fmt.Sprintf("engine-%s-%d", domain, i)
	p, err := startProcess(t.config.Binaries, t.config.Logs, id, "standin", "engine",
		"--id", id, "--listen", address, "--platform", t.platform, "--entry", languageEntry,
		"--region", region, "--failure-domain", domain, "--version", oldVersion, "--version", newVersion, "--between-tokens", "20ms")
	if err != nil {
		return err
	}
	t.engines = append(t.engines, backendServer{id, address, p})
	return nil
}

func (t *topology) startService(domain string) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	id := "service-" + domain
	p, err := startProcess(t.config.Binaries, t.config.Logs, id, "standin", "service",
		"--id", id, "--listen", address, "--platform", t.platform, "--entry", serviceEntry,
		"--region", region, "--failure-domain", domain)
	if err != nil {
		return err
	}
	t.services = append(t.services, backendServer{id, address, p})
	return nil
}

func (t *topology) startEntry(domain string, i int) error {
	e := entryInstance{id: fmt.Sprintf("entry-%s-%d", domain, i)}
	for _, address := range []*string{&e.client, &e.peer, &e.operations} {
		var err error
		if *address, err = freeAddress(); err != nil {
			return err
		}
	}
	var err error
	e.process, err = startProcess(t.config.Binaries, t.config.Logs, e.id, "wasabiworks", "serve",
		"--instance", e.id, "--region", region, "--failure-domain", domain,
		"--client-address", e.client, "--peer-address", e.peer, "--operations-address", e.operations,
		"--platform", t.platform)
	if err != nil {
		return err
	}
	t.entries = append(t.entries, e)
	return nil
}

// applyCatalogue writes a catalogue file and applies it with the command that
// operators use.
func (t *topology) applyCatalogue(ctx context.Context, version string, basedOn int64, moveBy time.Time) (string, error) {
	file := filepath.Join(t.config.Logs, "catalogue.yaml")
	if err := os.WriteFile(file, []byte(catalogueYAML(version, basedOn, moveBy)), 0o600); err != nil {
		return "", fmt.Errorf("write the catalogue: %w", err)
	}
	return runProgram(ctx, t.config.Binaries, "wasabiworks", "catalogue", "apply", "--platform", t.platform,
		"--author", "demo", "--wait", file)
}

// ready waits until every entry instance accepts requests and knows all
// backend servers, which the instance list names with a lag.
func (t *topology) ready(ctx context.Context) error {
	for _, e := range t.entries {
		if err := waitFor(ctx, "http://"+e.operations+"/readyz"); err != nil {
			return err
		}
		if err := t.knowsBackends(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

func (t *topology) knowsBackends(ctx context.Context, e entryInstance) error {
	return poll(ctx, func() error {
		var s struct {
			Backends []json.RawMessage `json:"backends"`
		}
		if err := e.status(ctx, &s); err != nil {
			return err
		}
		if got, want := len(s.Backends), len(t.engines)+len(t.services); got != want {
			return fmt.Errorf("%s knows %d backend servers, want %d", e.id, got, want)
		}
		return nil
	})
}

// status reads the status of an entry instance.
func (e entryInstance) status(ctx context.Context, into any) error {
	data, err := fetch(ctx, "http://"+e.operations+"/status")
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("status of %s: %w", e.id, err)
	}
	return nil
}

// stop stops the entry instances first, then everything else, and returns what
// did not stop cleanly.
func (t *topology) stop() []error {
	var faults []error
	deadline := time.Now().Add(15 * time.Second)
	groups := [][]*process{{}, {}}
	for _, e := range t.entries {
		groups[0] = append(groups[0], e.process)
	}
	for _, b := range append(append([]backendServer{}, t.engines...), t.services...) {
		groups[1] = append(groups[1], b.process)
	}
	groups = append(groups, t.others)
	for _, group := range groups {
		results := make(chan error, len(group))
		for _, p := range group {
			go func() { results <- p.stop(deadline) }()
		}
		for range group {
			if err := <-results; err != nil {
				faults = append(faults, err)
			}
		}
	}
	return faults
}
