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

// retryBudgets holds the retry budget of each catalogue entry. Budgets per
// backend server would be empty when needed: in a large fleet an instance makes
// few first attempts on each server, which earn few retries, whereas the failure
// of one server requires many retries at once, on other servers. Routing
// distributes retries in the same way as first attempts, so each server receives
// at most a tenth more requests.
type retryBudgets struct {
	entryOf func(backend string) string
	byEntry sync.Map // entry name to *retry.Budget
}

func (b *retryBudgets) forServer(backend string) *retry.Budget {
	entry := b.entryOf(backend)
	if v, ok := b.byEntry.Load(entry); ok {
		return v.(*retry.Budget)
	}
	created := new(retry.Budget)
	created.Fill()
	v, _ := b.byEntry.LoadOrStore(entry, created)
	return v.(*retry.Budget)
}

// Deposit records a first attempt on a backend server in the budget of its entry.
func (b *retryBudgets) Deposit(backend string) { b.forServer(backend).Deposit() }

// Withdraw withdraws one retry from the budget of a backend server's entry and
// reports whether the budget allowed it.
func (b *retryBudgets) Withdraw(backend string) bool { return b.forServer(backend).Withdraw() }

// poisonAdapter adapts the set of crash records to openai.PoisonTracker.
type poisonAdapter struct {
	set    *poison.Set
	notify func()
	now    func() time.Time
}

// Verdict reports whether the request with a fingerprint is clear, a suspect or
// poison.
func (p poisonAdapter) Verdict(fingerprint uint64) openai.Verdict {
	switch p.set.Verdict(fingerprint, p.now()) {
	case poison.Poison:
		return openai.VerdictPoison
	case poison.Suspect:
		return openai.VerdictSuspect
	default:
		return openai.VerdictClear
	}
}

// suspectSeparation is how long after a crash its suspects, which are the requests
// that were in flight, are kept on different backend servers as far as there are
// enough servers. All instances compute the same assignment of servers to
// suspects. After that time the suspects have run again.
const suspectSeparation = 10 * time.Second

// AssignedServers returns the servers that a suspect may use, so that the suspects of one
// crash do not run on the same server. The servers must be sorted.
func (p poisonAdapter) AssignedServers(fingerprint uint64, servers []string) []string {
	now := p.now()
	return poison.AssignedServers(fingerprint, p.set.Suspects(now, now.Add(crash.RecordTTL-suspectSeparation)), servers)
}

// Crash records the requests that were in flight when a backend server crashed
// and notifies the peers immediately.
func (p poisonAdapter) Crash(backend, incarnation string, fingerprints []uint64) {
	p.set.Crash(backend, incarnation, fingerprints, p.now().Add(crash.RecordTTL))
	p.notify()
}

// Completed records that a server completed a response to a request, and notifies the
// peers if that clears it.
func (p poisonAdapter) Completed(fingerprint uint64) {
	if p.set.Completed(fingerprint) {
		p.notify()
	}
}

// journalAdapter adapts the journal to the request path of plain services.
type journalAdapter struct{ journal *peerjournal.Journal }

// Reserve records that a call is about to run and returns the status of its key,
// with the response if there is one. Only journal.Reserved allows the call to
// run.
func (j journalAdapter) Reserve(ctx context.Context, key journal.Key, fingerprint uint64, attempt string) (journal.Status, *journal.Response, error) {
	r, err := j.journal.Reserve(ctx, key, attempt, fingerprint)
	return r.Status, r.Response, err
}

// Complete records the response to a reserved call.
func (j journalAdapter) Complete(ctx context.Context, key journal.Key, attempt string, r *journal.Response) error {
	_, err := j.journal.Complete(ctx, key, attempt, false, r)
	return err
}

// NotRun removes the reservation of a call that provably did not run.
func (j journalAdapter) NotRun(ctx context.Context, key journal.Key, attempt string) error {
	_, err := j.journal.Complete(ctx, key, attempt, true, nil)
	return err
}
