// Command soak injects seeded random faults into instances of wasabiworks forward
// and checks that no guarantee is violated. It exits with status 1 if a
// guarantee is violated or a run fails with an error.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"

	"wasabiworks.example/wasabiworks/internal/bench/soak"
)

type options struct {
	Program   string        `long:"program" default:"bin/wasabiworks" description:"path of wasabiworks"`
	Seed      uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds     int           `long:"seeds" default:"1" description:"number of seeds"`
	Time      time.Duration `long:"time" default:"30s" description:"time of a run"`
	Instances int           `long:"instances" default:"4" description:"instances of a run"`
	Jobs      int           `long:"jobs" default:"3" description:"runs at a time"`
	Logs      string        `long:"logs" default:"out/soak" description:"folder for the instances' logs"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return
		}
		os.Exit(2) // Parse has printed the error
	}
	if failed := runSeeds(o); failed > 0 {
		fmt.Printf("%d of %d seeds failed\n", failed, o.Seeds)
		os.Exit(1)
	}
	fmt.Printf("all %d seeds passed\n", o.Seeds)
}

// runSeeds runs all seeds, up to o.Jobs at a time, and returns the number of seeds
// that failed.
func runSeeds(o options) (failed int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, o.Jobs)
	for n := range o.Seeds {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			seed := o.Seed + uint64(n)
			result, err := runSeed(o, seed)
			mu.Lock()
			defer mu.Unlock()
			fmt.Printf("seed %d: %d sent, %d served\n", seed, result.Sent, result.Served)
			if err != nil {
				fmt.Printf("  error: %v\n", err)
			}
			for _, violation := range result.Violations {
				fmt.Printf("  violation: %s\n", violation)
			}
			if err != nil || len(result.Violations) > 0 {
				failed++
			}
		})
	}
	wg.Wait()
	return failed
}

// runSeed runs one seed and writes the output of its instances to a log file.
func runSeed(o options, seed uint64) (result soak.Result, err error) {
	if err := os.MkdirAll(o.Logs, 0o755); err != nil {
		return result, err
	}
	log, err := os.Create(filepath.Join(o.Logs, fmt.Sprintf("seed-%d.log", seed)))
	if err != nil {
		return result, err
	}
	defer func() { err = errors.Join(err, log.Close()) }()
	return soak.Run(context.Background(), soak.Config{Program: o.Program, Seed: seed, Duration: o.Time, Instances: o.Instances, Log: log})
}
