package move

import "time"

// FixedSteps raises the traffic share at fixed times and rolls back when the
// rate of failed or slow requests exceeds a fixed threshold. It is the baseline
// that other policies are compared with.
type FixedSteps struct {
	// Shares are the traffic shares, spread evenly over the time from the start
	// of the move to a tenth of its time before the deadline; empty means 2, 10,
	// 25, 50 and 100%.
	Shares []float64
	// MaxFailureRate and MaxSlowRate are the rates of failed and slow requests
	// above which the version is rolled back; 0 means 5% and 20%.
	MaxFailureRate, MaxSlowRate float64
	// MinRequests is the lowest number of requests to the new version at which
	// the thresholds apply; 0 means 50.
	MinRequests uint64
}

var defaultShares = []float64{0.02, 0.1, 0.25, 0.5, 1}

// Decide returns the share due at now, or a rollback if the move is vetoed or
// the new version exceeds a threshold.
func (p FixedSteps) Decide(s State, now time.Time) Decision {
	if s.Vetoed || p.thresholdExceeded(s) {
		return Decision{Phase: RolledBack, Veto: true, Reason: "threshold"}
	}
	shares := p.Shares
	if len(shares) == 0 {
		shares = defaultShares
	}
	elapsed := progress(s.Plan, now)
	if elapsed < 0 {
		return Decision{Reason: "not started"}
	}
	i := min(int(elapsed*float64(len(shares)-1)), len(shares)-1)
	d := Decision{Share: shares[i], Reason: "schedule"}
	if d.Share >= 1 {
		d.Phase = Done
	}
	return d
}

func (p FixedSteps) thresholdExceeded(s State) bool {
	maxFailureRate, maxSlowRate, minRequests := p.MaxFailureRate, p.MaxSlowRate, p.MinRequests
	if maxFailureRate == 0 {
		maxFailureRate = 0.05
	}
	if maxSlowRate == 0 {
		maxSlowRate = 0.2
	}
	if minRequests == 0 {
		minRequests = 50
	}
	var requests, failed, slow uint64
	for k, c := range s.Evidence {
		if k.Version == s.Plan.To {
			requests += c.Answered + c.Failed
			failed += c.Failed
			slow += c.Slow
		}
	}
	return requests >= minRequests && (float64(failed) > maxFailureRate*float64(requests) || float64(slow) > maxSlowRate*float64(requests))
}
