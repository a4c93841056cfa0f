package forward

import (
	"net/http"
	"time"
)

// Reason says why a request ended as it did; it is the label of the counters
// and the field of the logs.
type Reason string

// Reasons of answers.
const (
	// Served requests got the server's answer.
	Served Reason = "served"
	// ClientLeft requests were given up by their client.
	ClientLeft Reason = "client-left"
	// NoTable means that the instance knows no configuration yet.
	NoTable Reason = "no-configuration"
	// StaleTable means that the configuration was not confirmed lately enough
	// to trust a key, or the lack of one.
	StaleTable Reason = "configuration-not-confirmed"
	// NoRoute means that no route matches.
	NoRoute Reason = "no-route"
	// BadKey means that no workspace holds the key.
	BadKey Reason = "unknown-key"
	// TooLarge means that the body exceeds the limit.
	TooLarge Reason = "body-too-large"
	// OverAllowance means that the workspace's allowance is used up.
	OverAllowance Reason = "over-allowance"
	// PoisonRequest means that the request crashed several servers.
	PoisonRequest Reason = "poison"
	// NoServer means that there is no server to send the request to.
	NoServer Reason = "no-server"
	// AllFull means that every server that was tried was full.
	AllFull Reason = "servers-full"
	// Unreachable means that no server accepted a connection.
	Unreachable Reason = "servers-unreachable"
	// Lost means that the server broke off, and the request may have run.
	Lost Reason = "answer-lost"
	// Invalid means that the server's answer was not a proper one.
	Invalid Reason = "invalid-answer"
	// TimedOut means that the time limit passed after the request was sent.
	TimedOut Reason = "timed-out"
	// TimedOutUnsent means that the time limit passed before that.
	TimedOutUnsent Reason = "timed-out-unsent"
	// BrokenOff means that a stream ended in its midst.
	BrokenOff Reason = "stream-broken-off"
)

// Reasons lists all reasons.
var Reasons = []Reason{
	Served, ClientLeft, NoTable, StaleTable, NoRoute, BadKey, TooLarge, OverAllowance, PoisonRequest,
	NoServer, AllFull, Unreachable, Lost, Invalid, TimedOut, TimedOutUnsent, BrokenOff,
}

// retryPause is when a client that was rejected for a passing reason should
// come back.
const retryPause = 300 * time.Millisecond

// minRetryAfter is the shortest time after which a client whose workspace is
// over its allowance is told to come back; 0 would mean at once.
const minRetryAfter = time.Millisecond

// status returns the status of the instance's own answer, whether it promises
// that the request did not run, and when to come back.
func (r Reason) status() (status int, notRun bool, retryAfter time.Duration) {
	switch r {
	case NoTable, StaleTable, NoServer, AllFull, Unreachable, TimedOutUnsent:
		return http.StatusServiceUnavailable, true, retryPause
	case NoRoute:
		return http.StatusNotFound, true, 0
	case BadKey:
		return http.StatusUnauthorized, true, 0
	case TooLarge:
		return http.StatusRequestEntityTooLarge, true, 0
	case OverAllowance:
		return http.StatusTooManyRequests, true, retryPause
	case TimedOut:
		return http.StatusGatewayTimeout, false, 0
	default:
		return http.StatusBadGateway, false, 0
	}
}
