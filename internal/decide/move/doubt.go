package move

import "math"

const (
	// doubtThreshold is the ratio of the likelihoods of a bad and a good version from
	// which the move waits for more evidence.
	doubtThreshold = 100
	// minDoubtfulOutcomes is the number of failures below which there is no doubt: every
	// system has a failure now and then.
	minDoubtfulOutcomes = 2
	// minFailureRate is the least failure rate that a good version is taken to have.
	minFailureRate = 0.01
	// overallRequests is the weight, in requests, of the old version's failure rate on
	// all routes in the rate of a group that has few requests of its own.
	overallRequests = 10
)

// badFailureRates are the failure rates that a bad version may have. Lower ones are left
// to the e-value, which a few successes after a server's crash do not outweigh.
var badFailureRates = [...]float64{0.2, 0.5, 1}

// isDoubtful reports whether the new version looks bad on a bucket of routes or on all of
// them. It is no proof, unlike the e-value, and needs less evidence: on a route with
// little traffic, a short move ends before there is a proof. Successes dispel a doubt.
func isDoubtful(cells []cell) bool {
	var oldCounts, newCounts [1 + numBuckets][2]float64 // requests, failures; index 0 is overall
	for i := range cells {
		x := &cells[i]
		if x.step == 0 || ShareOf(x.step) == 1 {
			continue // nothing is compared
		}
		for _, g := range [...]int{0, 1 + x.stratum.bucket()} {
			addCounts(&oldCounts[g], [2]float64{x.requests[0], x.bad[failures][0]})
			addCounts(&newCounts[g], [2]float64{x.requests[1], x.bad[failures][1]})
		}
	}
	overall := badRate(oldCounts[0], 1)
	for g, n := range newCounts {
		o := oldCounts[g]
		rate := suspectRateRatio * (o[1] + overallRequests*overall) / (o[0] + overallRequests)
		if n[1] >= minDoubtfulOutcomes && badLikelihoodRatio(n[0], n[1], max(rate, minFailureRate)) >= doubtThreshold {
			return true
		}
	}
	return false
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

// badLikelihoodRatio returns how much more likely the failures are if the version is bad
// than if it has the given failure rate.
func badLikelihoodRatio(requests, failures, rate float64) float64 {
	sum := 0.0
	for _, bad := range badFailureRates {
		if bad > rate {
			sum += math.Exp(min(100, failures*math.Log(bad/rate)+(requests-failures)*math.Log((1-bad)/(1-rate))))
		}
	}
	return sum / float64(len(badFailureRates))
}
