// Command load sends a generated workload to entry instances, checks every
// response and writes a report. It also compares two reports.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"wasabiworks.example/wasabiworks/internal/bench/load"
)

// errIncorrect is returned after a run whose report is not Correct, so that the
// exit status is non-zero.
var errIncorrect = errors.New("run failed the correctness check: some requests were wrong, cut off or doubled")

func main() {
	err := run(os.Args[1:])
	var flagsErr *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(err)
	default:
		fmt.Fprintf(os.Stderr, "load: %s\n", strings.ReplaceAll(err.Error(), "\n", "; "))
		os.Exit(1)
	}
}

// run parses the arguments and executes a command. If help was requested, it
// returns a *flags.Error of type flags.ErrHelp.
func run(args []string) error {
	var options struct {
		Run     runCommand     `command:"run" description:"generate load and write a report"`
		Compare compareCommand `command:"compare" description:"compare two reports"`
	}
	parser := flags.NewNamedParser("load", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Commands", "", &options); err != nil {
		return err
	}
	_, err := parser.ParseArgs(args)
	return err
}

type runCommand struct {
	Mix         string        `long:"mix" env:"WASABIWORKS_LOAD_MIX" default:"dvorak" choice:"dvorak" choice:"kuttanad" description:"workload"`
	Seed        uint64        `long:"seed" env:"WASABIWORKS_LOAD_SEED" default:"1" description:"seed of the workload"`
	Rate        float64       `long:"rate" env:"WASABIWORKS_LOAD_RATE" default:"20" description:"arrivals per second"`
	Duration    time.Duration `long:"duration" env:"WASABIWORKS_LOAD_DURATION" default:"10s" description:"time of arrivals"`
	Count       int           `long:"count" env:"WASABIWORKS_LOAD_COUNT" default:"0" description:"limit of arrivals, 0 for none"`
	Outstanding int           `long:"outstanding" env:"WASABIWORKS_LOAD_OUTSTANDING" default:"4096" description:"limit of concurrent requests"`
	Timeout     time.Duration `long:"timeout" env:"WASABIWORKS_LOAD_TIMEOUT" default:"1m" description:"time limit of a request"`
	TokenScale  float64       `long:"token-scale" env:"WASABIWORKS_LOAD_TOKEN_SCALE" default:"1" description:"factor on the lengths of responses, up to 1"`
	Targets     []string      `long:"target" env:"WASABIWORKS_LOAD_TARGETS" env-delim:"," description:"address of an entry instance, can be repeated"`
	Platform    string        `long:"platform" env:"WASABIWORKS_LOAD_PLATFORM" description:"address of the platform API, whose ready entry instances are used"`
	Services    []string      `long:"service" env:"WASABIWORKS_LOAD_SERVICES" env-delim:"," description:"address of a plain service fake whose runs are checked, can be repeated"`
	Engines     []string      `long:"engine" env:"WASABIWORKS_LOAD_ENGINES" env-delim:"," description:"address of an engine fake whose runs are checked, can be repeated"`
	Poison      float64       `long:"poison" env:"WASABIWORKS_LOAD_POISON" default:"0" description:"share of requests that crash engines with the fault crash-on=poison-marker, below 1"`
	Faults      []string      `long:"fault" env:"WASABIWORKS_LOAD_FAULTS" env-delim:";" description:"fault to inject, as 'AT ADDRESS KIND [target=T] [value=V] [version=V] [for=D]', can be repeated; ADDRESS is a host and port, an instance ID or platform"`
	Output      string        `long:"output" env:"WASABIWORKS_LOAD_OUTPUT" description:"file for the report; the default is standard output"`
}

// Execute implements flags.Commander.
func (c *runCommand) Execute(args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("unexpected argument %q: only flags are allowed", args[0])
	}
	mix, err := load.MixNamed(c.Mix)
	if err != nil {
		return err
	}
	if c.Poison < 0 || c.Poison >= 1 {
		return fmt.Errorf("--poison is %v, must be at least 0 and below 1", c.Poison)
	}
	if c.Poison > 0 {
		mix = mix.WithPoison(c.Poison)
	}
	var faults []load.Fault
	for _, s := range c.Faults {
		f, err := load.ParseFault(s)
		if err != nil {
			return fmt.Errorf("--fault: %w", err)
		}
		faults = append(faults, f)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := load.Run(ctx, load.Config{
		Mix:         mix,
		Seed:        c.Seed,
		Rate:        c.Rate,
		Duration:    c.Duration,
		Count:       c.Count,
		Outstanding: c.Outstanding,
		Timeout:     c.Timeout,
		TokenScale:  c.TokenScale,
		Targets:     c.Targets,
		Platform:    c.Platform,
		Services:    c.Services,
		Engines:     c.Engines,
		Faults:      faults,
	})
	if err != nil {
		return err
	}
	if err := c.writeReport(report); err != nil {
		return err
	}
	if !report.Correct() {
		return errIncorrect
	}
	return nil
}

func (c *runCommand) writeReport(report *load.Report) error {
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	data = append(data, '\n')
	if c.Output == "" {
		_, err = os.Stdout.Write(data)
	} else {
		err = os.WriteFile(c.Output, data, 0o644)
	}
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

type compareCommand struct {
	Files struct {
		A string `positional-arg-name:"A.json" description:"first report"`
		B string `positional-arg-name:"B.json" description:"second report"`
	} `positional-args:"true" required:"true"`
}

// Execute implements flags.Commander.
func (c *compareCommand) Execute(args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("unexpected argument %q: compare takes two reports", args[0])
	}
	a, err := load.ReadReport(c.Files.A)
	if err != nil {
		return err
	}
	b, err := load.ReadReport(c.Files.B)
	if err != nil {
		return err
	}
	return load.WriteComparison(os.Stdout, a, b)
}
