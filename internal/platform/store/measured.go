package store

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Measured returns a store that counts the calls of another and observes how
// long they take, by call and outcome.
func Measured(s Store, r prometheus.Registerer) (Store, error) {
	m := &measured{store: s, seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "store_call_seconds", Help: "Calls to the key-value store by call and outcome; a watch waits for changes.",
		Buckets: prometheus.ExponentialBuckets(0.002, 2, 12),
	}, []string{"call", "outcome"})}
	return m, r.Register(m.seconds)
}

type measured struct {
	store   Store
	seconds *prometheus.HistogramVec
}

// outcomes names the errors of calls for the label of the histogram.
var outcomes = []struct {
	err  error
	name string
}{
	{ErrCompacted, "compacted"}, {ErrConflict, "conflict"}, {ErrLeaseEnded, "lease-ended"}, {ErrAbsent, "absent"},
	{ErrUnavailable, "unavailable"}, {ErrUnknown, "unknown"},
}

// observe records a call that began at a time.
func (m *measured) observe(call string, began time.Time, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "other"
	}
	for _, o := range outcomes {
		if errors.Is(err, o.err) {
			outcome = o.name
			break
		}
	}
	m.seconds.WithLabelValues(call, outcome).Observe(time.Since(began).Seconds())
}

// Get implements Store.
func (m *measured) Get(ctx context.Context, key string) (item Item, err error) {
	defer func(began time.Time) { m.observe("get", began, err) }(time.Now())
	return m.store.Get(ctx, key)
}

// List implements Store.
func (m *measured) List(ctx context.Context, prefix string) (items []Item, next int64, err error) {
	defer func(began time.Time) { m.observe("list", began, err) }(time.Now())
	return m.store.List(ctx, prefix)
}

// Watch implements Store.
func (m *measured) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (items []Item, next int64, err error) {
	defer func(began time.Time) { m.observe("watch", began, err) }(time.Now())
	return m.store.Watch(ctx, prefix, after, wait)
}

// Commit implements Store.
func (m *measured) Commit(ctx context.Context, c Commit) (revision int64, err error) {
	defer func(began time.Time) { m.observe("commit", began, err) }(time.Now())
	return m.store.Commit(ctx, c)
}

// Grant implements Store.
func (m *measured) Grant(ctx context.Context, ttl time.Duration) (lease int64, granted time.Duration, err error) {
	defer func(began time.Time) { m.observe("grant", began, err) }(time.Now())
	return m.store.Grant(ctx, ttl)
}

// Renew implements Store.
func (m *measured) Renew(ctx context.Context, lease int64) (err error) {
	defer func(began time.Time) { m.observe("renew", began, err) }(time.Now())
	return m.store.Renew(ctx, lease)
}

// End implements Store.
func (m *measured) End(ctx context.Context, lease int64) (err error) {
	defer func(began time.Time) { m.observe("end", began, err) }(time.Now())
	return m.store.End(ctx, lease)
}
