package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"wasabiworks.example/wasabiworks/internal/operator/precheck"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
	"wasabiworks.example/wasabiworks/platform"
)

// Exit statuses of the check command.
const (
	exitFindings = 1
	exitUnusable = 2
)

// precheckCommand checks a configuration of the platform or a catalogue. It reads the
// store at most once, and never writes.
type precheckCommand struct {
	fileArgument
	Output  string        `long:"output" env:"WASABIWORKS_OUTPUT" choice:"text" choice:"json" default:"text" description:"format of the findings"`
	Against string        `long:"against" env:"WASABIWORKS_AGAINST" value-name:"FILE" description:"file with the version in effect, to list the differences from it; takes precedence over --store"`
	Store   string        `long:"store" env:"WASABIWORKS_STORE" value-name:"IP:PORT" description:"address of the platform's key-value store, to read the version in effect"`
	Timeout time.Duration `long:"timeout" env:"WASABIWORKS_TIMEOUT" value-name:"DURATION" default:"30s" description:"time that reading the store may take"`
	app     *app
}

// report is what a check found. The input is unusable if the running system could not
// read it.
type report struct {
	findings []precheck.Finding
	unusable bool
}

// Execute implements flags.Commander.
func (c *precheckCommand) Execute([]string) error {
	r, err := c.check()
	if err == nil {
		err = r.write(c.app.stdout, c.Output)
	}
	switch {
	case err != nil:
		return &exitError{status: exitUnusable, err: err}
	case r.unusable:
		return &exitError{status: exitUnusable}
	case len(r.findings) > 0:
		return &exitError{status: exitFindings}
	}
	return nil
}

func (c *precheckCommand) check() (*report, error) {
	if c.Against != "" {
		c.Store = "" // it may come from the environment
	}
	if c.Against == "-" && c.Arguments.File == "-" {
		return nil, errors.New("standard input is given twice; allowed: once")
	}
	name, data, err := c.app.readInput(c.Arguments.File)
	if err != nil {
		return nil, err
	}
	var against []byte
	if c.Against != "" {
		if _, against, err = c.app.readInput(c.Against); err != nil {
			return nil, err
		}
	}
	if c.Against != "" && isCatalogue(against) != isCatalogue(data) {
		return nil, fmt.Errorf("%s and %s are of different kinds; allowed: two configurations of the platform, or two catalogues", name, c.Against)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	if isCatalogue(data) {
		return c.checkCatalogue(ctx, name, data, against)
	}
	return c.checkConfig(ctx, name, data, against)
}

// isCatalogue reports whether data is a catalogue rather than a configuration of the
// platform, which is a JSON object. A catalogue may also be written as one.
func isCatalogue(data []byte) bool {
	data = bytes.TrimPrefix(data, []byte("\ufeff"))
	data = bytes.TrimLeft(data, " \t\r\n")
	if len(data) == 0 || data[0] != '{' && data[0] != '[' {
		return len(data) > 0
	}
	var c struct {
		Workspaces, Entries json.RawMessage
	}
	return json.Unmarshal(data, &c) == nil && (c.Workspaces != nil || c.Entries != nil)
}

// checkConfig checks a configuration of the platform, also against the one in effect if
// that is given.
func (c *precheckCommand) checkConfig(ctx context.Context, name string, data, against []byte) (*report, error) {
	next, findings, err := inspectConfig(name, data)
	if err != nil {
		return nil, err
	}
	r := &report{unusable: next == nil}
	if next != nil {
		inEffect, err := c.configInEffect(ctx, against)
		if err != nil {
			return nil, err
		}
		checked := precheck.Check(next)
		if inEffect != nil {
			checked = append(checked, precheck.Compare(inEffect, next)...)
		}
		for _, f := range checked {
			f.Path = platform.ConfigPath(f.Path)
			findings = append(findings, f)
		}
	}
	precheck.Sort(findings)
	for i := range findings {
		findings[i].File = name
	}
	r.findings = findings
	return r, nil
}

// configInEffect returns the configuration to compare with, or nil if none is given.
func (c *precheckCommand) configInEffect(ctx context.Context, against []byte) (*routes.Table, error) {
	source := c.Against
	if c.Store != "" {
		source = "the store"
		item, err := platform.NewStore(c.Store).Get(ctx, platform.ConfigKey)
		if err != nil {
			return nil, fmt.Errorf("read the version in effect from the store: %w", err)
		}
		against = item.Value
	}
	if source == "" {
		return nil, nil
	}
	table, _, err := inspectConfig(source, against)
	if err == nil && table == nil {
		err = fmt.Errorf("%s: the running system rejects the configuration to compare with", source)
	}
	return table, err
}

func inspectConfig(name string, data []byte) (*routes.Table, []precheck.Finding, error) {
	if len(data) >= platform.MaxConfigBytes {
		return nil, nil, fmt.Errorf("%s: the file is too large; allowed: under %d bytes", name, platform.MaxConfigBytes)
	}
	table, findings, err := platform.InspectConfig(data)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", name, err)
	}
	return table, findings, nil
}

// maxPrintedFindings bounds the text output for a file with errors throughout.
const maxPrintedFindings = 200

func (r *report) write(w io.Writer, format string) error {
	if format == "json" {
		e := json.NewEncoder(w)
		e.SetEscapeHTML(false)
		e.SetIndent("", "  ")
		return e.Encode(struct {
			Usable   bool               `json:"usable"`
			Findings []precheck.Finding `json:"findings"`
		}{!r.unusable, append([]precheck.Finding{}, r.findings...)})
	}
	b := bufio.NewWriter(w)
	for i, f := range r.findings {
		if i == maxPrintedFindings {
			fmt.Fprintf(b, "%d more findings; --output json lists all\n", len(r.findings)-i)
			break
		}
		fmt.Fprintln(b, f)
	}
	return b.Flush()
}
