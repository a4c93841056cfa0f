package move

import (
	"math"

	"wasabiworks.example/wasabiworks/internal/decide/evidence"
)

const (
	// doubtThreshold is the ratio of the likelihoods of a bad and a good version from
	// which the new version is in doubt.
	doubtThreshold = 100
	// completeDoubtThreshold is the ratio at share 1, where each second costs as many
	// requests as most of the move before.
	completeDoubtThreshold = 10
	// unexplainedThreshold is the ratio above which failures are unexplained: a bad version
	// is likelier than a good one, and the share must not rise on it.
	unexplainedThreshold = 1
	// overallRequests is the weight, in requests, of the old version's rate of bad outcomes
	// on all routes in the rate of a route that has few requests of its own.
	overallRequests = 10
)

// doubtRule says when outcomes of a kind raise a doubt.
type doubtRule struct {
	// minBad is the number of bad outcomes below which there is no doubt: every system has
	// a failure now and then.
	minBad float64
	// minRate is the least rate of bad outcomes that a good version is taken to have.
	minRate float64
	// badRates are the rates that a bad version may have. Lower ones are left to the
	// e-value, which a few successes after a server's crash do not outweigh.
	badRates []float64
}

// Slowness needs more evidence: the first answers of each new server are slow, since its
// caches are cold, while most answers of a version that is several times slower are.
var doubtRules = [numKinds]doubtRule{
	failures: {minBad: 2, minRate: 0.01, badRates: []float64{0.2, 0.5, 1}},
	slowness: {minBad: 3, minRate: 0.2, badRates: []float64{0.6, 0.95}},
}

// Doubt is the evidence against the new version on the route on which it is strongest. It
// is no proof, unlike the e-value, and needs less evidence: on a route with little
// traffic, a short move ends before there is a proof. Good answers dispel a doubt.
type Doubt struct {
	// Route is empty if the evidence is that of all routes together.
	Route string
	// Slow is true if the bad outcomes are slow answers, and false if they are failures.
	Slow bool
	// Ratio is how much more likely the bad outcomes are if the version is bad than if it
	// is good, and 0 if there are none.
	Ratio float64
	// Requests and Bad count the requests and bad outcomes of the new version, OldRequests
	// and OldBad those of the old one.
	Requests, Bad, OldRequests, OldBad float64
}

// isDoubtful reports whether the version looks bad, for a move that has reached share 1
// or has not.
func (d *Doubt) isDoubtful(complete bool) bool {
	threshold := float64(doubtThreshold)
	if complete {
		threshold = completeDoubtThreshold
	}
	return d.Bad >= doubtRules[d.kind()].minBad && d.Ratio >= threshold
}

// isUnexplained reports whether the bad outcomes are better explained by a bad version
// than by a good one.
func (d *Doubt) isUnexplained() bool { return d.Ratio > unexplainedThreshold }

func (d *Doubt) kind() int {
	if d.Slow {
		return slowness
	}
	return failures
}

// routeCounts are, for each kind of bad outcome, the requests and bad outcomes on a route
// by version: 0 is the old one, 1 the new one.
type routeCounts struct{ requests, bad [numKinds][2]float64 }

// add adds the outcomes of a version in a step. Slow answers at share 1 are left out: the
// load differs from that before, and both versions may be slow under it.
func (n *routeCounts) add(version int, step uint8, c evidence.Count) {
	requests := float64(c.Answered) + float64(c.Failed)
	n.requests[failures][version] += requests
	n.bad[failures][version] += float64(c.Failed)
	if ShareOf(step) < 1 {
		n.requests[slowness][version] += requests
		n.bad[slowness][version] += float64(c.Slow)
	}
}

// exceeds reports whether the new version has had more than a share of all requests and
// a number of requests beyond that.
func (n *routeCounts) exceeds(share, requests float64) bool {
	all := n.requests[failures]
	return all[1] > share*(all[0]+all[1])+requests
}

// countRoutes sums the evidence of all known steps, by route and over all routes. The
// counts of the old version from before the move is complete are what the failures of
// the new one at share 1 are compared with.
func countRoutes(s *State) (byRoute map[string]*routeCounts, all routeCounts) {
	byRoute = make(map[string]*routeCounts)
	for k, c := range s.Evidence {
		version, ok := s.Plan.versionIndex(k.Version)
		if !ok || k.Step == 0 || k.Step > lastStep {
			continue
		}
		n := byRoute[k.Route]
		if n == nil {
			n = new(routeCounts)
			byRoute[k.Route] = n
		}
		n.add(version, k.Step, c)
		all.add(version, k.Step, c)
	}
	return byRoute, all
}

// strongestDoubt returns the doubt on the route on which it is strongest. Each route
// counts by itself, since the good answers on a frequent route would outweigh the bad
// ones on a rare one.
func strongestDoubt(byRoute map[string]*routeCounts, all *routeCounts) (strongest Doubt) {
	for kind := range numKinds {
		overall := all.bad[kind][0] / max(all.requests[kind][0], 1)
		if d := all.doubt(kind, overall); d.Ratio > strongest.Ratio {
			strongest = d
		}
		for route, n := range byRoute {
			d := n.doubt(kind, overall)
			d.Route = route
			if d.Ratio > strongest.Ratio || d.Ratio == strongest.Ratio && d.Ratio > 0 && d.Route < strongest.Route {
				strongest = d
			}
		}
	}
	return strongest
}

// doubt returns the doubt on a route for a kind of outcome, given the old version's rate
// of bad ones on all routes.
func (n *routeCounts) doubt(kind int, overall float64) Doubt {
	requests, bad := n.requests[kind], n.bad[kind]
	d := Doubt{Slow: kind == slowness, Requests: requests[1], Bad: bad[1], OldRequests: requests[0], OldBad: bad[0]}
	if d.Bad == 0 {
		return d
	}
	rule := &doubtRules[kind]
	rate := suspectRateRatio * (d.OldBad + overallRequests*overall) / (d.OldRequests + overallRequests)
	d.Ratio = badLikelihoodRatio(d.Requests, d.Bad, max(rate, rule.minRate), rule.badRates)
	return d
}

// isUnproved reports whether the new version has answered no request while the old one has
// answered many.
func isUnproved(cells []cell) bool {
	var oldAnswers, newAnswers float64
	for i := range cells {
		x := &cells[i]
		oldAnswers += x.requests[0] - x.bad[failures][0]
		newAnswers += x.requests[1] - x.bad[failures][1]
	}
	return newAnswers == 0 && oldAnswers >= minRequestsForRate
}

// badLikelihoodRatio returns how much more likely the bad outcomes are if the version has
// one of badRates than if it has the given rate.
func badLikelihoodRatio(requests, bad, rate float64, badRates []float64) float64 {
	sum := 0.0
	for _, b := range badRates {
		if b > rate {
			sum += math.Exp(min(100, bad*math.Log(b/rate)+(requests-bad)*math.Log((1-b)/(1-rate))))
		}
	}
	return sum / float64(len(badRates))
}
