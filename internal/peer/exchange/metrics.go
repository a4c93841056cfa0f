package exchange

import (
	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"
)

type metrics struct {
	messages, bytes, failures *prometheus.CounterVec
	oversize, replaced        prometheus.Counter
}

func newMetrics(r prometheus.Registerer) (*metrics, error) {
	vec := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "wasabiworks", Subsystem: "peer", Name: name, Help: help}, labels)
	}
	m := &metrics{
		messages: vec("messages_total", "Messages of the Peer service.", "method", "direction", "kind"),
		bytes:    vec("bytes_total", "Encoded bytes of the messages of the Peer service.", "method", "direction", "kind"),
		failures: vec("failures_total", "Failed calls of the Peer service.", "method", "direction"),
		oversize: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "wasabiworks", Subsystem: "peer", Name: "oversize_total",
			Help: "Contributions left out of a digest because it was full.",
		}),
		replaced: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "wasabiworks", Subsystem: "peer", Name: "connections_replaced_total",
			Help: "Connections to peers that were silent and were replaced.",
		}),
	}
	if r == nil {
		return m, nil
	}
	for _, c := range []prometheus.Collector{m.messages, m.bytes, m.failures, m.oversize, m.replaced} {
		if err := r.Register(c); err != nil {
			return nil, errorx.Decorate(err, "register peer metrics")
		}
	}
	return m, nil
}

func (m *metrics) count(method, direction, kind string, message any) {
	p, ok := message.(proto.Message)
	if !ok {
		return
	}
	m.messages.WithLabelValues(method, direction, kind).Inc()
	m.bytes.WithLabelValues(method, direction, kind).Add(float64(proto.Size(p)))
}
