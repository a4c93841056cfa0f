package load

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wasabiworks.example/wasabiworks/internal/bench/engine"
)

const (
	// maxMicroseconds is the largest time that is recorded; longer ones are
	// recorded as this.
	maxMicroseconds = int64(5 * time.Minute / time.Microsecond)
	// digits is the precision of histograms in significant decimal digits.
	digits = 3
	// maxDetails bounds the explanations in a report.
	maxDetails = 20
)

// recorder collects the results of a run and is safe for concurrent use.
type recorder struct {
	mu       sync.Mutex
	report   *Report
	startLag *hdrhistogram.Histogram
	total    *histograms
	classes  map[string]*histograms
}

type histograms struct {
	firstToken, betweenTokens, duration *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxMicroseconds, digits)
}

func newHistograms() *histograms {
	return &histograms{newHistogram(), newHistogram(), newHistogram()}
}

func newRecorder(c Config, started time.Time) *recorder {
	r := &recorder{
		report: &Report{
			Mix: c.Mix.Name, Seed: c.Seed, Run: c.Run, Rate: c.Rate, TokenScale: c.TokenScale, Started: started,
			Total:   ClassReport{Outcomes: make(map[Outcome]int)},
			Classes: make(map[string]*ClassReport),
			Codes:   make(map[string]int),
			Lost:    make(map[string]int),

			Workspaces: make(map[string]map[Outcome]int),
		},
		startLag: newHistogram(),
		total:    newHistograms(),
		classes:  make(map[string]*histograms),
	}
	for _, class := range c.Mix.Classes {
		r.report.Classes[class.Name] = &ClassReport{Outcomes: make(map[Outcome]int)}
		r.classes[class.Name] = newHistograms()
	}
	for _, w := range c.Mix.Workspaces {
		r.report.Workspaces[w.Name] = make(map[Outcome]int)
	}
	for _, f := range c.Faults {
		r.report.Faults = append(r.report.Faults, f.String())
	}
	return r
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the histogram's range, so there is no error.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicroseconds))
}

// lag records how late a request was sent.
func (r *recorder) lag(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.startLag, d)
}

// result records a call that was planned for a time and ended at another.
func (r *recorder) result(q Request, planned, ended time.Time, out result, resent bool) {
	class := q.Class.Name
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range []*ClassReport{&r.report.Total, r.report.Classes[class]} {
		k.Sent++
		k.Outcomes[out.outcome]++
	}
	r.report.Workspaces[q.Workspace.Name][out.outcome]++
	if resent {
		r.report.Resent++
	}
	r.report.Resumed += out.resumed
	r.report.Failovers += out.failovers
	r.report.Tokens.add(out.usage)
	if out.code != "" {
		r.report.Codes[out.code]++
	}
	if out.outcome == CutOff || out.code == lostCode {
		r.report.Lost[out.accepted]++
	}
	if out.rejectedAndRan {
		r.report.RejectedAndRan++
	}
	r.detail(class, out)
	if out.outcome != Answered {
		return
	}
	for _, h := range []*histograms{r.total, r.classes[class]} {
		record(h.firstToken, out.first.Sub(planned))
		record(h.duration, ended.Sub(planned))
		for _, d := range out.between {
			record(h.betweenTokens, d)
		}
	}
}

// rejectedAndRan corrects the outcome of a request that was recorded as not run.
func (r *recorder) rejectedAndRan(q Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range []map[Outcome]int{
		r.report.Total.Outcomes, r.report.Classes[q.Class.Name].Outcomes, r.report.Workspaces[q.Workspace.Name],
	} {
		o[NotRun]--
		o[Wrong]++
	}
	r.report.RejectedAndRan++
	r.detail(q.Class.Name, result{outcome: Wrong, detail: fmt.Sprintf("request %d was rejected as not run and ran", q.Index)})
}

func (r *recorder) detail(class string, out result) {
	if out.detail != "" && len(r.report.Details) < maxDetails {
		r.report.Details = append(r.report.Details, class+": "+string(out.outcome)+": "+out.detail)
	}
}

// faultFailed records that a fault was not injected.
func (r *recorder) faultFailed(f Fault, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.FaultErrors = append(r.report.FaultErrors, fmt.Sprintf("%v: %v", f, err))
}

// unanswered records the number of plain service requests without an answer.
func (r *recorder) unanswered(keys int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.UnansweredKeys = keys
}

// metered records what the run cost.
func (r *recorder) metered(cost float64, t engine.Totals) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Cost, r.report.Engines = cost, t
}

// finish returns the report.
func (r *recorder) finish(now time.Time) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.report
	p.Seconds = now.Sub(p.Started).Seconds()
	p.StartLag = summarise(r.startLag)
	r.total.summarise(&p.Total)
	for name, h := range r.classes {
		h.summarise(p.Classes[name])
	}
	return p
}

func (h *histograms) summarise(c *ClassReport) {
	c.FirstToken = summarise(h.firstToken)
	c.BetweenTokens = summarise(h.betweenTokens)
	c.Duration = summarise(h.duration)
}

func summarise(h *hdrhistogram.Histogram) Summary {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Summary{
		Count: h.TotalCount(),
		P50:   at(50),
		P95:   at(95),
		P99:   at(99),
		P999:  at(99.9),
		Max:   float64(h.Max()) / 1000,
	}
}
