package scaling

import (
	"fmt"
	"strings"
	"time"

	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
)

// Dimensions and values of the catalogue used in the measurements.
const (
	workspaces      = 60
	languageEntries = 28
	serviceEntries  = 2
	// limitsPerEntry is the number of limits of an entry. With 30 entries and
	// 60 workspaces, each workspace has limits on two entries.
	limitsPerEntry = 4
	// historyLength is the length of the history of a catalogue in regular use:
	// the maximum that package catalogue allows.
	historyLength = 50
	oldVersion    = "2026-11"
	newVersion    = "2026-12"
	clientToken   = "capacity-token-00"
)

func entryName(i int) string     { return fmt.Sprintf("entry-%02d", i) }
func workspaceName(i int) string { return fmt.Sprintf("workspace-%02d", i) }

// newCatalogue returns a catalogue of realistic size. The number of the change
// makes the catalogues of successive changes differ. If moving is set, the
// first entry has a version move in progress.
func newCatalogue(change int, moving bool) (*catalogue.Catalogue, error) {
	now := time.Now()
	hash, err := catalogue.HashToken(clientToken)
	if err != nil {
		return nil, err
	}
	c := &catalogue.Catalogue{
		Operation: fmt.Sprintf("operation-%08d", change), Author: "Jana Dvořáková",
		Comment: "raise the limits of the larger workspaces", Changed: now,
	}
	for i := range workspaces {
		// The last two hex digits make the token hash of each workspace unique.
		// Only workspace 0 has the hash of clientToken.
		h := hash[:len(hash)-2] + fmt.Sprintf("%02x", i)
		if i == 0 {
			h = hash
		}
		c.Workspaces = append(c.Workspaces, catalogue.Workspace{Name: workspaceName(i), Owner: "Jana Dvořáková", TokenHashes: []string{h}})
	}
	for i := range languageEntries + serviceEntries {
		c.Entries = append(c.Entries, newEntry(i, change))
	}
	if moving {
		c.Entries[0].Version = newVersion
		c.Entries[0].MoveBy = now.Add(time.Hour)
		c.Moves = []catalogue.Move{{
			ID: moveID, Entry: entryName(0), From: oldVersion, To: newVersion,
			Start: now, Deadline: now.Add(time.Hour), KeepUntil: now.Add(3 * time.Hour),
		}}
	}
	for i := range historyLength {
		c.History = append(c.History, catalogue.Change{
			Operation: fmt.Sprintf("operation-%08d", change-historyLength+i), Author: c.Author, Comment: c.Comment, Changed: now,
			BasedOn: int64(i + 1), Summary: []string{"entry entry-03: limit of workspace-12: requests-per-second 20 -> 40"},
		})
	}
	return c, nil
}

func newEntry(i, change int) catalogue.Entry {
	e := catalogue.Entry{
		Name: entryName(i), Owner: "Jana Dvořáková", Kind: catalogue.KindLanguage, Class: catalogue.ClassInteractive, Version: oldVersion,
		Objective: catalogue.Objective{FirstToken: 1200 * time.Millisecond, BetweenTokens: 41 * time.Millisecond, Success: 0.99},
	}
	if i >= languageEntries {
		e.Kind, e.Version, e.Objective.BetweenTokens = catalogue.KindService, "1", 0
		e.Repeatable = []string{"GET /slots", "POST /quotes"}
	}
	for j := range limitsPerEntry {
		e.Limits = append(e.Limits, catalogue.Limit{
			Workspace: workspaceName((i + j*workspaces/limitsPerEntry) % workspaces), RequestsPerSecond: float64(50_000 + change%100), Concurrent: 400,
		})
	}
	return e
}

// encodeCatalogue returns a new catalogue in the encoding of the store.
func encodeCatalogue(change int, moving bool) ([]byte, error) {
	c, err := newCatalogue(change, moving)
	if err != nil {
		return nil, err
	}
	data, err := catalogue.Encode(c)
	if err != nil {
		// A validation error has a line for each invalid value.
		return nil, fmt.Errorf("encode the catalogue: %s", strings.ReplaceAll(err.Error(), "\n", "; "))
	}
	return data, nil
}
