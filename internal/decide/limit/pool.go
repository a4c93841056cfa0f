package limit

import (
	"math"
	"time"
)

const (
	// Urgencies is the number of urgency ranks of uses.
	Urgencies = 10
	// demandMemory is the time constant with which a pool forgets past demand.
	demandMemory = 2 * time.Second
	// reserveTime is the time for which the demand of the more urgent uses is
	// reserved, and maxReserveFraction limits the reserve to a fraction of the burst.
	reserveTime        = 250 * time.Millisecond
	maxReserveFraction = 0.1
	// minServiceFraction is the fraction of the most urgent uses' rate of service
	// below which less urgent uses need not leave a reserve.
	minServiceFraction = 0.5
	// scarceFraction is the fraction of the recent uses that must be admitted so that
	// no units are reserved.
	scarceFraction = 0.95
	// minDemand is the number of recent uses from which a rate of service counts.
	minDemand = 0.5
	// fullFraction is the fraction of the burst from which a pool counts as full.
	fullFraction = 0.999
	// maxPoolWait limits the wait that Take returns.
	maxPoolWait = time.Minute
)

// PoolLimits are the limits of a Pool.
type PoolLimits struct {
	// Rate is the number of units that accrue in the pool per second, and Income
	// the same including the units that others add. Income determines waits.
	Rate, Income float64
	// Burst is the maximum level, and MaxDebt the units by which a use may exceed
	// the level.
	Burst, MaxDebt float64
	// DrawsLarge is set if a use above Burst + MaxDebt pays just these units and is
	// admitted with the probability of their fraction of the use. Otherwise it is
	// admitted when the pool is full, and leaves a larger debt.
	DrawsLarge bool
}

// Pool holds the units of a shared allowance that one party may use or lend. A unit
// is in one pool at a time, so that the uses of all pools are bounded by the sums of
// their rates, bursts and debts. A use may leave a debt, so that large uses are
// admitted as often as small ones. A Pool is not safe for concurrent use.
type Pool struct {
	limits     PoolLimits
	level      float64 // units left; negative if there is a debt
	refilledAt time.Time
	demands    [Urgencies]demand
	decayedAt  time.Time
}

// demand sums the recent uses of one urgency, with weights that decay with their age.
type demand struct{ asked, served, units float64 }

// Set sets the limits. A new pool is empty.
func (p *Pool) Set(l PoolLimits, now time.Time) {
	p.refill(now)
	p.limits = l
	p.level = min(p.level, l.Burst)
}

// Record records that a use is requested. It must be called once before Take is
// called for the use.
func (p *Pool) Record(u Use, now time.Time) {
	p.decay(now)
	d := &p.demands[rank(u)]
	d.asked++
	d.units += u.Units
}

// Take uses units and returns 0 if they are available, or else the time after which
// they will be. The number draw, between 0 and 1, decides on uses that are too large
// for the pool.
func (p *Pool) Take(u Use, draw float64, now time.Time) time.Duration {
	p.refill(now)
	price, isAdmitted := u.Units, true
	if affordable := p.limits.Burst + p.limits.MaxDebt; p.limits.DrawsLarge && price > affordable {
		price, isAdmitted = affordable, draw*price < affordable
	}
	need := min(max(0, price-p.limits.MaxDebt), fullFraction*p.limits.Burst)
	if reserve := p.reserve(u); reserve > 0 {
		need = min(max(need, reserve), fullFraction*p.limits.Burst)
	}
	if p.level <= 0 || p.level < need {
		return p.wait(need)
	}
	p.level -= price
	if !isAdmitted {
		return p.wait(need)
	}
	p.decay(now)
	p.demands[rank(u)].served++
	return 0
}

// Add adds units up to the burst and returns those that do not fit.
func (p *Pool) Add(units float64, now time.Time) (surplus float64) {
	p.refill(now)
	added := max(0, min(units, p.limits.Burst-p.level))
	p.level += added
	return units - added
}

// Remove removes and returns up to units, and leaves keep.
func (p *Pool) Remove(units, keep float64, now time.Time) float64 {
	p.refill(now)
	removed := max(0, min(units, p.level-keep))
	p.level -= removed
	return removed
}

// Room returns the units that can be added.
func (p *Pool) Room(now time.Time) float64 {
	p.refill(now)
	return max(0, p.limits.Burst-p.level)
}

// Fill returns the level as a fraction of the burst.
func (p *Pool) Fill(now time.Time) float64 {
	p.refill(now)
	if p.limits.Burst <= 0 {
		return 0
	}
	return max(0, p.level/p.limits.Burst)
}

// Burst returns the maximum level.
func (p *Pool) Burst() float64 { return p.limits.Burst }

// Demand returns the recent demand in units per second.
func (p *Pool) Demand(now time.Time) (perSecond float64) {
	p.decay(now)
	for _, d := range p.demands {
		perSecond += d.units / demandMemory.Seconds()
	}
	return perSecond
}

// isScarce reports whether an appreciable part of the recent uses was refused.
func (p *Pool) isScarce() bool {
	asked, served := 0.0, 0.0
	for _, d := range p.demands {
		asked += d.asked
		served += d.served
	}
	return served < scarceFraction*asked
}

// reserve returns the level below which a use is refused. It grows with the recent
// demand of more urgent uses. There is none while all uses are admitted.
func (p *Pool) reserve(u Use) float64 {
	if !p.isScarce() {
		return 0
	}
	own, moreUrgent := rank(u), 0.0
	mostUrgent := -1
	for v := range own {
		moreUrgent += p.demands[v].units / demandMemory.Seconds()
		if mostUrgent < 0 && p.demands[v].asked >= minDemand {
			mostUrgent = v
		}
	}
	if mostUrgent < 0 || p.demands[own].serviceRate() < minServiceFraction*p.demands[mostUrgent].serviceRate() {
		return 0
	}
	return min(maxReserveFraction*p.limits.Burst, moreUrgent*reserveTime.Seconds())
}

// serviceRate returns the fraction of the recent uses that were admitted.
func (d *demand) serviceRate() float64 { return d.served / max(1, d.asked) }

// wait returns the time until the level reaches need.
func (p *Pool) wait(need float64) time.Duration {
	if p.limits.Income <= 0 {
		return time.Second
	}
	seconds := (max(1, need) - p.level) / p.limits.Income
	return max(time.Millisecond, time.Duration(math.Ceil(min(seconds, maxPoolWait.Seconds())*float64(time.Second))))
}

// refill adds the units that have accrued since the last call.
func (p *Pool) refill(now time.Time) {
	if p.refilledAt.IsZero() {
		p.refilledAt = now
	}
	if elapsed := now.Sub(p.refilledAt).Seconds(); elapsed > 0 {
		p.level = min(p.limits.Burst, p.level+elapsed*p.limits.Rate)
		p.refilledAt = now
	}
}

// decay lowers the weights of past demand.
func (p *Pool) decay(now time.Time) {
	elapsed := now.Sub(p.decayedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / demandMemory.Seconds())
	for i := range p.demands {
		d := &p.demands[i]
		d.asked, d.served, d.units = d.asked*factor, d.served*factor, d.units*factor
	}
	p.decayedAt = now
}

func rank(u Use) int { return min(max(u.Urgency, 0), Urgencies-1) }
