package routes

import "time"

// Kind says what may be repeated on a route.
type Kind uint8

// Kinds of routes. A stream may be repeated only if its route is resumable.
const (
	Idempotent Kind = iota
	NonIdempotent
	Streaming
)

// String returns the name of the kind in logs.
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

// Route forwards the requests of a host below a path prefix to services.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Patience is how long a request may take in all; 0 is no bound.
	Patience time.Duration
	// Objective is the time to the answer, or to a stream's first event.
	Objective time.Duration
	// Pause is the longest time between two events of a stream that is on time.
	Pause time.Duration
	Split []Target
	// Attempts is the number of backend servers that may run one request.
	Attempts int
	// Public requests carry no key.
	Public    bool
	Resumable bool
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Target is one service of a route and its part of the requests.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of backend servers that run the same software.
type Service struct {
	Name string
	// Scaling is set if the number of servers may be changed.
	Scaling *Scaling
}

// Scaling bounds the number of servers of a service in a failure domain.
type Scaling struct {
	Min, Max int
	// ReclaimablePrice is the part of the price at which a reclaimable server
	// costs; 0 if there are none.
	ReclaimablePrice float64
	// Prices are the prices of a server by failure domain.
	Prices map[string]float64
}

// Workspace is a customer with its keys and allowance.
type Workspace struct {
	Name      string
	Keys      []string
	Allowance Allowance
}

// Allowance limits what a workspace uses over all instances together.
type Allowance struct {
	// Rate is in units per second; 0 is no limit.
	Rate float64
	// Burst is in units.
	Burst float64
	// Tokens tells that a unit is a token; otherwise it is a request.
	Tokens bool
	// Plain is what a request that states no tokens counts as.
	Plain float64
}

// Limits bound what a client may send.
type Limits struct {
	// BodyBytes is the largest request body; 0 is the default of the program.
	BodyBytes int64
}
