package front

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Cloud carries out the calls that are the duty of one instance at a time.
type Cloud interface {
	// ReportUsage reports the requests of each workspace that began in a window.
	ReportUsage(ctx context.Context, fence int64, window int64, counts map[string]int64) error
	// Order asks for a number of servers of a service in a failure domain.
	Order(ctx context.Context, fence int64, service, domain string, desired int, reclaimable bool) error
}

// measuredCloud counts the calls of a Cloud and observes how long they take.
type measuredCloud struct {
	cloud   Cloud
	seconds *prometheus.HistogramVec
}

func newMeasuredCloud(c Cloud, r prometheus.Registerer) (*measuredCloud, error) {
	m := &measuredCloud{cloud: c, seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "cloud_call_seconds", Help: "Calls to the cloud API by call and outcome.",
		Buckets: prometheus.ExponentialBuckets(0.002, 2, 12),
	}, []string{"call", "outcome"})}
	return m, r.Register(m.seconds)
}

func (m *measuredCloud) observe(call string, began time.Time, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	m.seconds.WithLabelValues(call, outcome).Observe(time.Since(began).Seconds())
}

// ReportUsage implements Cloud.
func (m *measuredCloud) ReportUsage(ctx context.Context, fence int64, window int64, counts map[string]int64) (err error) {
	defer func(began time.Time) { m.observe("report-usage", began, err) }(time.Now())
	return m.cloud.ReportUsage(ctx, fence, window, counts)
}

// Order implements Cloud.
func (m *measuredCloud) Order(ctx context.Context, fence int64, service, domain string, desired int, reclaimable bool) (err error) {
	defer func(began time.Time) { m.observe("order", began, err) }(time.Now())
	return m.cloud.Order(ctx, fence, service, domain, desired, reclaimable)
}
