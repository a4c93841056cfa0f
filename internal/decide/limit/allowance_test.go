package limit

import (
	"testing"
	"time"
)

// Guards against an allowance that admits more than its rate, its burst and one
// debt, or that never admits a use larger than its burst.
func TestAllowanceLimitsRateAndDebt(t *testing.T) {
	tests := []struct {
		name               string
		rate, burst, units float64
		least, most        float64 // units admitted in 10 s
	}{
		{"small uses", 100, 100, 1, 1090, 1101},
		{"uses above the burst", 100, 50, 400, 1000, 1450},
		{"burst of 1 unit", 100, 1, 10, 980, 1011},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var a Allowance
			a.Set(tt.rate, tt.burst, epoch)
			total := 0.0
			for at := time.Duration(0); at < 10*time.Second; at += time.Millisecond {
				if a.Wait(tt.units, epoch.Add(at)) == 0 {
					a.Spend(tt.units, epoch.Add(at))
					total += tt.units
				}
			}
			if total < tt.least || total > tt.most {
				t.Errorf("rate %v, burst %v, uses of %v: admitted %v in 10 s, want %v to %v", tt.rate, tt.burst, tt.units, total, tt.least, tt.most)
			}
		})
	}
}

// Guards against a change of the limits that refills the allowance.
func TestAllowanceKeepsItsLevel(t *testing.T) {
	var a Allowance
	a.Set(10, 10, epoch)
	for range 10 {
		a.Spend(1, epoch)
	}
	a.Set(20, 20, epoch)
	if a.Wait(1, epoch) == 0 {
		t.Error("empty allowance after a change of the limits: a use is admitted immediately, want a wait")
	}
}

// Guards against a late report of use at other instances that blocks a workspace
// for a long time.
func TestAllowanceBoundsTheDebt(t *testing.T) {
	var a Allowance
	a.Set(10, 10, epoch)
	a.Charge(1e6, 30, epoch)
	if got, most := a.Wait(1, epoch), 4*time.Second; got == 0 || got > most {
		t.Errorf("wait after a charge of 1e6 with a maximum debt of 30 at 10 a second: got %v, want above 0 and up to %v", got, most)
	}
}

// Guards against small uses that starve while a large use waits for enough units.
func TestAllowancePrefersSmallUses(t *testing.T) {
	var a Allowance
	a.Set(100, 1000, epoch)
	a.Spend(900, epoch)
	for units, want := range map[float64]bool{1: true, 100: true, 400: false, 5000: false} {
		if got := a.Wait(units, epoch) == 0; got != want {
			t.Errorf("use of %v with 100 of 1000 left: admitted %v, want %v", units, got, want)
		}
	}
	if got, want := a.Wait(5000, epoch), 4*time.Second; got != want {
		t.Errorf("use of 5000: wait %v, want %v", got, want)
	}
}
