package reply

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcomes of a rejected or failed request: it was not run, or it may have run.
const (
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
)

// OutcomeHeader is the response header with the outcome of a rejected or failed
// request.
const OutcomeHeader = "Wasabiworks-Outcome"

// Error is a rejection or failure that is reported to a client.
type Error struct {
	Status                     int
	Outcome                    string
	Message, Type, Param, Code string
	RetryAfter                 time.Duration
}

// Error returns the message.
func (e *Error) Error() string { return e.Message }

// Invalid returns a rejection of a malformed request.
func Invalid(param, code, message string) *Error {
	return &Error{Status: http.StatusBadRequest, Outcome: OutcomeNotRun, Message: message, Type: "invalid_request_error", Param: param, Code: code}
}

// Rejected returns a rejection of a request that was not run.
func Rejected(status int, code, message string) *Error {
	return &Error{Status: status, Outcome: OutcomeNotRun, Message: message, Type: errorType(status), Code: code}
}

// Failed returns a failure of a request that may have run.
func Failed(status int, code, message string) *Error {
	return &Error{Status: status, Outcome: OutcomeUnknown, Message: message, Type: errorType(status), Code: code}
}

func errorType(status int) string {
	switch {
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status < 500:
		return "invalid_request_error"
	}
	return "server_error"
}

// Body returns the error object as JSON. It includes the outcome if inStream is
// set, because a stream cannot carry the outcome in a header.
func (e *Error) Body(inStream bool) []byte {
	type object struct {
		Message string  `json:"message"`
		Type    string  `json:"type"`
		Param   *string `json:"param"`
		Code    *string `json:"code"`
	}
	var v struct {
		Error   object `json:"error"`
		Outcome string `json:"outcome,omitempty"`
	}
	v.Error = object{e.Message, e.Type, nilIfEmpty(e.Param), nilIfEmpty(e.Code)}
	if inStream {
		v.Outcome = e.Outcome
	}
	b, err := json.Marshal(v)
	if err != nil {
		return []byte(`{"error":{"message":"internal error","type":"server_error","param":null,"code":null}}`)
	}
	return b
}

func nilIfEmpty(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

// EncodeError writes err as an error response; it is an error encoder for
// go-kit's HTTP transport. An error that is not an *Error is an internal error
// with an unknown outcome.
func EncodeError(_ context.Context, err error, w http.ResponseWriter) {
	var e *Error
	if !errors.As(err, &e) {
		e = Failed(http.StatusInternalServerError, "internal_error", "internal error")
	}
	SetWriteDeadline(w, writeTimeout)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(OutcomeHeader, e.Outcome)
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Status)
	w.Write(e.Body(false))
}
