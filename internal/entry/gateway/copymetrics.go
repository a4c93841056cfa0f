package gateway

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// registerCopyMetrics registers the version of the configuration in force, and the age and
// the era of the copy of the store.
func (f *Instance) registerCopyMetrics() error {
	version := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "forward_configuration_version", Help: "Version of the configuration in force; 0 if there is none.",
	}, func() float64 { return float64(f.configurationRevision()) })
	age := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "follower_copy_age_seconds", Help: "Time since the copy of the store was last known to be complete; -1 if it never was.",
	}, func() float64 {
		confirmed := f.follower.Confirmed()
		if confirmed.IsZero() {
			return -1
		}
		return f.now().Sub(confirmed).Seconds()
	})
	era := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "follower_store_era", Help: "Latest era of the store that the copy belonged to; it rises when the store comes back from a copy.",
	}, func() float64 { return float64(f.follower.Era()) })
	return errors.Join(f.registry.Register(version), f.registry.Register(age), f.registry.Register(era))
}
