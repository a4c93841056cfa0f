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
	// KeyPrefix is the prefix of the idempotency keys, which have the form
	// PREFIX-INDEX. It keeps the keys of several runs against the same system
	// distinct; the default is derived from the start time.
	KeyPrefix string
	// Rate is the number of arrivals per second.
	Rate float64
	// Duration is the time during which requests arrive, and Count the maximum
	// number of requests; a Count of 0 means no limit.
	Duration time.Duration
	Count    int
	// Outstanding is the maximum number of concurrent requests; the default is
	// 4096.
	Outstanding int
	// Timeout is the time limit of a request; the default is 1 min.
	Timeout time.Duration
	// TokenScale multiplies the lengths of responses; the default is 1.
	TokenScale float64
	// Targets are addresses of entry instances.
	Targets []string
	// Platform is the address of the platform API. If it is set, requests go
	// to the ready entry instances in the instance list, and the executions of
	// all backend servers in the list are checked.
	Platform string
	// Services are addresses of plain service fakes whose executions are checked.
	Services []string
	// Engines are addresses of engine fakes whose executions are checked.
	Engines []string
	// ServiceRunLogs and EngineRunLogs are files to which service and engine
	// fakes log the requests that they execute. If any files of a kind are
	// given, they are read instead of the counts in the fakes, which are lost
	// when a fake is killed.
	ServiceRunLogs, EngineRunLogs []string
	// Faults are injected while the load tool runs.
	Faults []Fault
}

func (c Config) withDefaults(now time.Time) Config {
	if c.KeyPrefix == "" {
		c.KeyPrefix = strconv.FormatInt(now.UnixNano(), 36)
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

// validate reports all invalid fields in one error.
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
	check(len(c.Targets) > 0 || c.Platform != "", "targets", c.Targets, "non-empty unless a platform is given")
	return errors.Join(errs...)
}
