package instance

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabiworks.example/wasabiworks/internal/backend/fleet"
	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
	"wasabiworks.example/wasabiworks/internal/peer/demand"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// limiterCluster is a deployment of limiters that exchange demand as instances do.
// Each limiter exchanges with every other: its own demand within its failure
// domain, and the sum over its failure domain with the others.
type limiterCluster struct {
	limiters []*limiter
	snapshot *catalogue.Snapshot
	now      time.Time
}

func newLimiterCluster(domains, perDomain int, limit catalogue.Limit) *limiterCluster {
	c := &limiterCluster{now: time.Unix(1000, 0)}
	c.snapshot = catalogue.NewSnapshot(1, &catalogue.Catalogue{
		Entries: []catalogue.Entry{{Name: "e", Limits: []catalogue.Limit{limit}}},
	})
	for n := range domains * perDomain {
		id, domain := fmt.Sprintf("d%d-%d", n%domains, n), fmt.Sprintf("d%d", n%domains)
		c.limiters = append(c.limiters, &limiter{
			instanceID: id, domain: domain, fleet: fleet.New(fleet.Config{}),
			demands: demand.New(demand.Config{
				Node: id, Domain: domain, Now: func() time.Time { return c.now },
				Live:     func(string) int { return perDomain },
				DomainOf: func(id string) string { d, _, _ := strings.Cut(id, "-"); return d },
			}),
			liveInstances: func() int { return domains * perDomain },
			snapshot:      func() *catalogue.Snapshot { return c.snapshot },
		})
	}
	return c
}

// runSecond simulates one second: each limiter receives its arrivals, computes its
// shares and exchanges demand. It returns the number of admitted requests.
func (c *limiterCluster) runSecond(arrivals []int) (admitted int) {
	c.now = c.now.Add(time.Second)
	for n, l := range c.limiters {
		for i := range arrivals[n] {
			at := c.now.Add(time.Duration(i) * time.Second / time.Duration(arrivals[n]))
			if release, err := l.Admit("w", &c.snapshot.Catalogue.Entries[0], at); err == nil {
				admitted++
				release()
			}
		}
		l.updateShares(c.snapshot, c.now)
	}
	for _, from := range c.limiters {
		for _, to := range c.limiters {
			d := new(peerpb.Digest)
			from.demands.Digest(membership.Member{ID: to.instanceID, FailureDomain: to.domain}, 0, d)
			to.demands.Merge(membership.Member{ID: from.instanceID}, d)
		}
	}
	return admitted
}

// Guards against a limit that is exceeded because each instance applies it
// separately, or underused because instances without demand keep their share.
func TestLimitHoldsAcrossInstances(t *testing.T) {
	tests := []struct {
		name     string
		arrivals []int
	}{
		{"even", []int{20, 20, 20, 20, 20, 20, 20, 20}},
		{"all at one instance", []int{160, 0, 0, 0, 0, 0, 0, 0}},
		{"all in one failure domain", []int{40, 0, 40, 0, 40, 0, 40, 0}},
		{"skewed", []int{100, 30, 10, 10, 4, 3, 2, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			const rate = 40
			c := newLimiterCluster(2, 4, catalogue.Limit{Workspace: "w", RequestsPerSecond: rate})
			for range 8 {
				c.runSecond(tt.arrivals)
			}
			total := 0
			for range 10 {
				total += c.runSecond(tt.arrivals)
			}
			t.Logf("arrivals %v: admitted %d in 10 s, limit %d", tt.arrivals, total, 10*rate)
			is.True(total <= 10*rate*11/10) // a tenth more for demand that shifts within a period
			is.True(total >= 10*rate*8/10)
		})
	}
}

// Guards against an instance that rejects requests above its share of the capacity
// while most slots are free, and against one that admits more than its share while
// most are in use.
func TestSpareCapacity(t *testing.T) {
	const capacity = 60
	for _, tt := range []struct {
		name           string
		used           float64
		atLeast, below int // concurrent requests that one of six instances may admit
	}{
		{"most slots free", 10, 18, 23},
		{"few slots free", 50, 9, 12},
		{"no slots free", 60, 9, 12},
	} {
		c := newLimiterCluster(2, 3, catalogue.Limit{})
		l := c.limiters[0]
		l.setCapacity("e", capacity, tt.used, 1, []float64{1, 1, 1, 1, 1})
		admitted := 0
		for range capacity {
			if _, err := l.Admit("w", &c.snapshot.Catalogue.Entries[0], c.now); err == nil {
				admitted++
			}
		}
		if admitted < tt.atLeast || admitted >= tt.below {
			t.Errorf("%s: %d requests admitted, want at least %d and below %d", tt.name, admitted, tt.atLeast, tt.below)
		}
	}
}
