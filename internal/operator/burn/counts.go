package burn

// Result is the outcome of one request.
type Result int

// Results of requests. All but Good and Limited spend the error budget.
const (
	// Good is a complete response within the objective's latencies.
	Good Result = iota
	// Slow is a complete response that exceeded a latency.
	Slow
	// Failed is a request that failed or whose outcome is unknown.
	Failed
	// Reclaimed is a request lost to the reclaim of an instance.
	Reclaimed
	// Rejected is a request that the system did not run.
	Rejected
	// Limited is a request over its workspace's limit, which is not a fault
	// of the system.
	Limited
)

// Kinds of tokens, which follow the results in Counts.
const (
	generated = iota + int(Limited) + 1
	cached
	recomputed
	counters
)

var resultNames = [...]string{"good", "slow", "failed", "reclaimed", "rejected", "limited"}

var tokenNames = [...]string{"generated", "cached", "recomputed"}

// String returns the result as it appears in metrics.
func (r Result) String() string {
	if r < Good || r > Limited {
		return "failed"
	}
	return resultNames[r]
}

// Counts holds one counter for each Result and each kind of token.
type Counts [counters]uint64

// minus returns the growth of the counts since earlier.
func (c Counts) minus(earlier Counts) Counts {
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

// total returns the requests that count towards the objective.
func (c *Counts) total() uint64 { return c[Good] + c.bad() }

// bad returns the requests that spend the error budget.
func (c *Counts) bad() uint64 { return c[Slow] + c[Failed] + c[Reclaimed] + c[Rejected] }
