package main

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"wasabiworks.example/wasabiworks/internal/operator/admin"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
	"wasabiworks.example/wasabiworks/internal/operator/precheck"
	"wasabiworks.example/wasabiworks/internal/platform/kv"
	"wasabiworks.example/wasabiworks/platform"
)

// checkCatalogue checks a catalogue of serve, also against the one in effect if that is
// given.
func (c *precheckCommand) checkCatalogue(ctx context.Context, name string, data, against []byte) (*report, error) {
	r := &report{}
	file, err := catalogue.ParseFile(name, data)
	if err != nil {
		return r, r.addProblems(err)
	}
	base, err := c.catalogueInEffect(ctx, against)
	if base == nil || err != nil {
		return r, err
	}
	if err := r.addProblems(file.CheckChange(base.Catalogue, c.app.now(), nil)); err != nil {
		return nil, err
	}
	if c.Store != "" && file.BasedOn != base.Revision {
		r.findings = append(r.findings, precheck.Finding{
			Severity: precheck.Error, File: name, Path: "based-on",
			Message: fmt.Sprintf("edited from revision %d, but revision %d is in effect", file.BasedOn, base.Revision),
			Allowed: strconv.FormatInt(base.Revision, 10),
		})
	}
	next := *file.Catalogue
	next.Moves = base.Catalogue.Moves // a file holds none; an apply plans them
	for _, line := range catalogue.Diff(base.Catalogue, &next) {
		r.findings = append(r.findings, precheck.Finding{Severity: catalogueSeverity(line), File: name, Message: line})
	}
	precheck.Sort(r.findings)
	return r, nil
}

// catalogueInEffect returns the catalogue to compare with, or nil if none is given.
func (c *precheckCommand) catalogueInEffect(ctx context.Context, against []byte) (*catalogue.Snapshot, error) {
	if c.Store != "" {
		client := admin.New(admin.Config{Store: kv.New(platform.NewStore(c.Store)), Now: c.app.now})
		return client.Load(ctx)
	}
	if c.Against == "" {
		return nil, nil
	}
	file, err := catalogue.ParseFile(c.Against, against)
	if err != nil {
		return nil, fmt.Errorf("%s: the catalogue to compare with is invalid", c.Against)
	}
	return catalogue.NewSnapshot(file.BasedOn, file.Catalogue), nil
}

// catalogueSeverity returns the severity of a line of catalogue.Diff. Removed entries,
// workspaces and tokens are breaking, and so are changed limits.
func catalogueSeverity(line string) precheck.Severity {
	if strings.HasPrefix(line, "- ") || strings.HasSuffix(line, "-> none") || strings.HasPrefix(line, "~ ") && strings.Contains(line, ": limits[") {
		return precheck.Breaking
	}
	return precheck.Change
}

// addProblems adds the problems of a catalogue. A problem without a field means that the
// file could not be read. It returns errors that are not problems.
func (r *report) addProblems(err error) error {
	var problems catalogue.Problems
	if !errors.As(err, &problems) {
		return err
	}
	for _, p := range problems {
		r.unusable = r.unusable || p.Field == ""
		r.findings = append(r.findings, precheck.Finding{
			Severity: precheck.Error, File: p.File, Line: p.Line, Path: p.Field, Message: withoutToken(p), Allowed: p.Allowed,
		})
	}
	return nil
}

// withoutToken returns the message of a problem. It replaces a quoted value in the place
// of a token hash, because the file may hold the token itself there.
func withoutToken(p catalogue.Problem) string {
	if !strings.Contains(p.Field, "token-hashes") {
		return p.Message
	}
	if quoted, err := strconv.QuotedPrefix(p.Message); err == nil {
		return "value" + strings.TrimPrefix(p.Message, quoted)
	}
	return p.Message
}
