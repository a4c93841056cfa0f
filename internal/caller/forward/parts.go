package forward

import (
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/poison"
)

// crashWindow is the time after the first event of a stream in which a server counts
// as only beginning to respond. A prompt that crashes the servers that begin to
// respond to it does so within this time.
const crashWindow = 250 * time.Millisecond

// checkPoison returns the reason to reject the request if it crashes servers, or an
// empty Reason if it may be sent. A request on trial is sent to one server only.
func (e *exchange) checkPoison() Reason {
	reason := poisonReasons[e.config.Poison.Blocked(e.suspect)]
	if reason == "" || e.mayHaveRun() {
		return reason
	}
	e.onTrial = e.onTrial || e.config.Poison.Trial(e.suspect)
	if e.onTrial {
		return ""
	}
	return reason
}

var poisonReasons = [...]Reason{poison.NotBlocked: "", poison.BlockedRequest: PoisonRequest, poison.BlockedPart: PoisonPart}

// mayHaveRun reports whether a server may have run the request in an earlier attempt.
func (e *exchange) mayHaveRun() bool {
	for i := range e.attempts {
		if o := e.attempts[i].outcome; o != outcomeNotRun && o != outcomeUnreachable {
			return true
		}
	}
	return false
}

// loss returns the description of an attempt without a complete response.
func (e *exchange) loss(a *attempt) Loss {
	return Loss{
		Server: a.server.ID, Address: a.server.Address, Incarnation: a.server.Incarnation,
		Request: e.suspect,
		Events:  a.pace.events, Responding: a.pace.events > 0 && e.config.Now().Sub(a.pace.first) > crashWindow,
	}
}
