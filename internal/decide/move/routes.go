package move

import (
	"cmp"
	"slices"
)

// maxRouteShare is the highest share of the new version on a route that gets more than
// the share of the step. Above it the old version has too few requests to compare with.
const maxRouteShare = 0.5

// routeShares divides a share of all requests between the routes, so that each route has
// as many requests to the new version as the others, as far as maxRouteShare allows. At
// one share for all, a route with little traffic yields no evidence before the deadline.
// It returns nil while there are too few requests to know the routes.
func routeShares(s *State, share float64) map[string]float64 {
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
	routes := make([]string, 0, len(requests))
	for r, n := range requests {
		if n > 0 {
			routes = append(routes, r)
		}
	}
	slices.SortFunc(routes, func(a, b string) int { return cmp.Or(cmp.Compare(requests[a], requests[b]), cmp.Compare(a, b)) })
	shares, left := make(map[string]float64, len(routes)), share*total
	for i, r := range routes {
		given := min(left/float64(len(routes)-i), maxRouteShare*requests[r])
		shares[r] = given / requests[r]
		left -= given
	}
	return shares
}
