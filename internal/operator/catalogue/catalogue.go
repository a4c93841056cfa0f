package catalogue

import "time"

// Kinds of entries.
const (
	KindLanguage = "language"
	KindService  = "service"
)

// Classes of entries; under overload, batch requests are rejected first.
const (
	ClassInteractive = "interactive"
	ClassBatch       = "batch"
)

// Catalogue is everything that operators declare, with the moves and the
// history that follow from it.
type Catalogue struct {
	// Operation identifies the apply that wrote this catalogue.
	Operation  string      `json:"operation"`
	Author     string      `json:"author"`
	Comment    string      `json:"comment"`
	Changed    time.Time   `json:"changed"`
	Workspaces []Workspace `json:"workspaces"`
	Entries    []Entry     `json:"entries"`
	// Moves holds the latest move of each entry that has had one. A move
	// stays after its end: it carries the veto that keeps a bad version away.
	Moves []Move `json:"moves"`
	// Ended counts the moves that are no longer in Moves.
	Ended   Ended    `json:"ended"`
	History []Change `json:"history"`
}

// Ended counts moves by how they ended.
type Ended struct {
	Done       int `json:"done"`
	RolledBack int `json:"rolled-back"`
	// Replaced counts moves that another change replaced before the deadline.
	Replaced int `json:"replaced"`
}

// Change is one line of the catalogue's history.
type Change struct {
	Operation string    `json:"operation"`
	Author    string    `json:"author"`
	Comment   string    `json:"comment"`
	Changed   time.Time `json:"changed"`
	// BasedOn is the revision that the change replaced.
	BasedOn int64 `json:"based-on"`
	// Summary holds the first lines of the difference that it made.
	Summary []string `json:"summary,omitempty"`
}

// Workspace is a customer of the serving system.
type Workspace struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`
	// TokenHashes are SHA-256 sums of bearer tokens, in lower-case hex.
	TokenHashes []string `json:"token-hashes"`
}

// Entry is a model or plain service that callers can name.
type Entry struct {
	Name    string `json:"name"`
	Owner   string `json:"owner"`
	Kind    string `json:"kind"`
	Class   string `json:"class"`
	Version string `json:"version"`
	// MoveBy is the time by which traffic is on Version.
	MoveBy    time.Time `json:"move-by"`
	Objective Objective `json:"objective"`
	Limits    []Limit   `json:"limits"`
	// Repeatable lists "METHOD path-prefix" of calls to a plain service that
	// may be repeated. GET and HEAD are always repeatable.
	Repeatable []string `json:"repeatable"`
	// ChecksFence is true if the backend servers reject commands with a
	// stale fencing token.
	ChecksFence bool `json:"checks-fence"`
}

// Objective is the service level of an entry.
type Objective struct {
	FirstToken    time.Duration `json:"first-token"`
	BetweenTokens time.Duration `json:"between-tokens"`
	// Success is the share of requests, from 0 to 1.
	Success float64 `json:"success"`
}

// Limit bounds one workspace's use of an entry, over all instances together.
type Limit struct {
	Workspace         string  `json:"workspace"`
	RequestsPerSecond float64 `json:"requests-per-second"`
	Concurrent        int     `json:"concurrent"`
}

// Move is the record of a version move.
type Move struct {
	ID        string    `json:"id"`
	Entry     string    `json:"entry"`
	From      string    `json:"from"`
	To        string    `json:"to"`
	Start     time.Time `json:"start"`
	Deadline  time.Time `json:"deadline"`
	KeepUntil time.Time `json:"keep-until"`
}
