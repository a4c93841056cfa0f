package load

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wasabiworks.example/wasabiworks/internal/bench/engine"
)

const (
	// maxMicroseconds is the largest time that is recorded; longer times are
	// recorded as this value.
	maxMicroseconds = int64(5 * time.Minute / time.Microsecond)
	// significantDigits is the precision of histograms in significant decimal digits.
	significantDigits = 3
	// maxDetails limits the number of details in a report.
	maxDetails = 20
)

// recorder collects the results of a run. It is safe for concurrent use.
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
	return hdrhistogram.New(1, maxMicroseconds, significantDigits)
}

func newHistograms() *histograms {
	return &histograms{newHistogram(), newHistogram(), newHistogram()}
}

func newRecorder(c Config, started time.Time) *recorder {
	r := &recorder{
		report: &Report{
			Mix: c.Mix.Name, Seed: c.Seed, Run: c.KeyPrefix, Rate: c.Rate, TokenScale: c.TokenScale, Started: started,
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

// recordTime records a duration, limited to the range of the histogram.
func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is in the range of the histogram, so RecordValue cannot fail.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicroseconds))
}

// recordStartLag records the delay of a request against its planned arrival.
func (r *recorder) recordStartLag(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recordTime(r.startLag, d)
}

// recordCall records the result of a call. Latencies are measured from the
// planned time.
func (r *recorder) recordCall(req Request, planned, ended time.Time, res result, resent bool) {
	class := req.Class.Name
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range []*ClassReport{&r.report.Total, r.report.Classes[class]} {
		c.Sent++
		c.Outcomes[res.outcome]++
	}
	r.report.Workspaces[req.Workspace.Name][res.outcome]++
	if resent {
		r.report.Resent++
	}
	r.report.Resumed += res.resumed
	r.report.Failovers += res.failovers
	r.report.Tokens.add(res.usage)
	if res.code != "" {
		r.report.Codes[res.code]++
	}
	if res.outcome == OutcomeCutOff || res.code == codeLost {
		r.report.Lost[res.acceptedBy]++
	}
	if res.rejectedAndRan {
		r.report.RejectedAndRan++
	}
	r.addDetail(class, res)
	if res.outcome != OutcomeAnswered {
		return
	}
	for _, h := range []*histograms{r.total, r.classes[class]} {
		recordTime(h.firstToken, res.firstContent.Sub(planned))
		recordTime(h.duration, ended.Sub(planned))
		for _, d := range res.betweenContent {
			recordTime(h.betweenTokens, d)
		}
	}
}

// correctRejection changes the recorded outcome of a request from
// OutcomeNotRun to OutcomeWrong, because the request ran.
func (r *recorder) correctRejection(req Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range []map[Outcome]int{
		r.report.Total.Outcomes, r.report.Classes[req.Class.Name].Outcomes, r.report.Workspaces[req.Workspace.Name],
	} {
		o[OutcomeNotRun]--
		o[OutcomeWrong]++
	}
	r.report.RejectedAndRan++
	r.addDetail(req.Class.Name, result{outcome: OutcomeWrong, detail: fmt.Sprintf("request %d was rejected as not run but ran", req.Index)})
}

// addDetail adds the detail of a result to the report, up to maxDetails. The
// caller must hold r.mu.
func (r *recorder) addDetail(class string, res result) {
	if res.detail != "" && len(r.report.Details) < maxDetails {
		r.report.Details = append(r.report.Details, class+": "+string(res.outcome)+": "+res.detail)
	}
}

// recordFaultError records that a fault could not be injected.
func (r *recorder) recordFaultError(f Fault, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.FaultErrors = append(r.report.FaultErrors, fmt.Sprintf("%v: %v", f, err))
}

// setUnansweredKeys records the number of idempotency keys without an answered
// call.
func (r *recorder) setUnansweredKeys(keys int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.UnansweredKeys = keys
}

// setCostAndTotals records the cost of the run and the totals of the engines.
func (r *recorder) setCostAndTotals(cost float64, engines engine.Totals) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Cost, r.report.Engines = cost, engines
}

// finish completes and returns the report of a run that ended at the time now.
func (r *recorder) finish(now time.Time) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.report
	report.Seconds = now.Sub(report.Started).Seconds()
	report.StartLag = summarise(r.startLag)
	r.total.summarise(&report.Total)
	for name, h := range r.classes {
		h.summarise(report.Classes[name])
	}
	return report
}

func (h *histograms) summarise(c *ClassReport) {
	c.FirstToken = summarise(h.firstToken)
	c.BetweenTokens = summarise(h.betweenTokens)
	c.Duration = summarise(h.duration)
}

func summarise(h *hdrhistogram.Histogram) Summary {
	percentile := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	return Summary{
		Count: h.TotalCount(),
		P50:   percentile(50),
		P95:   percentile(95),
		P99:   percentile(99),
		P999:  percentile(99.9),
		Max:   float64(h.Max()) / 1000,
	}
}
