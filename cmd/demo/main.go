// Command demo starts the whole system on loopback, sends requests and checks
// every response. It exits with status 0 only if every response was correct and
// every process exited cleanly.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"wasabiworks.example/wasabiworks/internal/bench/demo"
)

type settings struct {
	Binaries string        `long:"binaries" env:"WASABIWORKS_DEMO_BINARIES" default:"bin" description:"directory of the built programs"`
	Logs     string        `long:"logs" env:"WASABIWORKS_DEMO_LOGS" default:"out/demo" description:"directory for the logs of the processes"`
	Limit    time.Duration `long:"limit" env:"WASABIWORKS_DEMO_LIMIT" default:"2m" description:"time after which the demo gives up"`
}

func main() {
	var s settings
	if _, err := flags.Parse(&s); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, s.Limit)
	defer cancel()
	if err := demo.Run(ctx, demo.Config{Binaries: s.Binaries, Logs: s.Logs, Output: os.Stdout}); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}
