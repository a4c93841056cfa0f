package burn

// Result is the class of a finished request in the service level.
type Result int

// Results of requests. All but Good and Limited spend the error budget.
const (
	// Good is a complete response within the latencies of the objective.
	Good Result = iota
	// Slow is a complete response that exceeded a latency of the objective.
	Slow
	// Failed is a request that failed or whose outcome is unknown.
	Failed
	// Reclaimed is a request that failed because the platform reclaimed its
	// backend server. Only calls of plain services on entry instances are
	// counted as Reclaimed.
	Reclaimed
	// Rejected is a request that the system rejected without running it.
	Rejected
	// Limited is a request over the limit of its workspace. It does not count
	// towards the objective because it is not a fault of the system.
	Limited
)

// Indexes of the token counters in Counts, which follow the results.
const (
	generatedTokensIndex = iota + int(Limited) + 1
	cachedTokensIndex
	recomputedTokensIndex
	numCounters
)

var resultNames = [...]string{"good", "slow", "failed", "reclaimed", "rejected", "limited"}

var tokenNames = [...]string{"generated", "cached", "recomputed"}

// String returns the value of the result label in metrics.
func (r Result) String() string {
	if r < Good || r > Limited {
		return "failed"
	}
	return resultNames[r]
}

// Counts holds one counter for each Result and each kind of token.
type Counts [numCounters]uint64

// sub returns the increase of the counts since earlier.
func (c Counts) sub(earlier Counts) Counts {
	for i := range c {
		c[i] -= min(c[i], earlier[i])
	}
	return c
}

func (c *Counts) add(d Counts) {
	for i := range c {
		c[i] += d[i]
	}
}

// total returns the number of requests that count towards the objective.
func (c *Counts) total() uint64 { return c[Good] + c.bad() }

// bad returns the number of requests that spend the error budget.
func (c *Counts) bad() uint64 { return c[Slow] + c[Failed] + c[Reclaimed] + c[Rejected] }
