package forward

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	requests, attempts  *prometheus.CounterVec
	omitted, silences   *prometheus.CounterVec
	firstByte, duration *prometheus.HistogramVec
}

// newMetrics registers the metrics. requestsHeld and responsesHeld return the bytes that
// bodies hold.
func newMetrics(r prometheus.Registerer, requestsHeld, responsesHeld func() float64) (*metrics, error) {
	buckets := prometheus.ExponentialBuckets(0.002, 2, 14)
	m := &metrics{
		requests:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "forward_requests_total", Help: "Requests by kind of route and reason of their end."}, []string{"kind", "reason"}),
		attempts:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "forward_sends_total", Help: "Requests sent to backend servers by outcome."}, []string{"outcome"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "forward_first_byte_seconds", Help: "Time to the first byte of a server's answer.", Buckets: buckets}, []string{"kind"}),
		duration:  prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "forward_duration_seconds", Help: "Time to the end of a request.", Buckets: buckets}, []string{"kind"}),
		silences:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "forward_silences_total", Help: "Checks of attempts at silent servers, and those that were ended for another server."}, []string{"outcome"}),
		omitted:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "forward_log_lines_omitted_total", Help: "Lines for requests left out beyond the budget of lines."}, []string{"kind"}),
	}
	if r == nil {
		return m, nil
	}
	held := func(kind string, bytes func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "forward_held_bytes", Help: "Bytes that large bodies hold.", ConstLabels: prometheus.Labels{"kind": kind}}, bytes)
	}
	for _, c := range []prometheus.Collector{m.requests, m.attempts, m.omitted, m.silences, m.firstByte, m.duration, held("requests", requestsHeld), held("responses", responsesHeld)} {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}
