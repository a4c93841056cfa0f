package load

import (
	"errors"
	"fmt"
	"strconv"
	"time"
)

const (
	defaultTimeout     = time.Minute
	defaultOutstanding = 4096
)

// Config configures Run.
type Config struct {
	Mix  Mix
	Seed uint64
	// Run distinguishes the idempotency keys of runs against one system; the
	// default is the start time.
	Run string
	// Rate is the number of arrivals per second.
	Rate float64
	// Duration and Count bound the arrivals; a Count of 0 is no bound.
	Duration time.Duration
	Count    int
	// Outstanding bounds the concurrent requests; the default is 4096.
	Outstanding int
	// Timeout bounds a request; the default is 1 min.
	Timeout time.Duration
	// TokenScale multiplies the lengths of responses; the default is 1.
	TokenScale float64
	// Targets are addresses of entry instances.
	Targets []string
	// Platform is the address of the platform API. With it, the ready entry
	// instances of the instance list are used, and the runs of all backend
	// servers in the list are checked.
	Platform string
	// Services are addresses of plain service fakes whose runs are checked.
	Services []string
	// Engines are addresses of engine fakes whose runs are checked.
	Engines []string
	// ServiceRunLogs and EngineRunLogs are files to which fakes log their
	// runs. If any is given, they replace the counts of the fakes, which are
	// lost with a process that is killed.
	ServiceRunLogs, EngineRunLogs []string
	// Faults are injected during the run.
	Faults []Fault
}

func (c Config) withDefaults(now time.Time) Config {
	if c.Run == "" {
		c.Run = strconv.FormatInt(now.UnixNano(), 36)
	}
	if c.Outstanding == 0 {
		c.Outstanding = defaultOutstanding
	}
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.TokenScale == 0 {
		c.TokenScale = 1
	}
	return c
}

// validate returns all errors together.
func (c Config) validate() error {
	var errs []error
	check := func(ok bool, name string, value any, allowed string) {
		if !ok {
			errs = append(errs, fmt.Errorf("%s is %v, must be %s", name, value, allowed))
		}
	}
	check(len(c.Mix.Classes) > 0 && len(c.Mix.Workspaces) > 0, "mix", c.Mix.Name, "one with classes and workspaces")
	check(c.Rate > 0 && c.Rate <= 1e6, "rate", c.Rate, "above 0 and at most 1000000 per second")
	check(c.Duration > 0, "duration", c.Duration, "above 0")
	check(c.Count >= 0, "count", c.Count, "0 or above")
	check(c.Outstanding >= 0, "outstanding", c.Outstanding, "0 or above")
	check(c.Timeout >= 0, "timeout", c.Timeout, "0 or above")
	check(c.TokenScale >= 0 && c.TokenScale <= 1, "token scale", c.TokenScale, "from 0 to 1")
	check(len(c.Targets) > 0 || c.Platform != "", "targets", c.Targets, "not empty, or a platform must be given")
	return errors.Join(errs...)
}
