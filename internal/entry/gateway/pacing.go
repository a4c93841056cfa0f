package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/decide/pacing"
	"wasabiworks.example/wasabiworks/internal/platform/wait"
)

// sendersPeriod is the time between two updates of the instances among which the requests to
// limited servers, and those to brittle ones without a claim, are divided.
const sendersPeriod = 200 * time.Millisecond

// updateSenders periodically passes the live instances on to the pool while servers limit
// their requests, and removes limits that have expired, until ctx ends.
func (f *Instance) updateSenders(ctx context.Context) {
	var current []pacing.Instance
	wait.Every(ctx, sendersPeriod, func() {
		limits := f.pool.Limits()
		if limits.Len() == 0 && !f.pool.HasBrittle() {
			return
		}
		limits.Expire(time.Now())
		live := f.liveInstances()
		if slices.Equal(live, current) {
			return
		}
		current = live
		f.pool.SetSenders(&pool.Senders{Self: f.config.ID, Live: live})
		f.handler.StateChanged()
	})
}

// liveInstances returns the live instances, in the order of their IDs.
func (f *Instance) liveInstances() (live []pacing.Instance) {
	for _, id := range f.members.Live("", time.Now()) {
		if m, ok := f.members.Member(id); ok {
			live = append(live, pacing.Instance{ID: id, FailureDomain: m.FailureDomain})
		}
	}
	return live
}

// registerPacingMetrics registers the number of servers that limit their requests, and of the
// requests sent to them.
func (f *Instance) registerPacingMetrics() error {
	servers := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "forward_limited_servers", Help: "Backend servers that limit the requests of all instances."},
		func() float64 { return float64(f.pool.Limits().Len()) })
	sends := prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "forward_limited_sends_total", Help: "Requests sent to backend servers that limit them."},
		func() float64 { return float64(f.pool.PacedSends()) })
	return errors.Join(f.registry.Register(servers), f.registry.Register(sends))
}
