package admin

import "time"

// Phases of a move in Status, as package move names them.
const (
	PhaseRunning    = "running"
	PhaseDone       = "done"
	PhaseRolledBack = "rolled back"
)

// Status is what an entry instance serves as JSON on /status.
type Status struct {
	Instance string `json:"instance"`
	// Incarnation is the start time in nanoseconds since the Unix epoch.
	Incarnation   int64  `json:"incarnation"`
	FailureDomain string `json:"failure-domain"`
	Region        string `json:"region"`
	Ready         bool   `json:"ready"`
	// NotReady is the reason if Ready is false.
	NotReady string `json:"not-ready,omitempty"`
	// Leaving is true from the start of a planned shutdown.
	Leaving bool `json:"leaving,omitempty"`
	// CatalogueRevision is the revision that the instance decides by.
	CatalogueRevision int64     `json:"catalogue-revision"`
	Members           []Member  `json:"members"`
	Moves             []Move    `json:"moves"`
	Backends          []Backend `json:"backends"`
	// Tokens are counted since the start of the incarnation.
	GeneratedTokens  uint64 `json:"generated-tokens"`
	CachedTokens     uint64 `json:"cached-tokens"`
	RecomputedTokens uint64 `json:"recomputed-tokens"`
	// PricePerHour is the price of the instance itself.
	PricePerHour float64 `json:"price-per-hour"`
	// Cost is the price of the time that attempts took on backend servers
	// since the start of the incarnation.
	Cost float64 `json:"cost"`
}

// Member is an entry instance as another one sees it.
type Member struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure-domain"`
	State         string `json:"state"`
}

// Move is the state of a version move as one instance decides it.
type Move struct {
	ID    string `json:"id"`
	Entry string `json:"entry"`
	From  string `json:"from"`
	To    string `json:"to"`
	// Share of the requests on To, from 0 to 1.
	Share    float64   `json:"share"`
	Phase    string    `json:"phase"`
	Reason   string    `json:"reason"`
	Deadline time.Time `json:"deadline"`
}

// Backend is a backend server as the instance sees it.
type Backend struct {
	ID       string `json:"id"`
	Entry    string `json:"entry"`
	State    string `json:"state"`
	Running  int    `json:"running"`
	Capacity int    `json:"capacity"`
}
