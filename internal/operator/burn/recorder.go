package burn

import "time"

// Lengths of the report's windows.
const (
	ShortWindow  = 5 * time.Minute
	LongWindow   = time.Hour
	BudgetWindow = 24 * time.Hour
)

// windows lists the windows with the values of their metric label. Arrays with
// one element for each window use this order.
var windows = [...]struct {
	name   string
	length time.Duration
}{{"5m", ShortWindow}, {"1h", LongWindow}, {"24h", BudgetWindow}}

// Recorder keeps past values of cumulative counters. It reads no clock and is
// not safe for concurrent use.
type Recorder struct {
	start   time.Time
	minutes ring
	hours   ring
}

// NewRecorder returns a recorder of counters that were 0 at start.
func NewRecorder(start time.Time) *Recorder {
	return &Recorder{
		start:   start,
		minutes: ring{step: time.Minute, samples: make([]sample, 0, LongWindow/time.Minute+1)},
		hours:   ring{step: time.Hour, samples: make([]sample, 0, BudgetWindow/time.Hour+1)},
	}
}

// Sample records the counters at now, with one element of totals for each
// series. Only the first sample of each minute is kept for the last hour, and
// only the first sample of each hour for the last day. Between calls, now must
// not decrease and series may only be appended to totals.
func (r *Recorder) Sample(now time.Time, totals []Counts) {
	r.minutes.add(now, totals)
	r.hours.add(now, totals)
}

// Window returns the increase of the counters over the last d and the time that
// the increase covers. The covered time is less than d if the recorder started
// within the last d. Otherwise, if Sample is called once a minute, it exceeds d
// by at most about a minute for d up to LongWindow and about an hour for a larger
// d; with rarer samples, it exceeds d by more.
func (r *Recorder) Window(now time.Time, d time.Duration, totals []Counts) ([]Counts, time.Duration) {
	from := now.Add(-d)
	base, ok := r.minutes.atOrBefore(from)
	if !ok {
		base, ok = r.hours.atOrBefore(from)
	}
	if !ok {
		base = sample{at: r.start}
	}
	increase := make([]Counts, len(totals))
	for i := range totals {
		increase[i] = totals[i]
		if i < len(base.totals) {
			increase[i] = totals[i].sub(base.totals[i])
		}
	}
	return increase, max(now.Sub(base.at), 0)
}

// sample holds the counters of all series at one time.
type sample struct {
	at     time.Time
	totals []Counts
}

// ring is a ring buffer of the latest samples, with at most one for each step.
type ring struct {
	step    time.Duration
	samples []sample
	next    int // index of the oldest sample once the buffer is full
}

func (g *ring) add(now time.Time, totals []Counts) {
	if n := len(g.samples); n > 0 {
		last := g.samples[(g.next+n-1)%n]
		if !now.Truncate(g.step).After(last.at.Truncate(g.step)) {
			return
		}
	}
	s := sample{now, append([]Counts(nil), totals...)}
	if len(g.samples) < cap(g.samples) {
		g.samples = append(g.samples, s)
		return
	}
	g.samples[g.next] = s
	g.next = (g.next + 1) % len(g.samples)
}

// atOrBefore returns the latest sample at or before t.
func (g *ring) atOrBefore(t time.Time) (s sample, ok bool) {
	for i := range g.samples {
		if x := g.samples[i]; !x.at.After(t) && (!ok || x.at.After(s.at)) {
			s, ok = x, true
		}
	}
	return s, ok
}
