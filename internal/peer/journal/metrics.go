package journal

import (
	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"

	"wasabiworks.example/wasabiworks/internal/decide/journal"
)

type metrics struct {
	writes, reads, conflicts, unknownWrites, failedBatches, dropped, ownerFailures prometheus.Counter
	batchSize                                                                      prometheus.Histogram
	results                                                                        *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) (*metrics, error) {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "wasabiworks", Subsystem: "journal", Name: name, Help: help})
	}
	m := &metrics{
		writes:        counter("store_writes_total", "Writes of shards to the store."),
		reads:         counter("store_reads_total", "Reads of shards from the store."),
		conflicts:     counter("conflicts_total", "Writes that another instance's write made fail."),
		unknownWrites: counter("unknown_writes_total", "Writes whose answer was lost."),
		failedBatches: counter("failed_batches_total", "Batches that failed."),
		dropped:       counter("dropped_total", "Background operations dropped because too many wait."),
		ownerFailures: counter("owner_failures_total", "Calls to a shard's owner that failed."),
		batchSize: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "wasabiworks", Subsystem: "journal", Name: "batch_operations",
			Help: "Operations per batch.", Buckets: prometheus.ExponentialBuckets(1, 2, 11),
		}),
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "wasabiworks", Subsystem: "journal", Name: "reservations_total", Help: "Reservations by result.",
		}, []string{"result"}),
	}
	if r == nil {
		return m, nil
	}
	for _, c := range []prometheus.Collector{m.writes, m.reads, m.conflicts, m.unknownWrites, m.failedBatches, m.dropped, m.ownerFailures, m.batchSize, m.results} {
		if err := r.Register(c); err != nil {
			return nil, errorx.Decorate(err, "register journal metrics")
		}
	}
	return m, nil
}

func (m *metrics) countReservation(s journal.Status) { m.results.WithLabelValues(s.String()).Inc() }
