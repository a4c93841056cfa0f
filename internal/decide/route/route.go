package route

import "time"

// Backend is what an instance knows about a backend server.
type Backend struct {
	ID, Address, FailureDomain, Class string
	Versions                          []string
	// Price is the price per hour in the platform's currency.
	Price                     float64
	Running, Queued, Capacity int
	// Reported is the time of the load report, and Joined the time at which the
	// backend server joined.
	Reported, Joined time.Time
	Leaving          bool
	// Incarnation changes when the backend server's process restarts.
	Incarnation string
}

// Request holds the properties of a request on which the choice depends.
type Request struct {
	Entry, Version, FailureDomain string
	// Prefix is the hash of the beginning of the prompt, or 0 if there is none.
	Prefix uint64
	// PrefixTokens is the estimated number of tokens that a cached prefix
	// saves; 0 means unknown and is treated as a large number.
	PrefixTokens int
	Interactive  bool
	// Exclude lists the IDs of backend servers that must not be chosen.
	Exclude []string
}

// Policy chooses backend servers. Pick returns the index in bs of the server
// for r, and false if no server is eligible. random is a uniformly distributed
// number that breaks ties and, for requests without affinity to a prefix,
// replaces the prefix. Pick doesn't allocate and is safe for concurrent use.
type Policy interface {
	Pick(bs []Backend, r Request, now time.Time, random uint64) (index int, ok bool)
}

// Serves reports whether b may run a request for version. A leaving server
// serves no version. Otherwise an empty version matches every server, and a
// server without versions matches every version.
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
