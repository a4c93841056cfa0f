package services_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/engine"
	"wasabiworks.example/wasabiworks/internal/backend/fleet"
	"wasabiworks.example/wasabiworks/internal/backend/service"
	"wasabiworks.example/wasabiworks/internal/caller/openai"
	"wasabiworks.example/wasabiworks/internal/caller/services"
	"wasabiworks.example/wasabiworks/internal/decide/journal"
	"wasabiworks.example/wasabiworks/internal/decide/route"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
)

var testSnapshot = catalogue.NewSnapshot(1, &catalogue.Catalogue{
	Workspaces: []catalogue.Workspace{{Name: "mill", TokenHashes: []string{"2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"}}},
	Entries: []catalogue.Entry{
		{Name: "stetec-ai", Kind: catalogue.KindLanguage, Version: "v1"},
		{Name: "kalendar-app", Kind: catalogue.KindService, Version: "v1", Repeatable: []string{"POST /quotes"}},
	},
})

// deps stands in for the rest of an instance, with open limits.
type deps struct {
	// broke is true if the retry budgets are empty.
	broke     bool
	mu        sync.Mutex
	entries   map[journal.Key]*journalEntry
	down      bool
	completed chan struct{}
	// pending gets a value for each reservation that found a pending call.
	pending chan struct{}
	calls   []services.Call
}

type journalEntry struct {
	fingerprint uint64
	attempt     string
	done        bool
	response    *journal.Response
}

func (d *deps) Snapshot() *catalogue.Snapshot { return testSnapshot }
func (d *deps) Admit(string, *catalogue.Entry, time.Time) (func(), error) {
	return func() {}, nil
}
func (d *deps) Version(*catalogue.Entry, uint64) (string, string, uint8) { return "v1", "", 0 }
func (d *deps) Deposit(string)                                           {}
func (d *deps) Withdraw(string) bool                                     { return !d.broke }
func (d *deps) Part(_ uint64, servers []string) []string                 { return servers }

func (d *deps) Verdict(uint64) openai.Verdict  { return openai.Clear }
func (d *deps) Crash(string, string, []uint64) {}
func (d *deps) Attempt(*openai.Attempt)        {}
func (d *deps) Request(*openai.Request)        {}
func (d *deps) Call(c *services.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, *c)
}

func (d *deps) Reserve(_ context.Context, key journal.Key, fp uint64, attempt string) (journal.Status, *journal.Response, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return journal.Unavailable, nil, nil
	}
	e, ok := d.entries[key]
	switch {
	case !ok:
		if d.entries == nil {
			d.entries = make(map[journal.Key]*journalEntry)
		}
		d.entries[key] = &journalEntry{fingerprint: fp, attempt: attempt}
		return journal.Reserved, nil, nil
	case e.fingerprint != fp:
		return journal.Mismatch, nil, nil
	case !e.done:
		d.pending <- struct{}{}
		return journal.Pending, nil, nil
	case e.response == nil:
		return journal.DoneWithoutResponse, nil, nil
	}
	return journal.Done, e.response, nil
}

func (d *deps) Complete(_ context.Context, key journal.Key, attempt string, r *journal.Response) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.entries[key]; !ok || e.attempt != attempt {
		return fmt.Errorf("attempt %s holds no reservation", attempt)
	}
	d.entries[key].done, d.entries[key].response = true, r
	if d.completed != nil {
		close(d.completed)
	}
	return nil
}

func (d *deps) NotRun(_ context.Context, key journal.Key, attempt string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.entries[key]; ok && e.attempt == attempt {
		delete(d.entries, key)
	}
	return nil
}

// firstFit picks the first server that is not excluded.
type firstFit struct{}

func (firstFit) Pick(bs []route.Backend, r route.Request, _ time.Time, _ uint64) (int, bool) {
next:
	for i := range bs {
		for _, id := range r.Exclude {
			if id == bs[i].ID {
				continue next
			}
		}
		return i, true
	}
	return 0, false
}

// newSystem serves both kinds of entries from backend servers at addresses.
func newSystem(t *testing.T, addresses ...string) (string, *deps) {
	return newPatientSystem(t, 100*time.Millisecond, addresses...)
}

// newPatientSystem is newSystem with a bound on the wait for a pending call.
func newPatientSystem(t *testing.T, patience time.Duration, addresses ...string) (string, *deps) {
	d := &deps{pending: make(chan struct{}, 1024)}
	f := fleet.New(fleet.Config{})
	var list []fleet.Instance
	for i, a := range addresses {
		list = append(list, fleet.Instance{ID: fmt.Sprint("e", i), Address: a, Entry: "stetec-ai"}, fleet.Instance{ID: fmt.Sprint("s", i), Address: a, Entry: "kalendar-app"})
	}
	f.SetInstances(list)
	sc, ec := service.New(service.Config{ResponseTimeout: 2 * time.Second}), engine.New(engine.Config{})
	completions := openai.New(openai.Config{Node: "n", Snapshots: d, Limiter: d, Versions: d, Router: firstFit{}, Fleet: f, Engine: ec,
		Budget: d, Poison: d, Recorder: d, Random: rand.Uint64, Patience: 20 * time.Millisecond})
	plain := services.New(services.Config{Node: "n", Snapshots: d, Limiter: d, Versions: d, Router: firstFit{}, Fleet: f, Client: sc,
		Budget: d, Journal: d, Recorder: d, Random: rand.Uint64, MaxResponse: 1 << 20, PendingPatience: patience})
	mux := http.NewServeMux()
	mux.Handle("/v1/services/", plain)
	mux.Handle("/v1/", completions)
	s := httptest.NewServer(mux)
	t.Cleanup(func() {
		s.Close()
		completions.Close()
		sc.Close()
		ec.Close()
	})
	return s.URL, d
}
