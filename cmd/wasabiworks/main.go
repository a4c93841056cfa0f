// Command wasabiworks runs an entry instance or an instance that forwards plain
// HTTP requests, and provides the commands with which operators manage the
// catalogue and inspect the instances.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
)

func main() {
	os.Exit(run(&app{stdin: os.Stdin, stdout: os.Stdout, stderr: os.Stderr, now: time.Now}, os.Args[1:]))
}

// app holds the standard streams and the clock that the commands use.
type app struct {
	stdin          io.Reader
	stdout, stderr io.Writer
	now            func() time.Time
}

type commands struct {
	Serve     serveCommand     `command:"serve" description:"run an entry instance"`
	Forward   forwardCommand   `command:"forward" description:"run an instance that forwards plain HTTP requests on the users' platform"`
	Check     precheckCommand  `command:"check" description:"check a configuration of the platform or a catalogue before it is sent"`
	Catalogue catalogueCommand `command:"catalogue" description:"check, compare and apply the catalogue"`
	Moves     movesCommand     `command:"moves" description:"show the version moves"`
	Status    statusCommand    `command:"status" description:"show the live entry instances"`
	Explain   explainCommand   `command:"explain" description:"tell from logs what became of a request"`
	Report    reportCommand    `command:"report" description:"print a report"`
}

// newParser returns the parser of the command line. If execute is true, parsing
// also runs the selected command.
func newParser(a *app, execute bool) *flags.Parser {
	var c commands
	c.Serve.app, c.Forward.app = a, a
	c.Check.app, c.Explain.app = a, a
	c.Catalogue.Check.app, c.Catalogue.Diff.app, c.Catalogue.Apply.app = a, a, a
	c.Catalogue.Show.app, c.Catalogue.History.app, c.Catalogue.HashToken.app = a, a, a
	c.Moves.app, c.Status.app, c.Report.Burn.app, c.Report.Forward.app = a, a, a, a
	p := flags.NewNamedParser("wasabiworks", flags.HelpFlag|flags.PassDoubleDash)
	p.CommandHandler = func(c flags.Commander, args []string) error {
		if c == nil || !execute {
			return nil
		}
		if len(args) > 0 {
			return fmt.Errorf("unexpected argument %q; allowed: none", args[0])
		}
		return c.Execute(args)
	}
	if _, err := p.AddGroup("commands", "", &c); err != nil {
		panic(err) // the struct tags of commands are invalid
	}
	return p
}

// run executes a command line and returns the exit status.
func run(a *app, args []string) int {
	_, err := newParser(a, true).ParseArgs(args)
	var usage *flags.Error
	var exit *exitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &exit):
		if exit.err != nil {
			fmt.Fprintln(a.stderr, oneLine(exit.err))
		}
		return exit.status
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(a.stdout, err)
		return 0
	case errors.As(err, &usage):
		fmt.Fprintln(a.stderr, oneLine(err))
		return 2
	}
	fmt.Fprintln(a.stderr, err)
	return 1
}

// exitError ends a command with an exit status of its own. Its message is empty if the
// command has printed everything.
type exitError struct {
	status int
	err    error
}

// Error implements error.
func (e *exitError) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

// Unwrap returns the error that ended the command.
func (e *exitError) Unwrap() error { return e.err }

// oneLine returns the message of an error on one line.
func oneLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }

// platformOptions are the options of the commands that call the platform.
type platformOptions struct {
	Platform string        `long:"platform" env:"WASABIWORKS_PLATFORM" value-name:"IP:PORT" description:"address of the platform API" required:"yes"`
	Timeout  time.Duration `long:"timeout" env:"WASABIWORKS_TIMEOUT" value-name:"DURATION" default:"30s" description:"time that the command may take, without --wait"`
}

func (o *platformOptions) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), o.Timeout)
}
