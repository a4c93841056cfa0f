package store

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// WithMetrics wraps a store and registers a histogram of the duration of its calls by
// call and outcome.
func WithMetrics(s Store, r prometheus.Registerer) (Store, error) {
	m := &measuredStore{store: s, seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "store_call_seconds", Help: "Calls to the key-value store by call and outcome; a watch waits for changes.",
		Buckets: prometheus.ExponentialBuckets(0.002, 2, 12),
	}, []string{"call", "outcome"})}
	return m, r.Register(m.seconds)
}

type measuredStore struct {
	store   Store
	seconds *prometheus.HistogramVec
}

// outcomeLabels maps errors to values of the label "outcome". The first match
// applies.
var outcomeLabels = []struct {
	err  error
	name string
}{
	{ErrCompacted, "compacted"}, {ErrConflict, "conflict"}, {ErrLeaseEnded, "lease-ended"}, {ErrAbsent, "absent"},
	{ErrUnavailable, "unavailable"}, {ErrUnknown, "unknown"},
}

// observe records the duration and outcome of a call that began at start.
func (m *measuredStore) observe(call string, start time.Time, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "other"
	}
	for _, o := range outcomeLabels {
		if errors.Is(err, o.err) {
			outcome = o.name
			break
		}
	}
	m.seconds.WithLabelValues(call, outcome).Observe(time.Since(start).Seconds())
}

// Get implements Store.
func (m *measuredStore) Get(ctx context.Context, key string) (item Item, err error) {
	defer func(start time.Time) { m.observe("get", start, err) }(time.Now())
	return m.store.Get(ctx, key)
}

// List implements Store.
func (m *measuredStore) List(ctx context.Context, prefix string) (items []Item, next int64, err error) {
	defer func(start time.Time) { m.observe("list", start, err) }(time.Now())
	return m.store.List(ctx, prefix)
}

// ListStale implements Store.
func (m *measuredStore) ListStale(ctx context.Context, prefix string) (items []Item, next int64, err error) {
	defer func(start time.Time) { m.observe("list-stale", start, err) }(time.Now())
	return m.store.ListStale(ctx, prefix)
}

// Watch implements Store.
func (m *measuredStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (items []Item, next int64, err error) {
	defer func(start time.Time) { m.observe("watch", start, err) }(time.Now())
	return m.store.Watch(ctx, prefix, after, wait)
}

// Commit implements Store.
func (m *measuredStore) Commit(ctx context.Context, c Commit) (revision int64, err error) {
	defer func(start time.Time) { m.observe("commit", start, err) }(time.Now())
	return m.store.Commit(ctx, c)
}

// GrantLease implements Store.
func (m *measuredStore) GrantLease(ctx context.Context, ttl time.Duration) (lease int64, granted time.Duration, err error) {
	defer func(start time.Time) { m.observe("grant", start, err) }(time.Now())
	return m.store.GrantLease(ctx, ttl)
}

// RenewLease implements Store.
func (m *measuredStore) RenewLease(ctx context.Context, lease int64) (err error) {
	defer func(start time.Time) { m.observe("renew", start, err) }(time.Now())
	return m.store.RenewLease(ctx, lease)
}

// EndLease implements Store.
func (m *measuredStore) EndLease(ctx context.Context, lease int64) (err error) {
	defer func(start time.Time) { m.observe("end", start, err) }(time.Now())
	return m.store.EndLease(ctx, lease)
}
