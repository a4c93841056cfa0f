// Command standin runs small fakes of the external systems: the platform API,
// a model engine and a plain service.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	var options struct {
		Platform platformCommand `command:"platform" description:"run a fake of the platform API"`
		Engine   engineCommand   `command:"engine" description:"run a fake of a model engine"`
		Service  serviceCommand  `command:"service" description:"run a fake of a plain service"`
	}
	parser := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Commands", "", &options); err != nil {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		return 1
	}
	_, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Println(err)
		return 0
	}
	fmt.Fprintf(os.Stderr, "standin: %v\n", err)
	return 1
}

func rejectArguments(args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("unexpected argument %q: only flags are allowed", args[0])
	}
	return nil
}
