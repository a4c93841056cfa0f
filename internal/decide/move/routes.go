package move

import "time"

const (
	// minRouteRequests is the number of requests that a route should send to the new
	// version before the share rises for good: a version that fails half of them is then
	// in doubt with a probability of 99 in 100.
	minRouteRequests = 20
	// maxRouteShare is the highest share of the new version on a route that gets more
	// than the share of the step. Above it the old version has too few requests to
	// compare with.
	maxRouteShare = 0.8
	// maxExtraShare bounds what routes get beyond the share of the step, as a fraction of
	// all requests.
	maxExtraShare = 0.03
)

// routeShares returns higher shares for the routes with so little traffic that the steps
// would yield no evidence on them before the share rises for good. It returns nil if there
// are none, or too few requests to know.
//
// Routes with more traffic keep the share of the step: if long prompts reached the new
// version more often than short ones, its first servers would keep most cached prefixes,
// and get most of the requests with them later.
func routeShares(s *State, share float64, now time.Time) map[string]float64 {
	if share <= 0 || share >= maxRouteShare {
		return nil
	}
	requests, total := make(map[string]float64), 0.0
	for k, c := range s.Evidence {
		n := float64(c.Answered) + float64(c.Failed)
		requests[k.Route] += n
		total += n
	}
	if total < minRequestsForRate {
		return nil
	}
	// scale is the ratio of the time in which evidence is collected to that elapsed.
	scale := lastStepsAt * (1 - deadlineMargin) * float64(s.Plan.Deadline.Sub(s.Plan.Start)) / max(1, float64(now.Sub(s.Plan.Start)))
	var shares map[string]float64
	extra := 0.0
	for route, n := range requests {
		needed := min(maxRouteShare, minRouteRequests/max(1, n*scale))
		if n == 0 || needed <= max(share, evidenceShare) {
			continue
		}
		if shares == nil {
			shares = make(map[string]float64)
		}
		shares[route] = needed
		extra += (needed - share) * n / total
	}
	if extra <= maxExtraShare {
		return shares
	}
	for route, needed := range shares {
		shares[route] = share + (needed-share)*maxExtraShare/extra
	}
	return shares
}
