package load

import (
	"errors"
	"fmt"
	"time"
)

// Outcome is the result of a request from the point of view of its caller.
type Outcome string

// Outcomes.
const (
	// OutcomeAnswered is a complete and correct response.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun is a rejection that states that the request was not executed, or
	// a request for which no entry instance could be reached.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown is a failure that states that the request may have run, or a
	// connection that was lost before a response.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeWrong is a response with wrong content or one that violates the API.
	OutcomeWrong Outcome = "wrong"
	// OutcomeCutOff is a response that ended early without reporting an error.
	OutcomeCutOff Outcome = "cut-off"
	// OutcomeDoubled is a plain service call that ran more than once under one
	// idempotency key.
	OutcomeDoubled Outcome = "doubled"
	// OutcomeUnsent is a request that was not sent because the load tool had reached
	// its limit of concurrent requests.
	OutcomeUnsent Outcome = "unsent"
)

// codeLost is the error code that the load tool sets for a call whose connection
// was lost before a response.
const codeLost = "lost"

// errWrong means that a response has wrong content or violates the API.
var errWrong = errors.New("wrong response")

// result is the result of one call.
type result struct {
	outcome Outcome
	// code is the error code of a rejection or failure, or empty. The load tool
	// itself sets codeLost, and "unreachable" if no entry instance accepted a
	// connection.
	code string
	// detail explains the outcome OutcomeWrong, OutcomeCutOff or OutcomeDoubled.
	detail string
	// firstContent and lastContent are the arrival times of the first and the
	// last content; betweenContent holds the intervals between arrivals.
	firstContent, lastContent time.Time
	betweenContent            []time.Duration
	usage                     tokenUsage
	// acceptedBy is the address of the entry instance that accepted the call,
	// or that was tried last if none did. A resumption does not change it.
	acceptedBy string
	resumed    int
	// rejectedAndRan is set for a call that was rejected as not run but ran.
	rejectedAndRan bool
	failovers      int
}

// tokenUsage holds the token counts that a response reports.
type tokenUsage struct {
	Prompt     int `json:"prompt"`
	Cached     int `json:"cached"`
	Completion int `json:"completion"`
}

func (t *tokenUsage) add(u tokenUsage) {
	t.Prompt += u.Prompt
	t.Cached += u.Cached
	t.Completion += u.Completion
}

// fail sets an outcome and its detail.
func (r *result) fail(o Outcome, format string, args ...any) {
	r.outcome = o
	r.detail = fmt.Sprintf(format, args...)
}

// recordContent records that content arrived at the time now.
func (r *result) recordContent(now time.Time) {
	if r.firstContent.IsZero() {
		r.firstContent = now
	} else {
		r.betweenContent = append(r.betweenContent, now.Sub(r.lastContent))
	}
	r.lastContent = now
}
