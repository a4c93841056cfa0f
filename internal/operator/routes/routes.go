package routes

import "time"

// Kind determines whether requests on a route may be retried.
type Kind uint8

// Kinds of routes. A request for a stream may be retried only if its route is
// resumable.
const (
	Idempotent Kind = iota
	NonIdempotent
	Streaming
)

// String returns the name of the kind as used in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	default:
		return "streaming"
	}
}

// Route maps requests with a given host and path prefix to one or more services.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the total time of a request; 0 means that the route sets
	// no bound.
	Timeout time.Duration
	// Objective is the target time to the response, or to the first event of a
	// stream.
	Objective time.Duration
	// EventGap is the target for the maximum gap between two events of a stream.
	EventGap time.Duration
	// Split divides the requests among services by weight.
	Split []Target
	// Attempts is the maximum number of backend servers that may run one request.
	Attempts int
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// Public reports whether requests need no access key.
	Public bool
	// Resumable reports whether another backend server can continue a stream
	// after the last event that the client received.
	Resumable bool
}

// Repeatable reports whether a request may be retried although an earlier attempt
// may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Target is a service of a route and its relative weight.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of backend servers that run the same software.
type Service struct {
	Name string
	// Scaling is nil if the number of servers is not scaled automatically.
	Scaling *Scaling
	// ColdRate is the number of requests that a server can handle per second, over all
	// instances, while it is cold; 0 means no limit.
	ColdRate float64
	// ColdTime is how long a server stays cold after its start.
	ColdTime time.Duration
}

// Scaling holds the bounds and the prices by which the number of servers of a
// service is scaled in each failure domain.
type Scaling struct {
	// Min and Max bound the number of servers in a failure domain.
	Min, Max int
	// ReclaimablePrice is the price of a reclaimable server as a fraction of the
	// regular price in Prices; 0 if there are no reclaimable servers.
	ReclaimablePrice float64
	// Prices maps failure domains to the regular price of a server. Prices are
	// only compared with each other, so any common unit will do.
	Prices map[string]float64
}

// Workspace is a customer with its access keys and allowance.
type Workspace struct {
	Name      string
	Keys      []string
	Allowance Allowance
	// Priority takes precedence over that of the route if HasPriority is true.
	Priority    int
	HasPriority bool
}

// Allowance limits the usage of a workspace, summed over all instances. Usage is
// counted in units, which are tokens if CountsTokens is true and requests
// otherwise.
type Allowance struct {
	// Rate is in units per second; 0 means no limit.
	Rate float64
	// Burst is the number of units that may be used at once in excess of Rate.
	Burst float64
	// CountsTokens reports whether the unit is a token rather than a request.
	CountsTokens bool
	// DefaultCost is the number of units charged for a request without a token count.
	DefaultCost float64
}

// Limits bounds the requests that clients may send.
type Limits struct {
	// BodyBytes is the maximum size of a request body; 0 means the built-in
	// default.
	BodyBytes int64
	// HeaderBytes is the maximum size of a request's header; 0 means the built-in
	// default.
	HeaderBytes int64
	// HeaderTimeout is the time that a client may take to send the header, and
	// IdleTimeout the time for which it may keep a connection idle; 0 means the
	// built-in defaults.
	HeaderTimeout, IdleTimeout time.Duration
}
