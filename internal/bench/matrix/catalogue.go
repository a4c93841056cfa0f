package matrix

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/load"
)

// Names in the catalogue and in the topology.
const (
	languageEntry = "stetec-ai"
	serviceEntry  = "kalendar-app"
	oldVersion    = "2026-11"
	newVersion    = "2026-12"
	region        = "morava"
)

var failureDomains = []string{"brno-a", "brno-b", "olomouc"}

// workloadMix returns the workload of all cells: the workload dvorak with a class
// of text completions, and with more repeated bookings: half of the bookings are
// sent a second time with the same key, and an unanswered booking is retried up to
// twice. A repeated call usually reaches another entry instance than the first.
func workloadMix() (load.Mix, error) {
	m, err := load.MixNamed("dvorak")
	if err != nil {
		return m, err
	}
	classes := make([]load.Class, 0, len(m.Classes)+1)
	for _, c := range m.Classes {
		if c.Kind == load.KindService {
			c.ResendShare, c.Retries = 0.5, 2
		}
		classes = append(classes, c)
	}
	m.Classes = append(classes, load.Class{
		Name: "text-completion", CatalogueEntry: languageEntry, Kind: load.KindCompletion, Weight: 0.1,
		PrefixWords: 20, PrefixVariants: 1, MinWords: 5, MaxWords: 20, MaxTokens: 60,
	})
	return m, nil
}

// settings are the values of the catalogue that cells change.
type settings struct {
	version string
	moveBy  time.Time
	// requestsPerSecond is the limit of each workspace. Cells change it only to
	// create a new revision; the load never reaches it.
	requestsPerSecond int
}

// yaml returns the catalogue file.
func (s settings) yaml(basedOn int64, workspaces []load.Workspace) string {
	var b strings.Builder
	fmt.Fprintf(&b, "based-on: %d\nworkspaces:\n", basedOn)
	for _, w := range workspaces {
		sum := sha256.Sum256([]byte(w.Token()))
		fmt.Fprintf(&b, "  - {name: %s, owner: Jana Dvořáková, token-hashes: [%s]}\n", w.Name, hex.EncodeToString(sum[:]))
	}
	fmt.Fprintf(&b, "entries:\n  - name: %s\n    owner: Jana Dvořáková\n    kind: language\n    class: interactive\n    version: %q\n", languageEntry, s.version)
	if !s.moveBy.IsZero() {
		fmt.Fprintf(&b, "    move-by: %s\n", s.moveBy.UTC().Format(time.RFC3339Nano))
	}
	fmt.Fprintf(&b, "    objective: {first-token: 1.2s, between-tokens: 41ms, success: 0.99}\n    limits:\n")
	for _, w := range workspaces {
		fmt.Fprintf(&b, "      - {workspace: %s, requests-per-second: %d, concurrent: 500}\n", w.Name, s.requestsPerSecond)
	}
	fmt.Fprintf(&b, "  - name: %s\n    owner: Jana Dvořáková\n    kind: service\n    class: interactive\n    version: \"1\"\n    objective: {first-token: 500ms, success: 0.999}\n", serviceEntry)
	return b.String()
}
