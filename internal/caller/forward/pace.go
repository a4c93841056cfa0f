package forward

import "time"

// paceEvents is the number of events after which the pace of a stream is known.
// The longer a stream, the later its end, so the pace must not wait for it.
const paceEvents = 9

// pace records when the server of an attempt sent its answer. The zero value
// describes a server that has sent nothing.
type pace struct {
	first, last time.Time // when the first and the last of the first paceEvents events came
	events      int
	// blocked is the time for which the client kept the instance from reading the first
	// paceEvents events.
	blocked time.Duration
}

// add records an event of a stream, or a whole response.
func (p *pace) add(now time.Time) {
	if p.events == 0 {
		p.first = now
	}
	if p.events < paceEvents {
		p.last = now
	}
	p.events++
}

// meanGap returns the mean time between two of the first events, or 0 if there were
// fewer than two.
func (p *pace) meanGap() time.Duration {
	if p.events < 2 {
		return 0
	}
	return p.last.Sub(p.first) / time.Duration(min(p.events, paceEvents)-1)
}

// paceOfAnswer returns the mean time between the first events of a stream, or the
// time to a response that is no stream. It is 0 if it is unknown.
func (a *attempt) paceOfAnswer() time.Duration {
	if a.isStream || a.pace.events == 0 {
		return a.pace.meanGap()
	}
	return a.pace.first.Sub(a.sentAt)
}

// observe records an event of a stream, or a whole response.
func (a *attempt) observe(now time.Time) {
	a.pace.add(now)
	a.verdict.stopLate()
	if a.isStream && a.pace.events == paceEvents {
		a.verdict.recordAnswer(false, a.paceOfAnswer(), true)
	}
}
