package openai

import (
	"cmp"
	"context"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/engine"
	"wasabiworks.example/wasabiworks/internal/decide/limit"
	"wasabiworks.example/wasabiworks/internal/decide/route"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
)

// Snapshots provides the current catalogue, or nil if none has been loaded.
type Snapshots interface{ Snapshot() *catalogue.Snapshot }

// Limiter admits or rejects requests. A rejection is a *reply.Error. The caller
// calls release exactly once after each admitted request.
type Limiter interface {
	Admit(workspace string, e *catalogue.Entry, now time.Time) (release func(), err error)
}

// Versions chooses the version of an entry for a conversation. If the entry is
// being moved to another version in steps, it also returns the ID of this move and
// the current step: the result of an attempt with the version then counts as
// evidence in the move. Otherwise move is empty.
type Versions interface {
	Version(e *catalogue.Entry, conversation uint64) (version, move string, step uint8)
}

// Fleet provides the state of the backend servers and records attempts and
// failures on them. Package fleet implements it.
type Fleet interface {
	// View returns the backend servers of an entry that may run attempts.
	View(entry string) []route.Backend
	// AttemptStarted records the start of an attempt on a server. leaving is closed when
	// the server is found to be leaving.
	AttemptStarted(serverID string) (leaving <-chan struct{})
	// AttemptEnded records the end of an attempt on a server.
	AttemptEnded(serverID string)
	// Deadline returns the time at which a leaving server is reclaimed, or the
	// zero time if it is unknown.
	Deadline(serverID string) time.Time
	// RecordFailure records that a server rejected an attempt, or failed while running
	// it.
	RecordFailure(serverID, reason string)
	// RecordVersionRejection records that a server does not have a version.
	RecordVersionRejection(serverID, version string)
}

// Engine runs and cancels attempts on engines and copies KV caches between them.
type Engine interface {
	Generate(ctx context.Context, a *engine.Attempt, yield func(engine.Frame) error) error
	Cancel(ctx context.Context, address, attempt string) error
	CopyCache(ctx context.Context, from, to, attempt string) error
}

// Budget limits the retries that a backend server receives.
type Budget interface {
	// Deposit records the first attempt of a request on a server.
	Deposit(serverID string)
	// Withdraw charges the budget for one more retry on a server and reports
	// whether the budget allowed the retry. A refused retry is not charged.
	Withdraw(serverID string) bool
}

// Verdict classifies a request by the crashes during which it was in flight.
type Verdict uint8

// Verdicts. The values are the same as in package poison.
const (
	// VerdictClear requests were not in flight during any crash.
	VerdictClear Verdict = iota
	// VerdictSuspect requests were in flight when one server process crashed.
	VerdictSuspect
	// VerdictPoison requests were in flight when two server processes crashed, and were
	// not completed since. They are not run again.
	VerdictPoison
)

// PoisonTracker tracks the requests that were in flight when servers crashed.
type PoisonTracker interface {
	Verdict(fingerprint uint64) Verdict
	// AssignedServers returns the subset of the sorted servers that a suspect may use, so
	// that the suspects of one crash run on different servers.
	AssignedServers(fingerprint uint64, servers []string) []string
	// Crash records the requests that were in flight when a server crashed.
	Crash(serverID, incarnation string, fingerprints []uint64)
	// Completed reports that a server completed a response to a request.
	Completed(fingerprint uint64)
}

// Reasons why a failed attempt does not count against its version.
const (
	ExcusedReclaim = "reclaim"
	ExcusedSuspect = "suspect"
)

// AttemptRecord is the result of one attempt that an engine ran.
type AttemptRecord struct {
	Workspace, Entry, Move, Version, Route, Backend string
	// Load is the server's load level, as defined in package evidence.
	Load uint8
	// Step is the step of the move when the version was chosen.
	Step         uint8
	Failed, Slow bool
	// Excused is ExcusedReclaim, ExcusedSuspect or empty.
	Excused                   string
	FirstToken, BetweenTokens time.Duration
	Tokens                    int
}

// RequestRecord is the result of one request.
type RequestRecord struct {
	ID, Workspace, Entry, Version, Route string
	// Outcome is empty if the request was answered, and reply.OutcomeNotRun or
	// reply.OutcomeUnknown otherwise. Code is the error code.
	Outcome, Code        string
	Slow, Canceled       bool
	Duration, FirstToken time.Duration
	// Numbers of tokens.
	PromptTokens, GeneratedTokens, CachedTokens, RecomputedTokens int
	Attempts                                                      int
}

// Recorder records the results of attempts and requests. Its methods must not
// block.
type Recorder interface {
	Attempt(*AttemptRecord)
	Request(*RequestRecord)
}

// Config configures a Server. The interfaces and Random are required. All other
// fields except Node and FailureDomain have the defaults noted.
type Config struct {
	// Node identifies the process by its instance ID and incarnation. It is part
	// of the attempt IDs, which makes them unique across instances.
	Node, FailureDomain string
	Snapshots           Snapshots
	Limiter             Limiter
	Versions            Versions
	Router              route.Policy
	Fleet               Fleet
	Engine              Engine
	Budget              Budget
	Poison              PoisonTracker
	Recorder            Recorder
	Now                 func() time.Time // time.Now by default
	Random              func() uint64
	// Requests is the memory for request bodies, and Responses that for the texts of
	// responses that are being generated; nil means no limit.
	Requests, Responses *limit.Memory
	// MaxTokens is the maximum number of tokens of a response, 8192 by default.
	// DefaultMaxTokens is the limit for requests without one: by default 4096 or
	// MaxTokens, whichever is less.
	MaxTokens, DefaultMaxTokens int
	// MaxAttempts is the maximum number of attempts of a request, 8 by default.
	// It includes attempts that end because of a reclaim.
	MaxAttempts int
	// ServerWait limits the wait for a server that may run the next attempt, 2 s
	// by default. SuspectServerWait is the limit for a suspect that waits for
	// a server without other suspects, 30 s by default.
	ServerWait, SuspectServerWait time.Duration
	// MigrationMargin is how long before a reclaim unfinished attempts migrate to
	// another server, 2 s by default.
	MigrationMargin time.Duration
	// WriteTimeout limits the time of each write to a client, 10 s by default.
	WriteTimeout time.Duration
	// ResponseTTL is how long a response is kept for repeated requests with its
	// idempotency key and for Last-Event-ID, 2 min by default.
	ResponseTTL time.Duration
}

func (c *Config) setDefaults() {
	if c.Now == nil {
		c.Now = time.Now
	}
	c.MaxTokens = cmp.Or(c.MaxTokens, 8192)
	c.DefaultMaxTokens = cmp.Or(c.DefaultMaxTokens, min(4096, c.MaxTokens))
	c.MaxAttempts = cmp.Or(c.MaxAttempts, 8)
	c.ServerWait = cmp.Or(c.ServerWait, 2*time.Second)
	c.SuspectServerWait = cmp.Or(c.SuspectServerWait, 30*time.Second)
	c.MigrationMargin = cmp.Or(c.MigrationMargin, 2*time.Second)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, 10*time.Second)
	c.ResponseTTL = cmp.Or(c.ResponseTTL, 2*time.Minute)
}
