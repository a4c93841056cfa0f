package forward

import (
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/route"
)

// crashWindow is the time after the first event of a stream in which a server counts
// as only beginning to respond. A prompt that crashes the servers that begin to
// respond to it does so within this time.
const crashWindow = 250 * time.Millisecond

// sharedParts returns the IDs of the parts that requests may share: all but the
// last one, which belongs to the request or its session.
func sharedParts(parts []route.Part) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	ids := make([]uint64, len(parts)-1)
	for i := range ids {
		ids[i] = parts[i].ID
	}
	return ids
}

// partsAllowed reports whether the request may be sent, given the parts of its
// prompt. A request on trial is sent to one server only.
func (e *exchange) partsAllowed() bool {
	if len(e.sharedParts) == 0 {
		return true
	}
	if e.partsOnTrial {
		return !e.mayHaveRun()
	}
	verdict := e.config.Poison.CheckParts(e.sharedParts)
	e.partsOnTrial = verdict == PartsOnTrial
	return verdict != PartsBlocked
}

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
		Fingerprint: e.fingerprint, Parts: e.sharedParts,
		Events: a.pace.events, Responding: a.pace.events > 0 && e.config.Now().Sub(a.pace.first) > crashWindow,
	}
}
