package services

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/service"
	"wasabiworks.example/wasabiworks/internal/decide/journal"
	"wasabiworks.example/wasabiworks/internal/decide/limit"
	"wasabiworks.example/wasabiworks/internal/decide/route"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
)

// Snapshots returns the catalogue in effect, or nil if there is none yet.
type Snapshots interface{ Snapshot() *catalogue.Snapshot }

// Limiter admits requests. A rejection is a *reply.Error. The caller must call
// release once for each admitted request.
type Limiter interface {
	Admit(workspace string, e *catalogue.Entry, now time.Time) (release func(), err error)
}

// Versions chooses the version of an entry for a call. Calls with the same key get
// the same version as long as the share of a version move stays the same. Version
// also returns the move and its step, so that the call's result can be counted for
// them; move is empty if the result is not counted.
type Versions interface {
	Version(e *catalogue.Entry, key uint64) (version, move string, step uint8)
}

// Fleet tracks the backend servers. Callers call AttemptStarted before each
// attempt at a server, and AttemptEnded after it.
type Fleet interface {
	// View returns the backend servers of an entry that may receive calls.
	View(entry string) []route.Backend
	// AttemptStarted returns a channel that is closed when the server is found to be
	// leaving; it is nil for an unknown server.
	AttemptStarted(id string) (leaving <-chan struct{})
	AttemptEnded(id string)
	// RecordFailure records that an attempt was rejected or failed. reason is the value
	// of a Not-Run header, service.ReasonDial or "failed".
	RecordFailure(id, reason string)
}

// Client sends calls to backend servers.
type Client interface {
	Do(ctx context.Context, call *service.Call) (*http.Response, error)
}

// Budget limits the retries that a backend server receives.
type Budget interface {
	// Deposit counts a first attempt, which adds to the budget.
	Deposit(backend string)
	// Withdraw reports whether a retry is allowed and, if so, takes it from the
	// budget.
	Withdraw(backend string) bool
}

// Journal records calls that must not be repeated. If Reserve returns an error,
// the call must not run.
type Journal interface {
	Reserve(ctx context.Context, key journal.Key, fingerprint uint64, attempt string) (journal.Status, *journal.Response, error)
	// Complete records the response, or nil if the response is too large to keep.
	Complete(ctx context.Context, key journal.Key, attempt string, r *journal.Response) error
	// NotRun removes the reservation of a call that provably did not run.
	NotRun(ctx context.Context, key journal.Key, attempt string) error
}

// ExcusedReclaim is the value of CallResult.Excused for a call that lost an
// attempt because the server was reclaimed, even if a later attempt succeeded; a
// later loss of another kind clears it. Such a call does not count against the version.
const ExcusedReclaim = "reclaim"

// CallResult describes the result of one call.
type CallResult struct {
	// Route is the rule of the catalogue that makes the call repeatable, or the
	// method GET or HEAD, or "once" for a call that must not be repeated. Backend
	// is the server of the last attempt.
	ID, Workspace, Entry, Move, Version, Route, Backend string
	// Load is the server's load level as defined by evidence.LoadLevel.
	Load uint8
	// Step is the step of the move at the time when the version was chosen.
	Step uint8
	// Outcome is empty if the client got a complete response. Otherwise it is
	// reply.OutcomeNotRun or reply.OutcomeUnknown, and Code is the error code.
	Outcome, Code string
	// Ran reports whether a server responded, or was lost after bytes of the call
	// were sent and before the call was canceled or timed out. Only such calls are
	// evidence about the version.
	//
	// Failed reports whether the last server that ran the call was lost, responded
	// with a status of 500 or above, or sent a response that broke off or exceeded
	// MaxResponse while it was relayed. Slow reports whether the response headers
	// came after the entry's objective, Replayed whether the client got the stored
	// response of an earlier call, and Canceled whether the client disconnected.
	Ran, Failed, Slow, Replayed, Canceled bool
	Excused                               string
	Duration, FirstByte                   time.Duration
	Attempts                              int
}

// Recorder receives the results of calls. Call must not block.
type Recorder interface{ Call(*CallResult) }

// Config configures a Server. Random and all fields of interface types are
// required.
type Config struct {
	// Node identifies one run of this instance. It is part of the attempt IDs,
	// which makes them unique among instances and restarts.
	Node, FailureDomain string
	Snapshots           Snapshots
	Limiter             Limiter
	Versions            Versions
	Router              route.Policy
	Fleet               Fleet
	Client              Client
	Budget              Budget
	Journal             Journal
	Recorder            Recorder
	Now                 func() time.Time
	Random              func() uint64
	// Requests is the memory for request bodies; nil means no limit.
	Requests *limit.Memory
	// MaxAttempts bounds the attempts of a call, 4 by default.
	MaxAttempts int
	// MaxResponse bounds a response body, 64 MiB by default.
	MaxResponse int64
	// JournalTimeout bounds each request to the journal, 2 s by default.
	JournalTimeout time.Duration
	// PendingTimeout bounds the wait for the response to an earlier call that has
	// the same idempotency key and is still pending, 2 s by default.
	PendingTimeout time.Duration
	// CallTimeout bounds a call including the response body, 60 s by default.
	CallTimeout time.Duration
	// WriteTimeout bounds each write to a client, 10 s by default.
	WriteTimeout time.Duration
	// Retention is how long the response to a repeatable call with an idempotency
	// key is kept, 2 min by default.
	Retention time.Duration
}

func (c *Config) setDefaults() {
	if c.Now == nil {
		c.Now = time.Now
	}
	c.MaxAttempts = cmp.Or(c.MaxAttempts, 4)
	c.MaxResponse = cmp.Or(c.MaxResponse, 64<<20)
	c.JournalTimeout = cmp.Or(c.JournalTimeout, 2*time.Second)
	c.PendingTimeout = cmp.Or(c.PendingTimeout, 2*time.Second)
	c.CallTimeout = cmp.Or(c.CallTimeout, time.Minute)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, 10*time.Second)
	c.Retention = cmp.Or(c.Retention, 2*time.Minute)
}
