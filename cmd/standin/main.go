// Command standin runs small fakes of the external systems: the platform API,
// a model engine and a plain service.
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

// run parses the arguments and runs a command. Its error is a *flags.Error for
// a request for help.
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

// limits are numeric flags with their values, none of which may be negative.
type limits map[string]float64

func (l limits) check() error {
	for _, name := range slices.Sorted(maps.Keys(l)) {
		if l[name] < 0 {
			return fmt.Errorf("--%s is %v, must be 0 or above", name, l[name])
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
