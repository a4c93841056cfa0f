package load

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/engine"
)

// Report is the result of a run.
type Report struct {
	Mix        string    `json:"mix"`
	Seed       uint64    `json:"seed"`
	Run        string    `json:"run"`
	Rate       float64   `json:"rate"`
	TokenScale float64   `json:"token-scale"`
	Started    time.Time `json:"started"`
	Seconds    float64   `json:"seconds"`
	// Total covers all classes.
	Total   ClassReport             `json:"total"`
	Classes map[string]*ClassReport `json:"classes"`
	// Workspaces counts outcomes by workspace.
	Workspaces map[string]map[Outcome]int `json:"workspaces"`
	// Tokens are those that the responses report.
	Tokens tokens `json:"tokens"`
	// Engines are the tokens that the engine fakes of the instance list
	// counted during the run.
	Engines engine.Totals `json:"engines"`
	// Cost is the price of the listed backend servers during the run.
	Cost float64 `json:"cost"`
	// Faults are the faults of the run, FaultErrors those that failed.
	Faults      []string `json:"faults,omitempty"`
	FaultErrors []string `json:"fault-errors,omitempty"`
	// Resent counts calls that were sent again with the same key; they are
	// counted in the outcomes, too.
	Resent int `json:"resent"`
	// Resumed counts resumptions of streams, Failovers connections that were
	// refused and tried at another entry instance.
	Resumed   int `json:"resumed"`
	Failovers int `json:"failovers"`
	// Codes counts the error codes of rejections and failures.
	Codes map[string]int `json:"codes,omitempty"`
	// Lost counts the responses that broke off or never came, by the address
	// of the entry instance that had accepted the call. A resumption does not
	// change the address.
	Lost map[string]int `json:"lost,omitempty"`
	// RejectedAndRan counts requests that were rejected as not run and ran;
	// they are counted as wrong, too.
	RejectedAndRan int `json:"rejected-and-ran"`
	// UnansweredKeys counts the plain service requests of which neither the
	// first call nor a later one with the same key was answered.
	UnansweredKeys int `json:"unanswered-keys"`
	// RunCheck tells whether the runs that the fakes counted were compared with
	// the outcomes: "none", "partial" if a fake could not be reached,
	// "complete".
	RunCheck string `json:"run-check"`
	// StartLag is how late the tool itself sent requests.
	StartLag Summary `json:"start-lag"`
	// Details are the first explanations of outcomes that must not occur.
	Details []string `json:"details,omitempty"`
}

// ClassReport is the result of one class of requests. Latencies are those of
// answered requests and count from the planned arrival.
type ClassReport struct {
	Sent          int             `json:"sent"`
	Outcomes      map[Outcome]int `json:"outcomes"`
	FirstToken    Summary         `json:"first-token"`
	BetweenTokens Summary         `json:"between-tokens"`
	Duration      Summary         `json:"duration"`
}

// Summary summarises a distribution of times in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50-ms"`
	P95   float64 `json:"p95-ms"`
	P99   float64 `json:"p99-ms"`
	P999  float64 `json:"p999-ms"`
	Max   float64 `json:"max-ms"`
}

// Correct reports whether no outcome occurred that must never occur.
func (r *Report) Correct() bool {
	o := r.Total.Outcomes
	return o[Wrong] == 0 && o[CutOff] == 0 && o[Doubled] == 0
}

// ReadReport reads a report from a JSON file.
func ReadReport(file string) (*Report, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read report: %w", err)
	}
	var r Report
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("read report: %s: %w", file, err)
	}
	if r.Mix == "" || r.Classes == nil {
		return nil, fmt.Errorf("read report: %s: not a report of this tool: mix or classes are missing", file)
	}
	return &r, nil
}
