package forward

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/decide/speed"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

const (
	// minGapEvents is the number of events from which a stream shows the speed of its
	// server.
	minGapEvents = 4
	// maxBlockedFraction is the part of the time between events that the client may
	// have caused if they show the speed of the server.
	maxBlockedFraction = 0.25
	// latencyAllowance is added to the time until a response, so that servers in other
	// failure domains don't seem slow because of the latency to them, which is a few
	// milliseconds.
	latencyAllowance = 10 * time.Millisecond
)

// learn adds a sample of the speed of the server of an attempt.
func (e *exchange) learn(a *attempt, kind speed.Kind, d time.Duration, minimum bool) {
	class := speed.Class{Service: e.service, Route: e.route.Name, Kind: kind}
	if kind == speed.FirstEvent {
		class.Size = speed.SizeClass(a.uncachedTokens)
	}
	if kind != speed.EventGap {
		d += latencyAllowance
	}
	e.baselines.Add(&a.server.Speed, speed.Sample{Class: class, Duration: d, Minimum: minimum}, e.config.Now())
}

// learnFromFirstEvent learns from the time to the first event of a stream. It depends on
// other servers if this one fetched a part of its cache, or continues their stream.
func (e *exchange) learnFromFirstEvent(a *attempt) {
	if a.cacheSource == nil && !e.streamStarted {
		e.learn(a, speed.FirstEvent, a.pace.first.Sub(a.sentAt), false)
	}
}

// learnFromGaps learns from the time between the first events of a stream, unless the
// client delayed them.
func (e *exchange) learnFromGaps(a *attempt) {
	if float64(a.pace.blocked) <= maxBlockedFraction*float64(a.pace.last.Sub(a.pace.first)) {
		e.learn(a, speed.EventGap, a.pace.meanGap(), false)
	}
}

// learnFromEnd learns from an attempt that has ended: from a stream that was too short
// for learnFromGaps, from a response that is no stream, and from a request that was
// given up without a response. Servers that fail requests may do so fast.
func (e *exchange) learnFromEnd(a *attempt) {
	switch {
	case a.outcome == outcomeAnswered && a.isStream:
		if a.pace.events >= minGapEvents && a.pace.events < paceEvents {
			e.learnFromGaps(a)
		}
	case a.outcome == outcomeAnswered:
		if a.pace.events > 0 && a.status < http.StatusMultipleChoices {
			e.learn(a, speed.Response, a.pace.first.Sub(a.sentAt), false)
		}
	case a.outcome == outcomeLost && a.pace.events == 0 && a.cacheSource == nil && !e.failedByLinks(a):
		kind := speed.Response
		if e.route.Kind == routes.Streaming {
			kind = speed.FirstEvent
		}
		e.learn(a, kind, a.took, true)
	}
}

// speedCollector collects the lowest and the highest speed of each service's servers.
type speedCollector struct {
	pool *pool.Pool
	now  func() time.Time
}

var speedDesc = prometheus.NewDesc("forward_server_speed", "Lowest and highest speed of a service's servers, relative to their mean.", []string{"service", "bound"}, nil)

// Describe implements prometheus.Collector.
func (c speedCollector) Describe(ch chan<- *prometheus.Desc) { ch <- speedDesc }

// Collect implements prometheus.Collector.
func (c speedCollector) Collect(ch chan<- prometheus.Metric) {
	now := c.now()
	for service, servers := range c.pool.Services() {
		lowest, highest := speed.Max, speed.Min
		for _, s := range servers {
			v := s.Speed.At(now)
			lowest, highest = min(lowest, v), max(highest, v)
		}
		ch <- prometheus.MustNewConstMetric(speedDesc, prometheus.GaugeValue, lowest, service, "lowest")
		ch <- prometheus.MustNewConstMetric(speedDesc, prometheus.GaugeValue, highest, service, "highest")
	}
}
