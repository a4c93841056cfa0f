package forward

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/decide/limit"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

// View is what an instance knows when a request is decided.
type View struct {
	Table *routes.Table
	// Confirmed is when the store last confirmed the table, on the boot clock.
	Confirmed time.Time
	// Fresh tells that it was confirmed lately enough to trust keys.
	Fresh bool
}

// Allowances limits what workspaces use.
type Allowances interface {
	// Take uses units of a workspace's allowance if they are left.
	Take(ctx context.Context, w *routes.Workspace, units float64) limit.Admission
}

// Budget limits the repeated sends to a service.
type Budget interface {
	Deposit(service string)
	Withdraw(service string) bool
}

// Usage counts what is asked of servers.
type Usage interface {
	// Began counts a request that a server began to run.
	Began(workspace string)
	// First counts a stream's first event, and whether it came after the
	// objective.
	First(service string, late bool)
}

// Ended describes a request that has ended.
type Ended struct {
	// Route and Workspace are empty if the request got no further.
	Route, Workspace string
	Reason           Reason
	// Failed tells that the server answered with a failure, and Late that the
	// first byte came after the route's objective.
	Failed, Late bool
}

// Choice says which version of a service a request goes to while its traffic
// moves to another one.
type Choice struct {
	// Move identifies the move; it is empty if there is none.
	Move string
	// To is the new version, and New tells that the request goes there.
	To  string
	New bool
	// Only tells that the other version must not be used in its place.
	Only bool
	// Step is the step of the move at which the choice was made.
	Step uint8
}

// takes reports whether a server of a version may get the request, and whether
// it is the preferred version.
func (c Choice) takes(version string) (may, preferred bool) {
	preferred = c.Move == "" || (version == c.To) == c.New
	// A request for the new version may go to the old one, never the reverse.
	return preferred || !c.Only && version != c.To, preferred
}

// Versions chooses between the versions of a service.
type Versions interface {
	Choose(service string, random uint64) Choice
	// Ended records how a request at a server of the new version, or of the old
	// one, ended.
	Ended(c Choice, isNew bool, route string, failed, slow bool)
}

// Poison knows the requests that crash servers.
type Poison interface {
	// Allowed reports whether a request may be sent.
	Allowed(fingerprint uint64) bool
	// Lost records that a server broke off while it ran a request.
	Lost(server, address string, incarnation int64, fingerprint uint64)
}

// Config configures a Handler. All fields are required but Log and Ended.
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
	// Ended is told of each request; it may be nil.
	Ended func(Ended)
	// Now reads the boot clock.
	Now        func() time.Time
	Random     func() uint64
	Registerer prometheus.Registerer
	Log        *zap.Logger
	// Draining reports whether connections are to be closed after the answer.
	Draining func() bool
}

// maxBody bounds a request body where the table has no limit.
const maxBody = 4 << 20

// maxAnswer bounds an answer that is collected before it is passed on.
const maxAnswer = 16 << 20

// fingerprint identifies a request that a client sends again under another ID.
func fingerprint(method, target, key string, body []byte) uint64 {
	d := xxhash.New()
	// Write on a Digest never fails.
	for _, s := range []string{method, "\x00", target, "\x00", key, "\x00"} {
		_, _ = d.WriteString(s)
	}
	_, _ = d.Write(body)
	return d.Sum64()
}
