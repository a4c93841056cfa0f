package forward

import "net/http"

// Reason is the cause of a request's end. It is a label of the counters, a field
// of the log lines, and part of the instance's own error responses.
type Reason string

// Reasons for the end of a request.
const (
	// Served means that the client got a server's response.
	Served Reason = "served"
	// ClientLeft means that the client disconnected.
	ClientLeft Reason = "client-left"
	// NoConfiguration means that the instance has no configuration yet.
	NoConfiguration Reason = "no-configuration"
	// StaleConfiguration means that the configuration was not confirmed recently enough
	// to trust its keys, or the absence of a route.
	StaleConfiguration Reason = "configuration-not-confirmed"
	// NoRoute means that no route matches.
	NoRoute Reason = "no-route"
	// UnknownKey means that the key belongs to no workspace, or no longer to the one
	// that it authenticated.
	UnknownKey Reason = "unknown-key"
	// BodyTooLarge means that the request body exceeds the limit.
	BodyTooLarge Reason = "body-too-large"
	// MalformedBody means that the encoding of the request body is invalid.
	MalformedBody Reason = "malformed-body"
	// BodyStalled means that the client sent nothing of the request body for too long.
	BodyStalled Reason = "body-stalled"
	// MalformedTarget means that the path cannot be sent to a server unchanged.
	MalformedTarget Reason = "malformed-target"
	// OverAllowance means that the workspace's allowance is used up.
	OverAllowance Reason = "over-allowance"
	// PoisonRequest means that the request has crashed several servers.
	PoisonRequest Reason = "poison"
	// PoisonPart means that a part of the prompt has crashed several servers.
	PoisonPart Reason = "poison-part"
	// NoServer means that the service has no usable server.
	NoServer Reason = "no-server"
	// ServersFull means that the server of the last attempt rejected the request
	// without running it, or that all servers want no requests for some time, and
	// that no server may have run the request before.
	ServersFull Reason = "servers-full"
	// ServersUnreachable means that no byte of the request was sent in the last attempt,
	// and that no server may have run it before.
	ServersUnreachable Reason = "servers-unreachable"
	// ResponseLost means that the response was lost; the request may have run.
	ResponseLost Reason = "answer-lost"
	// InvalidResponse means that the server's response was invalid; the request may have
	// run.
	InvalidResponse Reason = "invalid-answer"
	// ResponseDropped means that the instance had no memory left for the server's response;
	// the request may have run.
	ResponseDropped Reason = "answer-dropped"
	// MemoryFull means that the instance had no memory left for the request's body.
	MemoryFull Reason = "memory-full"
	// TimedOut means that the deadline passed after a server may have run the
	// request.
	TimedOut Reason = "timed-out"
	// TimedOutUnsent means that the deadline passed before any server may have run
	// the request.
	TimedOutUnsent Reason = "timed-out-unsent"
	// Stopping means that the instance stops, and had sent the request to no server.
	Stopping Reason = "stopping"
	// Interrupted means that the instance stops, and a server may have run the request.
	Interrupted Reason = "interrupted"
	// StreamBroken means that a stream ended before it was complete.
	StreamBroken Reason = "stream-broken-off"
)

// Reasons lists all reasons.
var Reasons = []Reason{
	Served, ClientLeft, NoConfiguration, StaleConfiguration, NoRoute, UnknownKey, BodyTooLarge, MalformedBody, BodyStalled, MalformedTarget, OverAllowance, PoisonRequest, PoisonPart,
	NoServer, ServersFull, ServersUnreachable, ResponseLost, InvalidResponse, ResponseDropped, MemoryFull, TimedOut, TimedOutUnsent, Stopping, Interrupted, StreamBroken,
}

// status returns the HTTP status of the instance's own response, whether the
// response guarantees that the request did not run, and whether it says when the client
// should retry.
func (r Reason) status() (status int, notRun, retry bool) {
	switch r {
	case NoConfiguration, StaleConfiguration, NoServer, ServersFull, ServersUnreachable, MemoryFull, TimedOutUnsent, Stopping, PoisonRequest, PoisonPart:
		return http.StatusServiceUnavailable, true, true
	case NoRoute:
		return http.StatusNotFound, true, false
	case UnknownKey:
		return http.StatusUnauthorized, true, false
	case MalformedBody, MalformedTarget:
		return http.StatusBadRequest, true, false
	case BodyStalled:
		return http.StatusRequestTimeout, true, true
	case BodyTooLarge:
		return http.StatusRequestEntityTooLarge, true, false
	case OverAllowance:
		return http.StatusTooManyRequests, true, true
	case TimedOut, Interrupted:
		return http.StatusGatewayTimeout, false, false
	default:
		return http.StatusBadGateway, false, false
	}
}
