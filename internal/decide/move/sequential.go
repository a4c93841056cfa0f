package move

import "time"

// Sequential raises the share with time and rolls back when the new version is
// worse than the old one. The zero value is ready.
type Sequential struct{}

var stepShares = []float64{0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 0.85, 1}

// Decide returns the share of the new version.
func (Sequential) Decide(s State, now time.Time) Decision {
	if s.Vetoed || worse(s) {
		return Decision{Phase: TakenBack, Veto: true, Reason: "worse than the old version"}
	}
	part := progress(s.Plan, now)
	if part < 0 {
		return Decision{Reason: "not started"}
	}
	d := Decision{Share: stepShares[min(int(part*float64(len(stepShares)-1)), len(stepShares)-1)], Reason: "schedule"}
	if d.Share >= 1 {
		d.Phase = Done
	}
	return d
}

// worse compares the rates of both versions with a fixed margin.
func worse(s State) bool {
	var n, bad [2]float64
	for k, c := range s.Evidence {
		i := 0
		if k.Version == s.Plan.To {
			i = 1
		}
		n[i] += float64(c.Answered + c.Failed)
		bad[i] += float64(c.Failed + c.Slow)
	}
	return n[1] >= 50 && bad[1]/n[1] > 2*bad[0]/max(n[0], 1)+0.05
}
