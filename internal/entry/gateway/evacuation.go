package gateway

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/decide/evacuation"
	"wasabiworks.example/wasabiworks/internal/platform/follow"
	"wasabiworks.example/wasabiworks/internal/platform/store"
)

const (
	// maxReportedEvacuations bounds the invalid evacuation keys that are logged.
	maxReportedEvacuations = 64
	// maxLoggedKeyBytes bounds an invalid key in a log line.
	maxLoggedKeyBytes = 64
)

// applyEvacuation collects a change of an evacuation key for publishEvacuations.
func (f *Instance) applyEvacuation(item store.Item) {
	domain, err := f.config.Format.DecodeEvacuation(item.Key, item.Value)
	switch {
	case item.Removed:
	case domain == "":
		f.reportEvacuation(item, "ignoring evacuation key without a usable domain name", err)
	case err != nil:
		f.reportEvacuation(item, "ignoring invalid value of an evacuation; the domain is evacuated all the same", err)
	}
	if domain != "" {
		f.evacuationUpdate.Changes = append(f.evacuationUpdate.Changes, evacuation.Change{Domain: domain, Revision: item.Revision, Removed: item.Removed})
	}
}

// reportEvacuation logs why an evacuation key is invalid, once for each revision.
func (f *Instance) reportEvacuation(item store.Item, message string, err error) {
	reported, known := f.reportedEvacuations[item.Key]
	if reported >= item.Revision || !known && len(f.reportedEvacuations) >= maxReportedEvacuations {
		return
	}
	f.reportedEvacuations[item.Key] = item.Revision
	f.config.Log.Warn(message, zap.String("key", item.Key[:min(len(item.Key), maxLoggedKeyBytes)]), zap.Int64("revision", item.Revision), zap.Error(err))
}

// publishEvacuations passes the collected changes of evacuation keys on to the pool.
func (f *Instance) publishEvacuations(c follow.Change) {
	u := f.evacuationUpdate
	f.evacuationUpdate = evacuation.Update{}
	u.Complete, u.Revision = c.Complete, c.Revision
	before := f.pool.EvacuatedDomains()
	if len(u.Changes) == 0 && (!u.Complete || before == nil) {
		return
	}
	next, transitions := before.Apply(u, f.now())
	f.pool.SetEvacuatedDomains(next)
	for _, t := range transitions {
		message := "failure domain returned to service"
		if t.Evacuated {
			message = "failure domain evacuated"
		}
		f.config.Log.Info(message, zap.String("domain", t.Domain), zap.Int64("revision", t.Revision), zap.Int("running", f.runningIn(t.Domain)))
	}
}

// runningIn returns the number of requests of this instance that are running on servers
// of a failure domain.
func (f *Instance) runningIn(domain string) (running int) {
	for _, ws := range f.pool.Services() {
		for _, w := range ws {
			if w.FailureDomain == domain {
				running += w.Running()
			}
		}
	}
	return running
}

// registerEvacuationMetrics registers the number of evacuated failure domains and of the
// requests that are still running there.
func (f *Instance) registerEvacuationMetrics() error {
	domains := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "forward_evacuated_domains", Help: "Failure domains that are evacuated."},
		func() float64 { return float64(len(f.pool.EvacuatedDomains().Domains())) })
	running := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "forward_evacuated_requests", Help: "Requests that are running on servers of evacuated failure domains."},
		func() float64 {
			n := 0
			for _, domain := range f.pool.EvacuatedDomains().Domains() {
				n += f.runningIn(domain)
			}
			return float64(n)
		})
	if err := f.registry.Register(domains); err != nil {
		return err
	}
	return f.registry.Register(running)
}
