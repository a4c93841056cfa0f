// Command slopes measures how the cost of an entry instance grows with the size of
// the fleet and writes docs/CAPACITY.md, its plots and the results.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"wasabiworks.example/wasabiworks/internal/bench/scaling"
)

type settings struct {
	Binaries string        `long:"binaries" env:"WASABIWORKS_SLOPES_BINARIES" default:"bin" description:"directory of the built programs"`
	Logs     string        `long:"logs" env:"WASABIWORKS_SLOPES_LOGS" default:"out/slopes" description:"directory for the logs of the processes"`
	Output   string        `long:"output" env:"WASABIWORKS_SLOPES_OUTPUT" default:"docs" description:"directory for the page, its plots and the results"`
	Quick    bool          `long:"quick" env:"WASABIWORKS_SLOPES_QUICK" description:"measure the smallest and the largest fleet only, once"`
	Page     bool          `long:"page" env:"WASABIWORKS_SLOPES_PAGE" description:"write the page and the plots from the results of an earlier run"`
	Limit    time.Duration `long:"limit" env:"WASABIWORKS_SLOPES_LIMIT" default:"5m" description:"time after which the measurements are given up"`
}

func main() {
	var s settings
	if _, err := flags.Parse(&s); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := s.run(); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func (s settings) run() error {
	// SIGPIPE is caught as well: otherwise a reader that closes the output early
	// would kill this process and leave the processes that it started running.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGPIPE)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, s.Limit)
	defer cancel()
	start := time.Now()
	if !s.Page {
		r, err := scaling.Measure(ctx, scaling.Config{Binaries: s.Binaries, Logs: s.Logs, Quick: s.Quick, Progress: os.Stdout})
		if err != nil {
			return err
		}
		if err := scaling.WriteResults(s.Output, r); err != nil {
			return err
		}
	}
	if err := scaling.WritePage(s.Output); err != nil {
		return err
	}
	fmt.Printf("slopes: page written to %s after %.0f s\n", s.Output, time.Since(start).Seconds())
	return nil
}
