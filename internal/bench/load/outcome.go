package load

import (
	"errors"
	"fmt"
	"time"
)

// Outcome is the result of a request as its caller sees it.
type Outcome string

// Outcomes.
const (
	// Answered is a complete and correct response.
	Answered Outcome = "answered"
	// NotRun is a rejection that states that the request was not executed, or
	// a request for which no entry instance could be reached.
	NotRun Outcome = "not-run"
	// Unknown is a failure that states that the request may have run, or a
	// lost connection before any response.
	Unknown Outcome = "unknown"
	// Wrong is a response with wrong content, or one that does not follow the
	// interface.
	Wrong Outcome = "wrong"
	// CutOff is a response that ended early without an error.
	CutOff Outcome = "cut-off"
	// Doubled is a non-idempotent call that ran more than once.
	Doubled Outcome = "doubled"
	// Unsent is a request that exceeded the limit of concurrent requests of
	// the load tool.
	Unsent Outcome = "unsent"
)

// lostCode is the code of a call whose connection was lost before a response.
const lostCode = "lost"

// errWrong means that a response has wrong content.
var errWrong = errors.New("wrong response")

// result is the result of one call.
type result struct {
	outcome Outcome
	// code is the error code of a rejection or failure.
	code string
	// detail explains an outcome that must not occur.
	detail string
	// first and last are the times of the first and last content; between
	// holds the times between contents.
	first, last time.Time
	between     []time.Duration
	usage       tokens
	// accepted is the address of the entry instance that accepted the call
	// before any resumption.
	accepted string
	resumed  int
	// rejectedAndRan is set for a rejected call that ran.
	rejectedAndRan bool
	failovers      int
}

// tokens counts tokens as reported by responses.
type tokens struct {
	Prompt     int `json:"prompt"`
	Cached     int `json:"cached"`
	Completion int `json:"completion"`
}

func (t *tokens) add(u tokens) {
	t.Prompt += u.Prompt
	t.Cached += u.Cached
	t.Completion += u.Completion
}

func (r *result) fail(o Outcome, format string, args ...any) {
	r.outcome = o
	r.detail = fmt.Sprintf(format, args...)
}

// content records the arrival of content.
func (r *result) content(now time.Time) {
	if r.first.IsZero() {
		r.first = now
	} else {
		r.between = append(r.between, now.Sub(r.last))
	}
	r.last = now
}
