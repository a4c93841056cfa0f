package route

import "time"

// Backend is what a node knows about a backend server.
type Backend struct {
	ID, Address, FailureDomain, Class string
	Versions                          []string
	// Price is per hour, in the platform's currency.
	Price                     float64
	Running, Queued, Capacity int
	// Reported is the time of the load report.
	Reported, Joined time.Time
	Leaving          bool
	// Incarnation changes when the backend server's process restarts.
	Incarnation string
}

// Request is what the choice depends on.
type Request struct {
	Entry, Version, FailureDomain string
	// Prefix is the hash of the prompt's beginning, or 0.
	Prefix uint64
	// PrefixTokens is the estimated number of tokens that a cached prefix
	// saves; 0 is unknown and counts as many.
	PrefixTokens int
	Interactive  bool
	// Exclude lists IDs that must not be chosen.
	Exclude []string
}

// Policy chooses a backend server. Pick does not allocate and is safe for
// concurrent use.
type Policy interface {
	Pick(bs []Backend, r Request, now time.Time, random uint64) (index int, ok bool)
}

// Serves reports whether b may run a request for version. An empty version
// matches every backend server.
func (b *Backend) Serves(version string) bool {
	if b.Leaving {
		return false
	}
	if version == "" || len(b.Versions) == 0 {
		return true
	}
	for _, v := range b.Versions {
		if v == version {
			return true
		}
	}
	return false
}
