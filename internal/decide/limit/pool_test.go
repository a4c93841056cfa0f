package limit

import (
	"testing"
	"time"
)

// Guards against a pool that admits small uses while it refuses large ones: both are
// admitted while units are left, and a large one leaves a debt.
func TestPoolAdmitsLargeUsesAsOftenAsSmallOnes(t *testing.T) {
	var p Pool
	p.Set(PoolLimits{Rate: 25_000, Income: 25_000, Burst: 40_000, MaxDebt: 18_000}, epoch)
	asked, served := map[float64]int{}, map[float64]int{}
	for at := time.Duration(0); at < time.Minute; at += 50 * time.Millisecond {
		units := 17_000.0
		if at/(50*time.Millisecond)%2 == 0 {
			units = 1_500
		}
		now := epoch.Add(at)
		u := Use{Units: units}
		p.Record(u, now)
		asked[units]++
		if p.Take(u, 0, now) == 0 {
			served[units]++
		}
	}
	large, small := float64(served[17_000])/float64(asked[17_000]), float64(served[1_500])/float64(asked[1_500])
	if large < 0.75*small || large == 0 {
		t.Errorf("%.2f of the large and %.2f of the small uses admitted, want at least 0.75 as many", large, small)
	}
}

// Guards against less urgent uses that displace more urgent ones under overload, and
// against a reserve that starves the less urgent or refuses them while there is enough.
func TestPoolPrefersUrgentUses(t *testing.T) {
	for _, tt := range []struct {
		name             string
		load             float64 // requested units as a multiple of the rate
		least, most      float64 // fraction of the least urgent uses admitted
		urgentAdvantage  float64 // least ratio of the admitted fractions
		leastMostUrgent  float64
		mostUrgentIsIdle bool
	}{
		{name: "below the rate", load: 0.8, least: 1, most: 1, urgentAdvantage: 1, leastMostUrgent: 1},
		{name: "three times the rate", load: 3, least: 0.1, most: 0.6, urgentAdvantage: 1.2, leastMostUrgent: 0.3},
		{name: "no urgent uses", load: 2, least: 0.48, most: 0.6, mostUrgentIsIdle: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			const rate, step = 100_000.0, 10 * time.Millisecond
			var p Pool
			p.Set(PoolLimits{Rate: rate, Income: rate, Burst: rate, MaxDebt: 18_000}, epoch)
			var asked, served [Urgencies]float64
			due := 0.0
			for at, n := time.Duration(0), 0; at < 30*time.Second; at += step {
				now := epoch.Add(at)
				for due += tt.load * rate * step.Seconds(); due > 0; due -= 2_000 {
					u := Use{Units: 2_000, Urgency: n % 2 * 5}
					if tt.mostUrgentIsIdle {
						u.Urgency = 5
					}
					n++
					p.Record(u, now)
					wait := p.Take(u, 0, now)
					if at < 5*time.Second {
						continue
					}
					asked[u.Urgency]++
					if wait == 0 {
						served[u.Urgency]++
					}
				}
			}
			least := served[5] / asked[5]
			if least < tt.least || least > tt.most {
				t.Errorf("%.2f of the less urgent uses admitted, want %v to %v", least, tt.least, tt.most)
			}
			if tt.mostUrgentIsIdle {
				return
			}
			if urgent := served[0] / asked[0]; urgent < tt.leastMostUrgent || urgent < tt.urgentAdvantage*least {
				t.Errorf("%.2f of the urgent and %.2f of the less urgent uses admitted, want at least %v and %v times as many", urgent, least, tt.leastMostUrgent, tt.urgentAdvantage)
			}
		})
	}
}

// Guards against a pool that admits large uses for more than it holds: over many uses
// it admits what they pay.
func TestPoolDrawsForLargeUses(t *testing.T) {
	var p Pool
	p.Set(PoolLimits{Rate: 1_000, Income: 1_000, Burst: 1_500, MaxDebt: 500, DrawsLarge: true}, epoch)
	admitted := 0.0
	const seconds = 2_000
	for i := range seconds * 10 {
		u := Use{Units: 17_000}
		now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
		if p.Take(u, float64(i*7919%10_007)/10_007, now) == 0 {
			admitted += u.Units
		}
	}
	if got := admitted / seconds; got < 800 || got > 1_100 {
		t.Errorf("%.0f units a second admitted, want about the rate of 1000", got)
	}
}

// Guards against transfers that create units: what is removed from one pool is all that
// another one gains, and a pool keeps at most its burst.
func TestPoolTransfersConserveUnits(t *testing.T) {
	var from, to Pool
	from.Set(PoolLimits{Burst: 1_000}, epoch)
	to.Set(PoolLimits{Burst: 100}, epoch)
	if surplus := from.Add(1_200, epoch); surplus != 200 {
		t.Errorf("surplus of 1200 units in a burst of 1000: got %v, want 200", surplus)
	}
	removed := from.Remove(500, 700, epoch)
	if removed != 300 {
		t.Errorf("removed %v units of 1000 while 700 are kept, want 300", removed)
	}
	if surplus := to.Add(removed, epoch); surplus != 200 || to.Fill(epoch) != 1 {
		t.Errorf("surplus %v and fill %v after 300 units into a burst of 100, want 200 and 1", surplus, to.Fill(epoch))
	}
	if wait := to.Take(Use{Units: 100}, 0, epoch); wait != 0 {
		t.Errorf("wait %v for 100 of 100 units, want none", wait)
	}
	if wait := to.Take(Use{Units: 1}, 0, epoch); wait == 0 {
		t.Error("a use of an empty pool without debt is admitted")
	}
}
