package admin

import "time"

// Phases of a move in Status; the values are those of move.Phase.String.
const (
	PhaseRunning    = "running"
	PhaseDone       = "done"
	PhaseRolledBack = "rolled back"
)

// Status is the JSON document that an entry instance serves on /status.
type Status struct {
	Instance string `json:"instance"`
	// Incarnation identifies one run of the instance's process. It is the start
	// time of the process in nanoseconds since the Unix epoch.
	Incarnation   int64  `json:"incarnation"`
	FailureDomain string `json:"failure-domain"`
	Region        string `json:"region"`
	Ready         bool   `json:"ready"`
	// NotReady is the reason if Ready is false.
	NotReady string `json:"not-ready,omitempty"`
	// Leaving is true once a planned shutdown has started.
	Leaving bool `json:"leaving,omitempty"`
	// CatalogueRevision is the revision of the catalogue in effect on the
	// instance.
	CatalogueRevision int64     `json:"catalogue-revision"`
	Members           []Member  `json:"members"`
	Moves             []Move    `json:"moves"`
	Backends          []Backend `json:"backends"`
	// GeneratedTokens, CachedTokens and RecomputedTokens are totals since the
	// start of the process.
	GeneratedTokens  uint64 `json:"generated-tokens"`
	CachedTokens     uint64 `json:"cached-tokens"`
	RecomputedTokens uint64 `json:"recomputed-tokens"`
	// PricePerHour is the price of the instance, without its backend servers, in
	// the currency of the instance list.
	PricePerHour float64 `json:"price-per-hour"`
	// Cost is the price of the backend server time that attempts used since
	// the start of the process, in the currency of the instance list.
	Cost float64 `json:"cost"`
}

// Member is an entry instance in the membership table of another instance.
type Member struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure-domain"`
	State         string `json:"state"`
}

// Move is the state of a version move on one instance.
type Move struct {
	ID    string `json:"id"`
	Entry string `json:"entry"`
	From  string `json:"from"`
	To    string `json:"to"`
	// Share is the share of the requests that go to To, from 0 to 1.
	Share    float64   `json:"share"`
	Phase    string    `json:"phase"`
	Reason   string    `json:"reason"`
	Deadline time.Time `json:"deadline"`
}

// Backend is the state of a backend server on one instance.
type Backend struct {
	ID       string `json:"id"`
	Entry    string `json:"entry"`
	State    string `json:"state"`
	Running  int    `json:"running"`
	Capacity int    `json:"capacity"`
}
