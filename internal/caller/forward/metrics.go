package forward

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"wasabiworks.example/wasabiworks/internal/decide/admission"
	"wasabiworks.example/wasabiworks/internal/decide/limit"
)

type metrics struct {
	requests, attempts  *prometheus.CounterVec
	omitted, silences   *prometheus.CounterVec
	refusals            *prometheus.CounterVec
	firstByte, duration *prometheus.HistogramVec
	queueWait           *prometheus.HistogramVec
	throughPeers        *prometheus.CounterVec
	forPeers            *prometheus.CounterVec
}

// urgencyLabel returns the urgency as a label of the metrics.
func (e *exchange) urgencyLabel() string {
	if e.route == nil {
		return "unknown"
	}
	return strconv.Itoa(e.urgency)
}

// newMetrics returns the metrics of h after registering them.
func (h *Handler) newMetrics() (*metrics, error) {
	r := h.config.Registerer
	buckets := prometheus.ExponentialBuckets(0.002, 2, 14)
	m := &metrics{
		requests:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "forward_requests_total", Help: "Requests by kind of route and reason of their end."}, []string{"kind", "reason"}),
		attempts:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "forward_sends_total", Help: "Requests sent to backend servers by outcome."}, []string{"outcome"}),
		firstByte:    prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "forward_first_byte_seconds", Help: "Time to the first byte of a server's answer.", Buckets: buckets}, []string{"kind"}),
		duration:     prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "forward_duration_seconds", Help: "Time to the end of a request.", Buckets: buckets}, []string{"kind"}),
		silences:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "forward_silences_total", Help: "Checks of attempts at silent servers, and those that were ended for another server."}, []string{"outcome"}),
		refusals:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "forward_refusals_total", Help: "Refused requests that the client may retry, by reason and urgency."}, []string{"reason", "urgency"}),
		queueWait:    prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "forward_queue_wait_seconds", Help: "Time that requests waited for a server, by the end of the wait.", Buckets: buckets}, []string{"outcome"}),
		throughPeers: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "forward_sends_through_peers_total", Help: "Requests sent through other instances, because this one reached no server, by outcome."}, []string{"outcome"}),
		forPeers:     prometheus.NewCounterVec(prometheus.CounterOpts{Name: "forward_sends_for_peers_total", Help: "Requests sent for instances that reached no server, by outcome."}, []string{"outcome"}),
		omitted:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "forward_log_lines_omitted_total", Help: "Lines for requests left out beyond the budget of lines."}, []string{"kind"}),
	}
	if r == nil {
		return m, nil
	}
	held := func(kind string, memory *limit.Memory) prometheus.Collector {
		bytes := func() float64 { return float64(memory.Used()) }
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "forward_held_bytes", Help: "Bytes that large bodies hold.", ConstLabels: prometheus.Labels{"kind": kind}}, bytes)
	}
	collectors := []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "forward_partitioned", Help: "1 while this instance reaches no server."}, func() float64 {
			if h.Partitioned() {
				return 1
			}
			return 0
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "forward_partitions_total", Help: "Times that this instance has found that it reaches no server."}, func() float64 {
			return float64(h.reach.partitions.Load())
		}),
		m.throughPeers, m.forPeers, m.requests, m.attempts, m.omitted, m.silences, m.refusals, m.firstByte, m.duration, m.queueWait,
		held("requests", h.requests), held("responses", h.responses),
	}
	for u := range admission.Urgencies {
		length := func() float64 { return float64(h.waiters.length(u)) }
		collectors = append(collectors, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "forward_queue_length", Help: "Requests that wait for a server, by urgency.", ConstLabels: prometheus.Labels{"urgency": strconv.Itoa(u)},
		}, length))
	}
	for _, c := range collectors {
		if err := r.Register(c); err != nil {
			return nil, err
		}
	}
	return m, nil
}
