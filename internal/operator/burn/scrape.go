package burn

import (
	"bytes"
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// scrape is what the report takes from the metrics of instances.
type scrape struct {
	// requests holds the counts of each window by series.
	requests   map[pair]*[len(windows)]Counts
	tokens     [len(windows)]Counts
	covered    [len(windows)]time.Duration // the longest
	rejections map[string]float64
	latencies  map[string]buckets
}

func newScrape() *scrape {
	return &scrape{requests: make(map[pair]*[len(windows)]Counts), rejections: make(map[string]float64), latencies: make(map[string]buckets)}
}

// read adds the metrics of one instance in the text format. On an error
// nothing is added.
func (s *scrape) read(data []byte) error {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("metrics are not valid: %w", err)
	}
	if families[windowSecondsName] == nil {
		return fmt.Errorf("metrics lack %s", windowSecondsName)
	}
	for _, m := range families[windowSecondsName].GetMetric() {
		if w, ok := window(m); ok {
			s.covered[w] = max(s.covered[w], time.Duration(value(m)*float64(time.Second)))
		}
	}
	for _, m := range families[windowRequestsName].GetMetric() {
		w, ok := window(m)
		r := slices.Index(resultNames[:], label(m, "result"))
		if ok && r >= 0 {
			workspace := cmp.Or(label(m, "workspace"), other) // empty stands for all
			s.of(pair{label(m, "entry"), workspace})[w][r] += uint64(value(m))
		}
	}
	for _, m := range families[windowTokensName].GetMetric() {
		w, ok := window(m)
		k := slices.Index(tokenNames[:], label(m, "kind"))
		if ok && k >= 0 {
			s.tokens[w][generated+k] += uint64(value(m))
		}
	}
	for _, m := range families[rejectionsName].GetMetric() {
		s.rejections[label(m, "reason")] += value(m)
	}
	for _, name := range []string{firstTokenName, betweenTokensName} {
		for _, m := range families[name].GetMetric() {
			s.latencies[name] = s.latencies[name].plus(m.GetHistogram())
		}
	}
	return nil
}

func (s *scrape) of(p pair) *[len(windows)]Counts {
	c, ok := s.requests[p]
	if !ok {
		c = new([len(windows)]Counts)
		s.requests[p] = c
	}
	return c
}

func label(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}

// value returns a count; what cannot be one is 0.
func value(m *dto.Metric) float64 {
	v := m.GetGauge().GetValue() + m.GetCounter().GetValue() + m.GetUntyped().GetValue()
	if !(v >= 0 && v < 1<<53) {
		return 0
	}
	return v
}

func window(m *dto.Metric) (int, bool) {
	name := label(m, "window")
	for i, w := range windows {
		if w.name == name {
			return i, true
		}
	}
	return 0, false
}

// buckets are cumulative counts of a histogram by upper bound.
type buckets map[float64]uint64

func (b buckets) plus(h *dto.Histogram) buckets {
	if b == nil {
		b = make(buckets)
	}
	for _, x := range h.GetBucket() {
		b[x.GetUpperBound()] += x.GetCumulativeCount()
	}
	return b
}

// quantile interpolates within a bucket; it returns 0 without observations
// and the last finite bound beyond it.
func (b buckets) quantile(q float64) float64 {
	bounds := make([]float64, 0, len(b))
	for bound := range b {
		bounds = append(bounds, bound)
	}
	slices.Sort(bounds)
	if len(bounds) == 0 || b[bounds[len(bounds)-1]] == 0 {
		return 0
	}
	rank := q * float64(b[bounds[len(bounds)-1]])
	low, below := 0.0, 0.0
	for _, bound := range bounds {
		n := float64(b[bound])
		if n >= rank && n > below {
			if math.IsInf(bound, 1) {
				return low
			}
			return low + (bound-low)*(rank-below)/(n-below)
		}
		low, below = bound, n
	}
	return low
}
