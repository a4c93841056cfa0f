package instance

import (
	"context"
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/caller/openai"
	"wasabiworks.example/wasabiworks/internal/decide/journal"
	"wasabiworks.example/wasabiworks/internal/decide/poison"
	"wasabiworks.example/wasabiworks/internal/decide/retry"
	"wasabiworks.example/wasabiworks/internal/peer/crash"
	peerjournal "wasabiworks.example/wasabiworks/internal/peer/journal"
)

// budgets holds the retry budget of each entry. A budget for each backend
// server would be empty when it is needed: in a large fleet a node sends a
// server few requests, and those that it loses with one server need retries on
// others. Routing spreads the retries like the requests, so that each server
// receives at most a tenth extra.
type budgets struct {
	entryOf func(backend string) string
	byEntry sync.Map // entry name to *retry.Budget
}

func (b *budgets) of(backend string) *retry.Budget {
	entry := b.entryOf(backend)
	if v, ok := b.byEntry.Load(entry); ok {
		return v.(*retry.Budget)
	}
	fresh := new(retry.Budget)
	fresh.Fill()
	v, _ := b.byEntry.LoadOrStore(entry, fresh)
	return v.(*retry.Budget)
}

// Deposit records a first attempt on a backend server.
func (b *budgets) Deposit(backend string) { b.of(backend).Deposit() }

// Withdraw takes the allowance of one more attempt on a backend server.
func (b *budgets) Withdraw(backend string) bool { return b.of(backend).Withdraw() }

// poisons adapts the set of crash records to the request path.
type poisons struct {
	set    *poison.Set
	notify func()
	now    func() time.Time
}

// Verdict returns what is known about a request.
func (p poisons) Verdict(fingerprint uint64) openai.Verdict {
	switch p.set.Verdict(fingerprint, p.now()) {
	case poison.Poison:
		return openai.Poison
	case poison.Suspect:
		return openai.Suspect
	default:
		return openai.Clear
	}
}

// recentCrash is how long after a crash its suspects are kept apart among all
// instances. By then they have run again.
const recentCrash = 10 * time.Second

// Part returns the servers that a suspect may use.
func (p poisons) Part(fingerprint uint64, servers []string) []string {
	now := p.now()
	return poison.Part(fingerprint, p.set.Suspects(now, now.Add(crash.Kept-recentCrash)), servers)
}

// Crash records a crash and tells the peers at once.
func (p poisons) Crash(backend, incarnation string, fingerprints []uint64) {
	p.set.Crash(backend, incarnation, fingerprints, p.now().Add(crash.Kept))
	p.notify()
}

// calls adapts the journal to the request path of plain services.
type calls struct{ journal *peerjournal.Journal }

// Reserve records the intent of a call.
func (c calls) Reserve(ctx context.Context, key journal.Key, fingerprint uint64, attempt string) (journal.Status, *journal.Response, error) {
	r, err := c.journal.Reserve(ctx, key, attempt, fingerprint)
	return r.Status, r.Response, err
}

// Complete records the response to a reserved call.
func (c calls) Complete(ctx context.Context, key journal.Key, attempt string, r *journal.Response) error {
	_, err := c.journal.Complete(ctx, key, attempt, false, r)
	return err
}

// NotRun removes the reservation of a call that provably did not run.
func (c calls) NotRun(ctx context.Context, key journal.Key, attempt string) error {
	_, err := c.journal.Complete(ctx, key, attempt, true, nil)
	return err
}
