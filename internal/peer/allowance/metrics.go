package allowance

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"wasabiworks.example/wasabiworks/internal/decide/limit"
)

// metrics are the metrics of a Limiter.
type metrics struct {
	decisions, refused, units *prometheus.CounterVec
}

func newMetrics() *metrics {
	return &metrics{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "allowance_decisions_total", Help: "Uses of allowances by who decided and the outcome.",
		}, []string{"by", "outcome"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "allowance_refused_total", Help: "Refused uses of allowances by urgency.",
		}, []string{"urgency"}),
		units: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "allowance_units_total",
			Help: "Units by transfer: contributed or returned to an owner, lent to another instance, collected from members, borrowed from other failure domains.",
		}, []string{"transfer"}),
	}
}

func (m *metrics) register(r prometheus.Registerer) error {
	for _, c := range []prometheus.Collector{m.decisions, m.refused, m.units} {
		if err := r.Register(c); err != nil {
			return err
		}
	}
	return nil
}

// countDecision counts the decision on one use.
func (m *metrics) countDecision(by string, isAdmitted bool, urgency int) {
	if isAdmitted {
		m.decisions.WithLabelValues(by, "admitted").Inc()
		return
	}
	m.decisions.WithLabelValues(by, "refused").Inc()
	m.refused.WithLabelValues(strconv.Itoa(min(max(urgency, 0), limit.Urgencies-1))).Inc()
}
