package openai

import (
	"cmp"
	"context"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/engine"
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
	Deadline(id string) time.Time
	Refused(id, reason string)
	RefusedVersion(id, version string)
}

// Engine runs attempts.
type Engine interface {
	Generate(ctx context.Context, a *engine.Attempt, yield func(engine.Frame) error) error
	Cancel(ctx context.Context, address, attempt string) error
	MoveCache(ctx context.Context, from, to, attempt string) error
}

// Budget bounds the extra attempts that a backend server receives.
type Budget interface {
	// Deposit records a first attempt on a server.
	Deposit(backend string)
	// Withdraw asks for one more attempt on a server.
	Withdraw(backend string) bool
}

// Verdict is what is known about a request.
type Verdict uint8

// Verdicts, as package poison has them.
const (
	Clear Verdict = iota
	Suspect
	Poison
)

// Poisons knows the requests that were in flight when servers crashed.
type Poisons interface {
	Verdict(fingerprint uint64) Verdict
	// Part returns those of the sorted servers that a suspect may use, so that
	// the suspects of one crash do not meet on a server.
	Part(fingerprint uint64, servers []string) []string
	Crash(backend, incarnation string, fingerprints []uint64)
}

// Reasons for which a failed attempt does not count against its version.
const (
	ExcusedReclaim = "reclaim"
	ExcusedSuspect = "suspect"
)

// Attempt is the outcome of one attempt that an engine ran.
type Attempt struct {
	Workspace, Entry, Move, Version, Route, Backend string
	// Load is the server's load level, as in package evidence.
	Load uint8
	// Step is the step of the move when the version was chosen.
	Step         uint8
	Failed, Slow bool
	// Excused is a reason, or empty.
	Excused             string
	FirstToken, Between time.Duration
	Tokens              int
}

// Request is the outcome of one request.
type Request struct {
	ID, Workspace, Entry, Version, Route string
	// Outcome is empty for an answered request, else not-run or unknown;
	// Code is the error code.
	Outcome, Code        string
	Slow, Canceled       bool
	Duration, FirstToken time.Duration
	// Tokens.
	Prompt, Generated, Cached, Recomputed int
	Attempts                              int
}

// Recorder takes outcomes. Its methods must not block.
type Recorder interface {
	Attempt(*Attempt)
	Request(*Request)
}

// Config configures a Server. The interfaces are required, unless noted.
type Config struct {
	// Node is part of the attempt IDs, so that they differ between nodes.
	Node, FailureDomain string
	Snapshots           Snapshots
	Limiter             Limiter
	Versions            Versions
	Router              route.Policy
	Fleet               Fleet
	Engine              Engine
	Budget              Budget
	Poison              Poisons
	Recorder            Recorder
	Now                 func() time.Time
	Random              func() uint64
	// MaxTokens bounds a response, 8192 tokens by default; DefaultTokens is
	// the bound if the request has none, 4096 by default.
	MaxTokens, DefaultTokens int
	// MaxAttempts bounds the attempts of a request, 8 by default. Attempts
	// that end because of a reclaim count too.
	MaxAttempts int
	// Patience bounds the wait for a server that may run the next attempt,
	// 2 s by default; SuspectPatience is the bound for a suspect, which needs
	// a server of its own, 30 s by default.
	Patience, SuspectPatience time.Duration
	// MoveMargin is the time before a reclaim at which attempts that have not
	// finished are moved, 2 s by default.
	MoveMargin time.Duration
	// WriteTimeout bounds each write to a client, 10 s by default.
	WriteTimeout time.Duration
	// Keep is how long a response is kept for its idempotency key and for
	// Last-Event-ID, 2 min by default.
	Keep time.Duration
}

func (c *Config) setDefaults() {
	if c.Now == nil {
		c.Now = time.Now
	}
	c.MaxTokens = cmp.Or(c.MaxTokens, 8192)
	c.DefaultTokens = cmp.Or(c.DefaultTokens, min(4096, c.MaxTokens))
	c.MaxAttempts = cmp.Or(c.MaxAttempts, 8)
	c.Patience = cmp.Or(c.Patience, 2*time.Second)
	c.SuspectPatience = cmp.Or(c.SuspectPatience, 30*time.Second)
	c.MoveMargin = cmp.Or(c.MoveMargin, 2*time.Second)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, 10*time.Second)
	c.Keep = cmp.Or(c.Keep, 2*time.Minute)
}
