package catalogue

import "time"

// Values of Entry.Kind.
const (
	KindLanguage = "language"
	KindService  = "service"
)

// Values of Entry.Class. Under overload, requests to batch entries are rejected
// first.
const (
	ClassInteractive = "interactive"
	ClassBatch       = "batch"
)

// Catalogue is the configuration that operators declare, together with the
// moves that it requires and the history of its changes.
type Catalogue struct {
	// Operation identifies the apply that wrote this catalogue.
	Operation  string      `json:"operation"`
	Author     string      `json:"author"`
	Comment    string      `json:"comment"`
	Changed    time.Time   `json:"changed"`
	Workspaces []Workspace `json:"workspaces"`
	Entries    []Entry     `json:"entries"`
	// Moves holds the latest move of each entry that has had one. A finished
	// move is kept because a veto refers to it by ID, and the veto keeps
	// traffic off the rejected version.
	Moves []Move `json:"moves"`
	// Ended counts the moves that were removed from Moves.
	Ended   EndedMoves `json:"ended"`
	History []Change   `json:"history"`
}

// EndedMoves counts ended moves by outcome. A move is finished once it is vetoed or its
// deadline is reached; it remains in Catalogue.Moves. It has ended once a later
// change removes it from there, whether it was finished or not.
type EndedMoves struct {
	// Done counts moves that reached their deadline and were not vetoed.
	Done int `json:"done"`
	// RolledBack counts moves that were vetoed.
	RolledBack int `json:"rolled-back"`
	// Replaced counts moves that a later change removed before their deadline
	// and that were not vetoed.
	Replaced int `json:"replaced"`
}

// Change is a record of one apply in the catalogue's history.
type Change struct {
	Operation string    `json:"operation"`
	Author    string    `json:"author"`
	Comment   string    `json:"comment"`
	Changed   time.Time `json:"changed"`
	// BasedOn is the revision that the change replaced.
	BasedOn int64 `json:"based-on"`
	// Summary holds the first lines of the diff from the replaced revision.
	Summary []string `json:"summary,omitempty"`
}

// Workspace is a customer of the serving system.
type Workspace struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`
	// TokenHashes are SHA-256 sums of bearer tokens, in lower-case hex.
	TokenHashes []string `json:"token-hashes"`
}

// Entry is a language model or plain service that callers address by name.
type Entry struct {
	Name    string `json:"name"`
	Owner   string `json:"owner"`
	Kind    string `json:"kind"`
	Class   string `json:"class"`
	Version string `json:"version"`
	// MoveBy is the deadline for moving all traffic to Version.
	MoveBy    time.Time `json:"move-by"`
	Objective Objective `json:"objective"`
	Limits    []Limit   `json:"limits"`
	// Repeatable lists the calls to a plain service that may be retried, each
	// as "METHOD /path-prefix". GET and HEAD are always retryable.
	Repeatable []string `json:"repeatable"`
	// ChecksFence reports whether the backend servers reject commands that
	// carry a stale fencing token.
	ChecksFence bool `json:"checks-fence"`
}

// Objective is the service level objective of an entry.
type Objective struct {
	// FirstToken bounds the time to the first token, or to the response of a
	// plain service.
	FirstToken time.Duration `json:"first-token"`
	// BetweenTokens bounds the mean time between two tokens. It is 0 for a plain
	// service.
	BetweenTokens time.Duration `json:"between-tokens"`
	// Success is the fraction of requests, from 0 to 1, that must succeed
	// within FirstToken and BetweenTokens.
	Success float64 `json:"success"`
}

// Limit bounds the use of an entry by one workspace, summed over all instances.
type Limit struct {
	Workspace         string  `json:"workspace"`
	RequestsPerSecond float64 `json:"requests-per-second"`
	Concurrent        int     `json:"concurrent"`
}

// Move records the gradual shift of an entry's traffic from one version to another.
type Move struct {
	ID       string    `json:"id"`
	Entry    string    `json:"entry"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	Start    time.Time `json:"start"`
	Deadline time.Time `json:"deadline"`
	// KeepUntil is the time until which the old version is kept available,
	// OldVersionRetention after the deadline.
	KeepUntil time.Time `json:"keep-until"`
}
