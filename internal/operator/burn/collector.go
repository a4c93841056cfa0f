package burn

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Names of the metrics that a report reads.
const (
	windowRequestsName = "wasabiworks_window_requests"
	windowTokensName   = "wasabiworks_window_tokens"
	windowSecondsName  = "wasabiworks_window_seconds"
	rejectionsName     = "wasabiworks_rejections_total"
	firstTokenName     = "wasabiworks_first_token_seconds"
	betweenTokensName  = "wasabiworks_between_tokens_seconds"
)

var (
	requestsDesc       = prometheus.NewDesc("wasabiworks_requests_total", "Requests by their result.", []string{"entry", "workspace", "result"}, nil)
	windowRequestsDesc = prometheus.NewDesc(windowRequestsName, "Requests of the last window by their result; 0 is left out.", []string{"entry", "workspace", "result", "window"}, nil)
	tokensDesc         = prometheus.NewDesc("wasabiworks_tokens_total", "Tokens by kind.", []string{"kind"}, nil)
	windowTokensDesc   = prometheus.NewDesc(windowTokensName, "Tokens of the last window by kind.", []string{"kind", "window"}, nil)
	windowSecondsDesc  = prometheus.NewDesc(windowSecondsName, "Time that a window covers.", []string{"window"}, nil)
	rejectionsDesc     = prometheus.NewDesc(rejectionsName, "Rejections by reason.", []string{"reason"}, nil)
	moveShareDesc      = prometheus.NewDesc("wasabiworks_move_share", "Share of the requests on the new version, from 0 to 1.", []string{"entry", "move", "version"}, nil)
)

// collector computes the values of Metrics at each scrape.
type collector struct{ m *Metrics }

// Describe implements prometheus.Collector.
func (c collector) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{requestsDesc, windowRequestsDesc, tokensDesc, windowTokensDesc, windowSecondsDesc, rejectionsDesc, moveShareDesc} {
		descs <- d
	}
}

// Collect implements prometheus.Collector.
func (c collector) Collect(out chan<- prometheus.Metric) {
	counter := func(d *prometheus.Desc, v uint64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	set := c.m.series.Load()
	totals := c.m.totals(set)
	for i, name := range tokenNames {
		counter(tokensDesc, totals[0][generatedTokensIndex+i], name)
	}
	for i, s := range set.list {
		for r, name := range resultNames {
			counter(requestsDesc, totals[1+i][r], s.entry, s.workspace, name)
		}
	}
	for reason, n := range *c.m.rejections.Load() {
		counter(rejectionsDesc, n.Load(), reason)
	}
	for _, s := range *c.m.moves.Load() {
		gauge(moveShareDesc, s.Share, s.Entry, s.Move, s.To)
	}
	for _, w := range windows {
		increase, covered := c.window(w.length, totals)
		gauge(windowSecondsDesc, covered.Seconds(), w.name)
		for i, name := range tokenNames {
			gauge(windowTokensDesc, float64(increase[0][generatedTokensIndex+i]), name, w.name)
		}
		for i, s := range set.list {
			for r, name := range resultNames {
				if n := increase[1+i][r]; n > 0 {
					gauge(windowRequestsDesc, float64(n), s.entry, s.workspace, name, w.name)
				}
			}
		}
	}
}

func (c collector) window(d time.Duration, totals []Counts) ([]Counts, time.Duration) {
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	return c.m.recorder.Window(c.m.now(), d, totals)
}
