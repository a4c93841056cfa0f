package services

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/service"
	"wasabiworks.example/wasabiworks/internal/decide/journal"
	"wasabiworks.example/wasabiworks/internal/decide/route"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
)

// Snapshots gives the catalogue in effect, or nil.
type Snapshots interface{ Snapshot() *catalogue.Snapshot }

// Limiter admits requests. A rejection is a *reply.Error; release follows each
// admitted request once.
type Limiter interface {
	Admit(workspace string, e *catalogue.Entry, now time.Time) (release func(), err error)
}

// Versions chooses the version of an entry for a conversation, and names the
// move that the choice is evidence for, if any, and the move's step.
type Versions interface {
	Version(e *catalogue.Entry, conversation uint64) (version, move string, step uint8)
}

// Fleet is the view of the backend servers.
type Fleet interface {
	View(entry string) []route.Backend
	Began(id string) (leaving <-chan struct{})
	Ended(id string)
	Refused(id, reason string)
}

// Client makes calls.
type Client interface {
	Do(ctx context.Context, call *service.Call) (*http.Response, error)
}

// Budget bounds the extra attempts that a backend server receives.
type Budget interface {
	Deposit(backend string)
	Withdraw(backend string) bool
}

// Journal records calls that must not be repeated. An error of Reserve means
// that the call must not run.
type Journal interface {
	Reserve(ctx context.Context, key journal.Key, fingerprint uint64, attempt string) (journal.Status, *journal.Response, error)
	// Complete records the response, or nil if it is too large to keep.
	Complete(ctx context.Context, key journal.Key, attempt string, r *journal.Response) error
	// NotRun removes the reservation of a call that provably did not run.
	NotRun(ctx context.Context, key journal.Key, attempt string) error
}

// ExcusedReclaim is why a failed call does not count against its version.
const ExcusedReclaim = "reclaim"

// Call is the outcome of one call.
type Call struct {
	ID, Workspace, Entry, Move, Version, Route, Backend string
	// Load is the server's load level, as in package evidence.
	Load uint8
	// Step is the step of the move when the version was chosen.
	Step uint8
	// Outcome is empty for an answered call, else not-run or unknown; Code is
	// the error code.
	Outcome, Code string
	// Ran is true if a server responded or was lost, so that the call is
	// evidence about the version.
	Ran, Failed, Slow, Replayed, Canceled bool
	Excused                               string
	Duration, FirstByte                   time.Duration
	Attempts                              int
}

// Recorder takes outcomes. Its method must not block.
type Recorder interface{ Call(*Call) }

// Config configures a Server. The interfaces are required.
type Config struct {
	// Node is part of the attempt IDs, so that they differ between nodes.
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
	// MaxAttempts bounds the attempts of a call, 4 by default.
	MaxAttempts int
	// MaxResponse bounds a response body, 64 MiB by default.
	MaxResponse int64
	// JournalTimeout bounds a call of the journal, 2 s by default.
	JournalTimeout time.Duration
	// PendingPatience bounds the wait for the response to an earlier call with
	// the same idempotency key, 2 s by default.
	PendingPatience time.Duration
	// CallTimeout bounds a call, with its body, 60 s by default.
	CallTimeout time.Duration
	// WriteTimeout bounds each write to a client, 10 s by default.
	WriteTimeout time.Duration
	// Keep is how long the response to a repeatable call is kept for its
	// idempotency key, 2 min by default.
	Keep time.Duration
}

func (c *Config) setDefaults() {
	if c.Now == nil {
		c.Now = time.Now
	}
	c.MaxAttempts = cmp.Or(c.MaxAttempts, 4)
	c.MaxResponse = cmp.Or(c.MaxResponse, 64<<20)
	c.JournalTimeout = cmp.Or(c.JournalTimeout, 2*time.Second)
	c.PendingPatience = cmp.Or(c.PendingPatience, 2*time.Second)
	c.CallTimeout = cmp.Or(c.CallTimeout, time.Minute)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, 10*time.Second)
	c.Keep = cmp.Or(c.Keep, 2*time.Minute)
}
