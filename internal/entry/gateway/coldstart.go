package gateway

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/decide/coldstart"
)

// publishColdStart passes the limits for cold servers and the registered instances on to
// the pool.
func (f *Instance) publishColdStart() {
	if registered := f.registeredSnapshot.Load(); registered != nil {
		instances := make([]coldstart.Instance, 0, len(*registered))
		for _, m := range *registered {
			instances = append(instances, coldstart.Instance{ID: m.ID, FailureDomain: m.FailureDomain})
		}
		f.rosters = f.rosters.Replace(instances, f.now())
	}
	limits := make(map[string]coldstart.Limit)
	if table := f.currentTable(); table != nil {
		for i := range table.Services {
			if s := &table.Services[i]; s.ColdRate > 0 {
				limits[s.Name] = coldstart.Limit{Rate: s.ColdRate, ColdTime: s.ColdTime}
			}
		}
	}
	f.pool.SetColdStart(&pool.ColdStart{
		Limits: limits, Self: f.config.ID, Rosters: f.rosters, Confirmed: f.follower.Confirmed,
		IsLive: func(id string) bool { return f.members.IsLive(id, time.Now()) },
	})
}

// registerColdMetrics registers the number of cold servers and of the requests sent to
// them.
func (f *Instance) registerColdMetrics() error {
	servers := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "forward_cold_servers", Help: "Backend servers whose requests are limited because they are cold."},
		func() float64 { return float64(f.pool.ColdServers(f.now())) })
	sends := prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "forward_cold_sends_total", Help: "Requests sent to cold backend servers."},
		func() float64 { return float64(f.pool.ColdSends()) })
	return errors.Join(f.registry.Register(servers), f.registry.Register(sends))
}
