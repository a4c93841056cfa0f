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
	Mix  string `json:"mix"`
	Seed uint64 `json:"seed"`
	// Run is the prefix of the idempotency keys.
	Run string `json:"run"`
	// Rate is the configured number of arrivals per second, and TokenScale the
	// factor on the lengths of responses.
	Rate       float64   `json:"rate"`
	TokenScale float64   `json:"token-scale"`
	Started    time.Time `json:"started"`
	// Seconds is the time from Started until the last response.
	Seconds float64 `json:"seconds"`
	// Total is the result of all classes together.
	Total   ClassReport             `json:"total"`
	Classes map[string]*ClassReport `json:"classes"`
	// Workspaces counts outcomes by workspace.
	Workspaces map[string]map[Outcome]int `json:"workspaces"`
	// Tokens are the token counts reported in the responses.
	Tokens tokenUsage `json:"tokens"`
	// Engines are the totals that the engine fakes in the instance list
	// counted during the run.
	Engines engine.Totals `json:"engines"`
	// Cost is the sum, over all backend servers in the instance list, of the
	// price per hour times the hours in the list during the run.
	Cost float64 `json:"cost"`
	// Faults are the configured faults, and FaultErrors the errors of those
	// that could not be injected.
	Faults      []string `json:"faults,omitempty"`
	FaultErrors []string `json:"fault-errors,omitempty"`
	// Resent counts calls that were sent again with the same key, as a planned
	// resend or as a retry. They are also counted in the outcomes.
	Resent int `json:"resent"`
	// Resumed counts resumptions of streams, and Failovers attempts at another
	// entry instance after a connection could not be established.
	Resumed   int `json:"resumed"`
	Failovers int `json:"failovers"`
	// Codes counts the error codes of rejections and failures.
	Codes map[string]int `json:"codes,omitempty"`
	// Lost counts the calls whose response was cut off or whose connection was
	// lost, by the address of the entry instance that had accepted the call.
	// A resumption at another entry instance does not change the address.
	Lost map[string]int `json:"lost,omitempty"`
	// RejectedAndRan counts calls that were rejected as not run but ran. They
	// are also counted as OutcomeWrong.
	RejectedAndRan int `json:"rejected-and-ran"`
	// UnansweredKeys counts the idempotency keys of plain service requests for
	// which no call was answered.
	UnansweredKeys int `json:"unanswered-keys"`
	// RunCheck states whether the outcomes were compared with the
	// executions that the fakes counted: "none" if there were no fakes,
	// "partial" if the counts of a fake could not be read, otherwise
	// "complete".
	RunCheck string `json:"run-check"`
	// StartLag is the delay with which the load tool sent requests.
	StartLag Summary `json:"start-lag"`
	// Details explain at most maxDetails requests with the outcome OutcomeWrong,
	// OutcomeCutOff or OutcomeDoubled.
	Details []string `json:"details,omitempty"`
}

// ClassReport is the result of one class of requests. Latencies cover answered
// requests only and are measured from the planned arrival.
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

// Correct reports whether the run had no request with the outcome OutcomeWrong,
// OutcomeCutOff or OutcomeDoubled.
func (r *Report) Correct() bool {
	o := r.Total.Outcomes
	return o[OutcomeWrong] == 0 && o[OutcomeCutOff] == 0 && o[OutcomeDoubled] == 0
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
		return nil, fmt.Errorf("read report: %s: mix or classes are missing, so this is not a report of the load command", file)
	}
	return &r, nil
}
