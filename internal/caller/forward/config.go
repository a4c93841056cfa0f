package forward

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/decide/limit"
	"wasabiworks.example/wasabiworks/internal/decide/poison"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
	"wasabiworks.example/wasabiworks/internal/peer/claim"
	"wasabiworks.example/wasabiworks/internal/peer/proxy"
)

// View is the configuration of an instance at one point in time.
type View struct {
	Table *routes.Table
	// Confirmed is when the store last confirmed the table, on the boot clock.
	Confirmed time.Time
	// Fresh reports whether the table was confirmed recently enough to trust
	// its keys.
	Fresh bool
}

// Allowances enforces the allowances of workspaces.
type Allowances interface {
	// Take deducts a use from a workspace's allowance if enough is left.
	Take(ctx context.Context, w *routes.Workspace, u limit.Use) limit.Admission
}

// Budget limits the retries at a service.
type Budget interface {
	// Deposit counts an accepted request, which adds to the budget.
	Deposit(service string)
	// Withdraw reports whether a retry is allowed and, if so, takes it from the
	// budget.
	Withdraw(service string) bool
}

// Usage counts the requests of workspaces that servers ran, and the streams of
// services and how many of them started late.
type Usage interface {
	// AddRequest counts a request that a server has begun to run.
	AddRequest(workspace string)
	// AddFirst counts the first event of a stream. late reports whether it came
	// after the route's objective.
	AddFirst(service string, late bool)
}

// Result describes a request that has ended.
type Result struct {
	// Route and Workspace are empty if the request was rejected before they
	// were known.
	Route, Workspace string
	Reason           Reason
	// Failed reports whether the status was 500 or above, whether from a server or
	// from this instance. Late reports whether the first byte of a server's
	// response came after the route's objective.
	Failed, Late bool
}

// VersionChoice is the version of a service that a request is sent to while the
// service's traffic moves to a new version.
type VersionChoice struct {
	// Move identifies the move; it is empty if there is none.
	Move string
	// NewVersion is the new version, and UseNewVersion reports whether the
	// request is sent there.
	NewVersion    string
	UseNewVersion bool
	// NoFallback excludes the other version, even if no server of the chosen
	// version is usable.
	NoFallback bool
	// Rejected are versions that were rolled back before. They get no requests.
	Rejected []string
	// Step is the step of the move when the choice was made.
	Step uint8
}

// accepts reports whether the request may be sent to a server of a version, and
// whether that version is the preferred one.
func (c VersionChoice) accepts(version string) (eligible, preferred bool) {
	if slices.Contains(c.Rejected, version) {
		return false, false
	}
	preferred = c.Move == "" || (version == c.NewVersion) == c.UseNewVersion
	// A request for the new version may fall back to the old one, but a request
	// for the old version is never sent to the new one.
	return preferred || !c.NoFallback && version != c.NewVersion, preferred
}

// Versions chooses between the versions of a service.
type Versions interface {
	Choose(service, route string, random uint64) VersionChoice
	// RecordResult records the result of an attempt.
	RecordResult(c VersionChoice, r VersionResult)
}

// VersionResult is the result of an attempt, as evidence about the version of the
// server.
type VersionResult struct {
	Service, Route string
	// New reports whether the server has the new version of the move.
	New bool
	// Failed reports whether there was no complete response with a status below 300, and
	// Late whether the first byte came after the route's objective, counted from the
	// attempt.
	Failed, Late bool
	// Pace is the time to a successful response, or, if Stream is set, the mean time
	// between the first events of a stream. It is 0 if it is unknown.
	Pace   time.Duration
	Stream bool
}

// Poison identifies requests that crash servers.
type Poison interface {
	// Blocked returns whether a request must not be sent, and why. It is called before
	// each attempt.
	Blocked(r poison.Request) poison.Block
	// Trial reports whether a request may be sent once although it is blocked.
	Trial(r poison.Request) bool
	// Completed reports that a server completed a response to a request. The request has
	// no parts if the response does not show that they do no harm.
	Completed(r poison.Request)
	// ReportLoss reports that a server that may have run a request gave no complete
	// response, for example because the connection broke or an event exceeded the
	// size limit. The implementation checks whether the server crashed.
	ReportLoss(l Loss)
}

// Loss describes an attempt without a complete response from a server that may have
// run the request.
type Loss struct {
	Server, Address string
	Incarnation     int64
	Request         poison.Request
	// Events is the number of complete events that the server sent. Responding
	// reports whether it had sent them for long enough to show that it does not
	// crash when it begins to respond.
	Events     int
	Responding bool
}

// Peers sends requests through other instances.
type Peers interface {
	// RoundTrip sends a request once at most. It returns a *proxy.Failure if there is no
	// response, and proxy.ErrNoPeer if no other instance can send it.
	RoundTrip(ctx context.Context, r proxy.Request) (response proxy.Response, peer string, err error)
}

// Config configures a Handler. All fields are required except Registerer, Log,
// OnLimitChange, OnRequestEnd, Refusing and Ending.
type Config struct {
	Headers       Headers
	FailureDomain string
	View          func() View
	Pool          *pool.Pool
	Allowances    Allowances
	Budget        Budget
	Usage         Usage
	Poison        Poison
	Versions      Versions
	// Claims tells how much work servers have from all instances; it may be nil.
	Claims *claim.Client
	// Peers sends requests through other instances while this one reaches no server; it may
	// be nil.
	Peers Peers
	// OnLimitChange is called when the limit that a server names has changed; the default
	// does nothing.
	OnLimitChange func()
	// OnRequestEnd is called at the end of each request; it may be nil.
	OnRequestEnd func(Result)
	// Now returns the time on the boot clock.
	Now        func() time.Time
	Random     func() uint64
	Registerer prometheus.Registerer
	Log        *zap.Logger
	// MaxResponseBytes is the maximum size of a response that is not a stream; the
	// default is 4 MiB. All of it is buffered before the client gets any of it.
	MaxResponseBytes int64
	// MemoryBytes is the memory for the bodies of all requests and responses together, in
	// bytes, half for each; the default is 64 MiB, and the least one body of the maximum
	// size of each.
	MemoryBytes int64
	// Requests, if it is not nil, holds the bodies of requests in place of the half of
	// MemoryBytes.
	Requests *limit.Memory
	// Draining reports whether client connections are closed after the response.
	Draining func() bool
	// Refusing reports whether requests that were sent to no server yet are refused,
	// because a planned stop leaves them too little time; nil means never.
	Refusing func() bool
	// Ending ends when the requests in progress must be answered, shortly before a planned
	// stop closes their connections; nil means never.
	Ending context.Context
}

// defaultMaxBody bounds a request body, in bytes, if the table has no limit.
const defaultMaxBody = 4 << 20

// defaultMaxResponse is the default of Config.MaxResponseBytes.
const defaultMaxResponse = 4 << 20

// fingerprint identifies a request by its content, so that it is recognized if
// the client sends it again with another request ID.
func fingerprint(method, requestURI, key string, body ...[]byte) uint64 {
	d := xxhash.New()
	// Write on a Digest never fails.
	for _, s := range []string{method, "\x00", requestURI, "\x00", key, "\x00"} {
		_, _ = d.WriteString(s)
	}
	for _, piece := range body {
		_, _ = d.Write(piece)
	}
	return d.Sum64()
}
