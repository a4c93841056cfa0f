package propagation

import (
	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	revision         prometheus.Gauge
	rejected         prometheus.Counter
	accepted, failed *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) (*metrics, error) {
	opts := func(name, help string) prometheus.Opts {
		return prometheus.Opts{Namespace: "wasabiworks", Subsystem: "catalogue", Name: name, Help: help}
	}
	m := &metrics{
		revision: prometheus.NewGauge(prometheus.GaugeOpts(opts("revision", "Revision of the catalogue in effect."))),
		rejected: prometheus.NewCounter(prometheus.CounterOpts(opts("rejected_total", "Catalogues that did not decode."))),
		accepted: prometheus.NewCounterVec(prometheus.CounterOpts(opts("accepted_total", "Catalogues accepted, by source.")), []string{"source"}),
		failed:   prometheus.NewCounterVec(prometheus.CounterOpts(opts("failures_total", "Failed calls to the store and to peers.")), []string{"call"}),
	}
	if r == nil {
		return m, nil
	}
	for _, c := range []prometheus.Collector{m.revision, m.rejected, m.accepted, m.failed} {
		if err := r.Register(c); err != nil {
			return nil, errorx.Decorate(err, "register catalogue metrics")
		}
	}
	return m, nil
}
