package gateway

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Cloud makes the calls that only the holder of the duty may make. fence is the
// holder's fencing token.
type Cloud interface {
	// ReportUsage reports, for each workspace, the number of requests that began in
	// a window. window is the index of the window, counted from the Unix epoch.
	ReportUsage(ctx context.Context, fence int64, window int64, counts map[string]int64) error
	// SetCapacity sets the desired number of ordinary or reclaimable servers of a service
	// in a failure domain.
	SetCapacity(ctx context.Context, fence int64, service, domain string, desired int, reclaimable bool) error
}

// measuredCloud records the duration and outcome of the calls to a Cloud.
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

func (m *measuredCloud) observe(call string, start time.Time, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	m.seconds.WithLabelValues(call, outcome).Observe(time.Since(start).Seconds())
}

// ReportUsage implements Cloud.
func (m *measuredCloud) ReportUsage(ctx context.Context, fence int64, window int64, counts map[string]int64) (err error) {
	defer func(start time.Time) { m.observe("report-usage", start, err) }(time.Now())
	return m.cloud.ReportUsage(ctx, fence, window, counts)
}

// SetCapacity implements Cloud.
func (m *measuredCloud) SetCapacity(ctx context.Context, fence int64, service, domain string, desired int, reclaimable bool) (err error) {
	defer func(start time.Time) { m.observe("order", start, err) }(time.Now())
	return m.cloud.SetCapacity(ctx, fence, service, domain, desired, reclaimable)
}
