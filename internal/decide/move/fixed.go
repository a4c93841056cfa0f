package move

import "time"

// FixedSteps raises the share at fixed times and rolls back at a fixed rate of
// failed or slow requests. It is the baseline.
type FixedSteps struct {
	// Shares are taken in equal parts of the time up to the margin; empty is
	// 2, 10, 25, 50 and 100%.
	Shares []float64
	// Failed and Slow are the rates of failed and of slow requests above which
	// the version is rolled back; 0 is 5% and 20%.
	Failed, Slow float64
	// Least is the number of requests before the threshold applies; 0 is 50.
	Least uint64
}

var fixedShares = []float64{0.02, 0.1, 0.25, 0.5, 1}

// Decide returns the share by the time and the rate of the new version.
func (p FixedSteps) Decide(s State, now time.Time) Decision {
	if s.Vetoed || p.exceeded(s) {
		return Decision{Phase: RolledBack, Veto: true, Reason: "threshold"}
	}
	shares := p.Shares
	if len(shares) == 0 {
		shares = fixedShares
	}
	part := progress(s.Plan, now)
	if part < 0 {
		return Decision{Reason: "not started"}
	}
	i := min(int(part*float64(len(shares)-1)), len(shares)-1)
	d := Decision{Share: shares[i], Reason: "schedule"}
	if d.Share >= 1 {
		d.Phase = Done
	}
	return d
}

func (p FixedSteps) exceeded(s State) bool {
	failed, slow, least := p.Failed, p.Slow, p.Least
	if failed == 0 {
		failed = 0.05
	}
	if slow == 0 {
		slow = 0.2
	}
	if least == 0 {
		least = 50
	}
	var n, nFailed, nSlow uint64
	for k, c := range s.Evidence {
		if k.Version == s.Plan.To {
			n += c.Answered + c.Failed
			nFailed += c.Failed
			nSlow += c.Slow
		}
	}
	return n >= least && (float64(nFailed) > failed*float64(n) || float64(nSlow) > slow*float64(n))
}
