package forward

import "time"

// pace records when a server answered an attempt. The zero value describes a
// server that has sent nothing.
type pace struct {
	first, last time.Time // when the first and the last event or whole response came
	events      int
}

// add records an event, or a whole response.
func (p *pace) add(now time.Time) {
	if p.events == 0 {
		p.first = now
	}
	p.last = now
	p.events++
}

// meanGap returns the mean time between two events, or 0 if there were fewer than
// two.
func (p *pace) meanGap() time.Duration {
	if p.events < 2 {
		return 0
	}
	return p.last.Sub(p.first) / time.Duration(p.events-1)
}
