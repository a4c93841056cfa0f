package forward

import (
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/admission"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

const (
	// unknownServiceFraction is the fraction of a route's objective that its requests are
	// expected to take while there are no samples.
	unknownServiceFraction = 0.25
	// minServiceFraction is the least such fraction. An attempt with less time than that
	// is no attempt to serve the request.
	minServiceFraction = 0.1
)

// serviceTimes estimates the times from sending a request to its first event.
type serviceTimes struct{ routes sync.Map } // route name to *admission.Estimate

// observe adds a sample of a route.
func (s *serviceTimes) observe(r *routes.Route, d time.Duration) {
	v, ok := s.routes.Load(r.Name)
	if !ok {
		v, _ = s.routes.LoadOrStore(r.Name, new(admission.Estimate))
	}
	v.(*admission.Estimate).Observe(d)
}

// expected returns the time that a request of a route is expected to take, no longer than
// the objective.
func (s *serviceTimes) expected(r *routes.Route) time.Duration {
	objective := float64(r.Objective)
	v, ok := s.routes.Load(r.Name)
	if !ok {
		return time.Duration(unknownServiceFraction * objective)
	}
	return time.Duration(min(max(float64(v.(*admission.Estimate).Value()), minServiceFraction*objective), objective))
}
