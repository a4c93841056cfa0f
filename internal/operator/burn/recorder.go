package burn

import "time"

// Windows of the report.
const (
	ShortWindow  = 5 * time.Minute
	LongWindow   = time.Hour
	BudgetWindow = 24 * time.Hour
)

// windows are the windows and their names in metrics.
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

// Sample records the counters at now, one for each series, unless the current
// minute has a sample. The number of series only grows, and the order of
// samples is that of now.
func (r *Recorder) Sample(now time.Time, totals []Counts) {
	r.minutes.add(now, totals)
	r.hours.add(now, totals)
}

// Window returns the growth of the counters over the last d and the time that
// it covers: less than d after the start, up to a step more otherwise.
func (r *Recorder) Window(now time.Time, d time.Duration, totals []Counts) ([]Counts, time.Duration) {
	from := now.Add(-d)
	base, ok := r.minutes.before(from)
	if !ok {
		base, ok = r.hours.before(from)
	}
	if !ok {
		base = sample{at: r.start}
	}
	growth := make([]Counts, len(totals))
	for i := range totals {
		growth[i] = totals[i]
		if i < len(base.totals) {
			growth[i] = totals[i].minus(base.totals[i])
		}
	}
	return growth, max(now.Sub(base.at), 0)
}

// sample is the value of all series at a time.
type sample struct {
	at     time.Time
	totals []Counts
}

// ring holds the latest samples, at most one for each step.
type ring struct {
	step    time.Duration
	samples []sample // oldest at next once full
	next    int
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

// before returns the latest sample that is not after t.
func (g *ring) before(t time.Time) (s sample, ok bool) {
	for i := range g.samples {
		if x := g.samples[i]; !x.at.After(t) && (!ok || x.at.After(s.at)) {
			s, ok = x, true
		}
	}
	return s, ok
}
