// Command standin runs fakes of the external systems for tests and load runs:
// the platform API, a model engine and a plain service.
package main

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"
)

func main() {
	err := run(os.Args[1:])
	var flagsErr *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(err)
	default:
		fmt.Fprintf(os.Stderr, "standin: %s\n", strings.ReplaceAll(err.Error(), "\n", "; "))
		os.Exit(1)
	}
}

// run parses the arguments and runs a command. If help is requested, it returns
// a *flags.Error of type flags.ErrHelp.
func run(args []string) error {
	var options struct {
		Platform platformCommand `command:"platform" description:"run a fake of the platform API"`
		Engine   engineCommand   `command:"engine" description:"run a fake of a model engine"`
		Service  serviceCommand  `command:"service" description:"run a fake of a plain service"`
	}
	parser := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Commands", "", &options); err != nil {
		return err
	}
	_, err := parser.ParseArgs(args)
	return err
}

// nonNegativeFlags maps the names of flags that must not be negative to their
// values.
type nonNegativeFlags map[string]float64

func (f nonNegativeFlags) check() error {
	for _, name := range slices.Sorted(maps.Keys(f)) {
		if f[name] < 0 {
			return fmt.Errorf("--%s is %v, must be 0 or above", name, f[name])
		}
	}
	return nil
}

func rejectArguments(args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("unexpected argument %q: only flags are allowed", args[0])
	}
	return nil
}
