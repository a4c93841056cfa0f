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

// testSnapshot has one workspace. Its token hash is the SHA-256 of "secret", the
// bearer token that send uses.
var testSnapshot = catalogue.NewSnapshot(1, &catalogue.Catalogue{
	Workspaces: []catalogue.Workspace{{Name: "mill", TokenHashes: []string{"2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"}}},
	Entries: []catalogue.Entry{
		{Name: "stetec-ai", Kind: catalogue.KindLanguage, Version: "v1"},
		{Name: "kalendar-app", Kind: catalogue.KindService, Version: "v1", Repeatable: []string{"POST /quotes"}},
	},
})

// fakeInstance stands in for the rest of an instance. It admits every request.
type fakeInstance struct {
	// retryBudgetsEmpty makes Withdraw refuse every retry.
	retryBudgetsEmpty bool
	mu                sync.Mutex
	entries           map[journal.Key]*journalEntry
	journalDown       bool
	completed         chan struct{}
	// foundPending receives a value for each Reserve that returns Pending.
	foundPending chan struct{}
	calls        []services.CallResult
}

type journalEntry struct {
	fingerprint uint64
	attempt     string
	done        bool
	response    *journal.Response
}

func (f *fakeInstance) Snapshot() *catalogue.Snapshot { return testSnapshot }
func (f *fakeInstance) Admit(string, *catalogue.Entry, time.Time) (func(), error) {
	return func() {}, nil
}
func (f *fakeInstance) Version(*catalogue.Entry, uint64) (string, string, uint8) { return "v1", "", 0 }
func (f *fakeInstance) Deposit(string)                                           {}
func (f *fakeInstance) Withdraw(string) bool                                     { return !f.retryBudgetsEmpty }
func (f *fakeInstance) AssignedServers(_ uint64, servers []string) []string      { return servers }

func (f *fakeInstance) Verdict(uint64) openai.Verdict  { return openai.VerdictClear }
func (f *fakeInstance) Crash(string, string, []uint64) {}
func (f *fakeInstance) Completed(uint64)               {}
func (f *fakeInstance) Attempt(*openai.AttemptRecord)  {}
func (f *fakeInstance) Request(*openai.RequestRecord)  {}
func (f *fakeInstance) Call(c *services.CallResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, *c)
}

func (f *fakeInstance) Reserve(_ context.Context, key journal.Key, fp uint64, attempt string) (journal.Status, *journal.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.journalDown {
		return journal.Unavailable, nil, nil
	}
	e, ok := f.entries[key]
	switch {
	case !ok:
		if f.entries == nil {
			f.entries = make(map[journal.Key]*journalEntry)
		}
		f.entries[key] = &journalEntry{fingerprint: fp, attempt: attempt}
		return journal.Reserved, nil, nil
	case e.fingerprint != fp:
		return journal.Mismatch, nil, nil
	case !e.done:
		f.foundPending <- struct{}{}
		return journal.Pending, nil, nil
	case e.response == nil:
		return journal.DoneWithoutResponse, nil, nil
	}
	return journal.Done, e.response, nil
}

func (f *fakeInstance) Complete(_ context.Context, key journal.Key, attempt string, r *journal.Response) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e, ok := f.entries[key]; !ok || e.attempt != attempt {
		return fmt.Errorf("attempt %s holds no reservation", attempt)
	}
	f.entries[key].done, f.entries[key].response = true, r
	if f.completed != nil {
		close(f.completed)
	}
	return nil
}

func (f *fakeInstance) NotRun(_ context.Context, key journal.Key, attempt string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e, ok := f.entries[key]; ok && e.attempt == attempt {
		delete(f.entries, key)
	}
	return nil
}

// firstFit is a routing policy that picks the first server not excluded.
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

// newSystem starts a server for both kinds of entries, with backend servers at
// addresses, and returns its URL and fake instance.
func newSystem(t *testing.T, addresses ...string) (string, *fakeInstance) {
	return newSystemWithPendingTimeout(t, 100*time.Millisecond, addresses...)
}

// newSystemWithPendingTimeout is like newSystem, with a bound on the wait for a
// pending call.
func newSystemWithPendingTimeout(t *testing.T, pendingTimeout time.Duration, addresses ...string) (string, *fakeInstance) {
	instance := &fakeInstance{foundPending: make(chan struct{}, 1024)}
	f := fleet.New(fleet.Config{})
	var list []fleet.ListedServer
	for i, a := range addresses {
		list = append(list, fleet.ListedServer{ID: fmt.Sprint("e", i), Address: a, Entry: "stetec-ai"}, fleet.ListedServer{ID: fmt.Sprint("s", i), Address: a, Entry: "kalendar-app"})
	}
	f.SetInstances(list)
	serviceClient, engineClient := service.New(service.Config{ResponseTimeout: 2 * time.Second}), engine.New(engine.Config{})
	completions := openai.New(openai.Config{Node: "n", Snapshots: instance, Limiter: instance, Versions: instance, Router: firstFit{}, Fleet: f, Engine: engineClient,
		Budget: instance, Poison: instance, Recorder: instance, Random: rand.Uint64, ServerWait: 20 * time.Millisecond})
	plain := services.New(services.Config{Node: "n", Snapshots: instance, Limiter: instance, Versions: instance, Router: firstFit{}, Fleet: f, Client: serviceClient,
		Budget: instance, Journal: instance, Recorder: instance, Random: rand.Uint64, MaxResponse: 1 << 20, PendingTimeout: pendingTimeout})
	mux := http.NewServeMux()
	mux.Handle("/v1/services/", plain)
	mux.Handle("/v1/", completions)
	s := httptest.NewServer(mux)
	t.Cleanup(func() {
		s.Close()
		completions.Close()
		serviceClient.Close()
		engineClient.Close()
	})
	return s.URL, instance
}
