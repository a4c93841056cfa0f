package burn

import "slices"

// Values of Request.Outcome and Request.Code with a result of their own.
const (
	notRun      = "not-run"
	rateLimited = "rate_limited"
)

// clientErrorCodes are the error codes of requests that would fail on any
// system. They are excluded from the service level.
var clientErrorCodes = []string{
	"body_too_large", "call_pending", "canceled", "entry_not_found", "idempotency_key_required",
	"idempotency_key_reused", "incomplete_body", "invalid_idempotency_key", "invalid_json",
	"invalid_last_event_id", "invalid_path", "invalid_token", "invalid_value", "missing_token",
	"model_not_found", "poison_request", "stream_not_found", "unsupported_parameter",
}

// Request is a finished request.
type Request struct {
	// Outcome is empty for an answered request, otherwise not-run or unknown.
	// Code is the error code.
	Outcome, Code string
	// Slow is true if a latency exceeded the entry's objective.
	Slow bool
	// Canceled is true if the client canceled the request.
	Canceled bool
	// Reclaimed is true if the platform reclaimed a backend server of the
	// request. The request may still have been answered by another server;
	// Outcome says whether it failed. Entry instances set Reclaimed for calls of
	// plain services only.
	Reclaimed bool
}

// Classify returns the result of a request, or false if the request is excluded
// from the service level. An unknown error code counts against the service level.
func Classify(r Request) (Result, bool) {
	switch {
	case r.Canceled || slices.Contains(clientErrorCodes, r.Code):
		return 0, false
	case r.Outcome == "" && r.Slow:
		return Slow, true
	case r.Outcome == "":
		return Good, true
	case r.Code == rateLimited:
		return Limited, true
	case r.Reclaimed:
		return Reclaimed, true
	case r.Outcome == notRun:
		return Rejected, true
	}
	return Failed, true
}
