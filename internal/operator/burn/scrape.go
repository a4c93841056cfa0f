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

// aggregate combines those metrics of all instances that a report needs: sums,
// except for covered, which is the maximum.
type aggregate struct {
	// requests holds the counts of each window for each series.
	requests   map[seriesKey]*[len(windows)]Counts
	tokens     [len(windows)]Counts
	covered    [len(windows)]time.Duration // longest of the instances
	rejections map[string]float64
	latencies  map[string]buckets
}

func newAggregate() *aggregate {
	return &aggregate{requests: make(map[seriesKey]*[len(windows)]Counts), rejections: make(map[string]float64), latencies: make(map[string]buckets)}
}

// add adds the metrics of one instance in the Prometheus text format. If it
// returns an error, it adds nothing.
func (a *aggregate) add(data []byte) error {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("metrics are not valid: %w", err)
	}
	if families[windowSecondsName] == nil {
		return fmt.Errorf("metrics lack %s", windowSecondsName)
	}
	for _, m := range families[windowSecondsName].GetMetric() {
		if w, ok := windowIndex(m); ok {
			a.covered[w] = max(a.covered[w], time.Duration(nonNegativeValue(m)*float64(time.Second)))
		}
	}
	for _, m := range families[windowRequestsName].GetMetric() {
		w, ok := windowIndex(m)
		r := slices.Index(resultNames[:], labelValue(m, "result"))
		if ok && r >= 0 {
			workspace := cmp.Or(labelValue(m, "workspace"), otherLabel) // an empty workspace would mean all workspaces
			a.requestCountsFor(seriesKey{labelValue(m, "entry"), workspace})[w][r] += uint64(nonNegativeValue(m))
		}
	}
	for _, m := range families[windowTokensName].GetMetric() {
		w, ok := windowIndex(m)
		k := slices.Index(tokenNames[:], labelValue(m, "kind"))
		if ok && k >= 0 {
			a.tokens[w][generatedTokensIndex+k] += uint64(nonNegativeValue(m))
		}
	}
	for _, m := range families[rejectionsName].GetMetric() {
		a.rejections[labelValue(m, "reason")] += nonNegativeValue(m)
	}
	for _, name := range []string{firstTokenName, betweenTokensName} {
		for _, m := range families[name].GetMetric() {
			a.latencies[name] = a.latencies[name].merge(m.GetHistogram())
		}
	}
	return nil
}

// requestCountsFor returns the counts for key and adds them if needed.
func (a *aggregate) requestCountsFor(key seriesKey) *[len(windows)]Counts {
	c, ok := a.requests[key]
	if !ok {
		c = new([len(windows)]Counts)
		a.requests[key] = c
	}
	return c
}

func labelValue(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}

// nonNegativeValue returns the value of a metric, or 0 if the value is negative,
// not a number, or too large for its integers to be exact.
func nonNegativeValue(m *dto.Metric) float64 {
	v := m.GetGauge().GetValue() + m.GetCounter().GetValue() + m.GetUntyped().GetValue()
	if !(v >= 0 && v < 1<<53) {
		return 0
	}
	return v
}

func windowIndex(m *dto.Metric) (int, bool) {
	name := labelValue(m, "window")
	for i, w := range windows {
		if w.name == name {
			return i, true
		}
	}
	return 0, false
}

// buckets maps the upper bounds of a histogram to cumulative counts.
type buckets map[float64]uint64

func (b buckets) merge(h *dto.Histogram) buckets {
	if b == nil {
		b = make(buckets)
	}
	for _, x := range h.GetBucket() {
		b[x.GetUpperBound()] += x.GetCumulativeCount()
	}
	return b
}

// quantile estimates the quantile q by linear interpolation within a bucket. It
// returns 0 without observations, and the last finite bound if the quantile is
// above it.
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
	lower, countBelow := 0.0, 0.0
	for _, bound := range bounds {
		n := float64(b[bound])
		if n >= rank && n > countBelow {
			if math.IsInf(bound, 1) {
				return lower
			}
			return lower + (bound-lower)*(rank-countBelow)/(n-countBelow)
		}
		lower, countBelow = bound, n
	}
	return lower
}
