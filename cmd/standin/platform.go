package main

import (
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/platform"
)

type platformCommand struct {
	serveOptions

	ListLag         time.Duration `long:"list-lag" env:"WASABIWORKS_STANDIN_LIST_LAG" default:"1s" description:"age of the published instance list"`
	WritesPerSecond float64       `long:"writes-per-second" env:"WASABIWORKS_STANDIN_WRITES_PER_SECOND" default:"300" description:"limit of writes to the key-value service, 0 for none"`
	ReadsPerSecond  float64       `long:"reads-per-second" env:"WASABIWORKS_STANDIN_READS_PER_SECOND" default:"2000" description:"limit of reads from the key-value service, 0 for none"`
	SlowDelay       time.Duration `long:"slow-delay" env:"WASABIWORKS_STANDIN_SLOW_DELAY" default:"2s" description:"delay of a call under the fault slow"`
	WeightBytes     int           `long:"weight-bytes" env:"WASABIWORKS_STANDIN_WEIGHT_BYTES" default:"1048576" description:"size of a version's weights"`
	WeightRate      float64       `long:"weight-rate" env:"WASABIWORKS_STANDIN_WEIGHT_RATE" default:"67108864" description:"bytes per second of the weight store, 0 for no limit"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	if err := (nonNegativeFlags{
		"list-lag": c.ListLag.Seconds(), "writes-per-second": c.WritesPerSecond, "reads-per-second": c.ReadsPerSecond,
		"slow-delay": c.SlowDelay.Seconds(), "weight-bytes": float64(c.WeightBytes), "weight-rate": c.WeightRate,
	}).check(); err != nil {
		return err
	}
	log, err := newLogger("platform")
	if err != nil {
		return err
	}
	s := platform.New(platform.Config{
		ListLag:              c.ListLag,
		WritesPerSecond:      c.WritesPerSecond,
		ReadsPerSecond:       c.ReadsPerSecond,
		SlowDelay:            c.SlowDelay,
		WeightBytes:          c.WeightBytes,
		WeightBytesPerSecond: c.WeightRate,
	})
	return c.serve(log, server{handler: s, beginShutdown: s.Close})
}
