package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"time"

	"wasabiworks.example/wasabiworks/internal/operator/admin"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
	"wasabiworks.example/wasabiworks/internal/platform/kv"
	"wasabiworks.example/wasabiworks/platform"
)

type catalogueCommand struct {
	Check     checkCommand     `command:"check" description:"check a file without the store"`
	Diff      diffCommand      `command:"diff" description:"show what an apply of a file would change"`
	Apply     applyCommand     `command:"apply" description:"replace the catalogue by a file"`
	Show      showCommand      `command:"show" description:"print the catalogue as a file to edit"`
	History   historyCommand   `command:"history" description:"list the latest changes"`
	HashToken hashTokenCommand `command:"hash-token" description:"read a token from standard input and print its hash"`
}

// fileArgument is the positional argument that names a catalogue file.
type fileArgument struct {
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"catalogue file, or - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// maxInputBytes bounds what is read of a file. It is larger than the size that the
// parser accepts, so that the parser reports a file that is too large.
const maxInputBytes = 2 << 20

func (f *fileArgument) parse(a *app) (*catalogue.File, error) {
	name, data, err := a.readInput(f.Arguments.File)
	if err != nil {
		return nil, err
	}
	return catalogue.ParseFile(name, data)
}

// readInput reads up to maxInputBytes of a file, or of standard input if the name is
// "-". It returns the name for messages.
func (a *app) readInput(name string) (shown string, data []byte, err error) {
	shown, r := name, a.stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return name, nil, err
		}
		defer file.Close()
		r = file
	} else {
		shown = "stdin"
	}
	data, err = io.ReadAll(io.LimitReader(r, maxInputBytes))
	if err != nil {
		return shown, nil, fmt.Errorf("read %s: %w", shown, err)
	}
	return shown, data, nil
}

type checkCommand struct {
	fileArgument
	app *app
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	f, err := c.parse(c.app)
	if err != nil {
		return err
	}
	data, err := catalogue.Encode(f.Catalogue)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.app.stdout, "%s is valid: %d workspaces, %d entries, %d of %d bytes\n",
		c.Arguments.File, len(f.Catalogue.Workspaces), len(f.Catalogue.Entries), len(data), catalogue.MaxEncodedBytes)
	return nil
}

// storeOptions is embedded in the commands that call the store.
type storeOptions struct {
	platformOptions
	app *app
}

func (o *storeOptions) client() *admin.Client {
	return admin.New(admin.Config{Store: kv.New(platform.NewStore(o.Platform)), Now: o.app.now})
}

// propose parses a file and checks it as a change of the catalogue in the store.
func (o *storeOptions) propose(ctx context.Context, f *fileArgument, author, comment string) (*admin.Client, *admin.Proposal, error) {
	file, err := f.parse(o.app)
	if err != nil {
		return nil, nil, err
	}
	client := o.client()
	p, err := client.Propose(ctx, file, author, comment)
	return client, p, err
}

type diffCommand struct {
	storeOptions
	fileArgument
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	_, p, err := c.propose(ctx, &c.fileArgument, "", "")
	if err != nil {
		return err
	}
	c.app.printDiff(p)
	return nil
}

// printDiff prints what a proposal would change.
func (a *app) printDiff(p *admin.Proposal) {
	if len(p.Diff) == 0 {
		fmt.Fprintf(a.stdout, "no change against revision %d\n", p.Base.Revision)
		return
	}
	for _, line := range p.Diff {
		fmt.Fprintln(a.stdout, line)
	}
}

type applyCommand struct {
	storeOptions
	fileArgument
	Author   string        `long:"author" env:"WASABIWORKS_AUTHOR" value-name:"NAME" description:"who makes the change; the default is the name of the user"`
	Comment  string        `long:"comment" env:"WASABIWORKS_COMMENT" value-name:"TEXT" description:"why the change is made"`
	Wait     bool          `long:"wait" env:"WASABIWORKS_WAIT" description:"return once the change is in effect on every live entry instance"`
	WaitTime time.Duration `long:"wait-time" env:"WASABIWORKS_WAIT_TIME" value-name:"DURATION" default:"30s" description:"time that --wait may take"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	author := c.Author
	if author == "" {
		if u, err := user.Current(); err == nil {
			author = u.Username
		}
	}
	ctx, cancel := c.context()
	defer cancel()
	client, p, err := c.propose(ctx, &c.fileArgument, author, c.Comment)
	if err != nil {
		return err
	}
	c.app.printDiff(p)
	revision := p.Base.Revision
	if len(p.Diff) > 0 {
		if revision, err = client.Apply(ctx, p); err != nil {
			return err
		}
		fmt.Fprintf(c.app.stdout, "applied at revision %d, operation %s\n", revision, p.Next.Operation)
	}
	if !c.Wait {
		return nil
	}
	return c.wait(revision)
}

// wait waits until a revision is in effect on every live entry instance. It
// returns an error that lists the other instances if WaitTime ends first.
func (c *applyCommand) wait(revision int64) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.WaitTime)
	defer cancel()
	reached, behind, err := admin.NewFleet(admin.FleetConfig{Platform: c.Platform}).Wait(ctx, revision)
	if err != nil {
		return fmt.Errorf("revision %d is applied, but checking whether it is in effect failed: %w", revision, err)
	}
	if len(behind) == 0 {
		fmt.Fprintf(c.app.stdout, "revision %d is in effect on all %d live entry instances\n", revision, reached)
		return nil
	}
	var b strings.Builder
	fmt.Fprintf(&b, "revision %d is applied, but after %v it is not confirmed to be in effect on:", revision, c.WaitTime)
	for _, a := range behind {
		fmt.Fprintf(&b, "\n  %s: ", a.Instance.ID)
		if a.Err != nil {
			fmt.Fprintf(&b, "not reached: %v", a.Err)
		} else {
			fmt.Fprintf(&b, "has revision %d", a.Status.CatalogueRevision)
		}
	}
	return errors.New(b.String())
}

type showCommand struct{ storeOptions }

// Execute implements flags.Commander.
func (c *showCommand) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	s, err := c.client().Load(ctx)
	if err != nil {
		return err
	}
	text, err := catalogue.Format(s)
	if err != nil {
		return err
	}
	_, err = c.app.stdout.Write(text)
	return err
}

type historyCommand struct{ storeOptions }

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	ctx, cancel := c.context()
	defer cancel()
	s, err := c.client().Load(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.app.stdout, "catalogue at revision %d, latest change first\n", s.Revision)
	for i := len(s.Catalogue.History) - 1; i >= 0; i-- {
		h := s.Catalogue.History[i]
		fmt.Fprintf(c.app.stdout, "%s %s, from revision %d, operation %s: %s\n", h.Changed.Format(time.RFC3339), h.Author, h.BasedOn, h.Operation, h.Comment)
		for _, line := range h.Summary {
			fmt.Fprintf(c.app.stdout, "  %s\n", line)
		}
	}
	return nil
}

type hashTokenCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *hashTokenCommand) Execute([]string) error {
	line, err := bufio.NewReader(io.LimitReader(c.app.stdin, 4096)).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("read standard input: %w", err)
	}
	hash, err := catalogue.HashToken(strings.TrimRight(line, "\r\n"))
	if err != nil {
		return err
	}
	fmt.Fprintln(c.app.stdout, hash)
	return nil
}
