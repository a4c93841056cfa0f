package transcripts

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"wasabiworks.example/wasabiworks/internal/operator/admin"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
)

// Bearer tokens of the workspaces in the catalogue. The limit of the workspace
// mills is 0.002 requests per second on the language entry, so a second request
// in a test is rejected.
const (
	fairsToken = "fairs-token"
	millsToken = "mills-token"
)

// settings are the values of the catalogue that sessions change.
type settings struct {
	basedOn int64
	version string
	moveBy  time.Time
	owner   string
}

// yaml returns the catalogue file. The latency objectives are far longer than a
// busy machine needs, so that no response counts as slow.
func (s settings) yaml() string {
	hash := func(token string) string {
		sum := sha256.Sum256([]byte(token))
		return hex.EncodeToString(sum[:])
	}
	if s.version == "" {
		s.version = oldVersion
	}
	if s.owner == "" {
		s.owner = "Jana"
	}
	move := ""
	if !s.moveBy.IsZero() {
		move = ", move-by: " + s.moveBy.UTC().Format(time.RFC3339)
	}
	return fmt.Sprintf(`based-on: %d
workspaces:
  - {name: fairs, owner: Jana, token-hashes: [%s]}
  - {name: mills, owner: Asha, token-hashes: [%s]}
entries:
  - {name: %s, owner: %s, kind: language, class: interactive, version: "%s"%s,
     objective: {first-token: 5m, between-tokens: 5m, success: 0.99},
     limits: [{workspace: mills, requests-per-second: 0.002, concurrent: 2}]}
  - {name: %s, owner: Jana, kind: service, class: interactive, version: "1",
     objective: {first-token: 5m, success: 0.99}}
`, s.basedOn, hash(fairsToken), hash(millsToken), languageEntry, s.owner, s.version, move, serviceEntry)
}

// propose validates a catalogue against the one in the store.
func (d *deployment) propose(author, yaml string) (*admin.Proposal, error) {
	f, err := catalogue.ParseFile("catalogue.yaml", []byte(yaml))
	if err != nil {
		return nil, err
	}
	return d.store.Propose(context.Background(), f, author, "session")
}

// apply replaces the catalogue and returns its revision.
func (d *deployment) apply(author, yaml string) (int64, error) {
	p, err := d.propose(author, yaml)
	if err != nil {
		return 0, err
	}
	return d.store.Apply(context.Background(), p)
}

// applyCatalogue is a step in which an operator applies a catalogue that is based
// on the session's revision. It waits until all entry instances have it.
func applyCatalogue(author string, s settings) step {
	return func(sn *session) {
		s.basedOn = sn.revision
		p, err := sn.propose(author, s.yaml())
		if err != nil {
			sn.t.Fatal(err)
		}
		sn.applyProposal(author, p)
		for _, e := range sn.entries {
			sn.eventually(e.id+" has the catalogue", func() bool { return sn.status(e).CatalogueRevision >= sn.revision })
		}
	}
}

// applyProposal writes a validated proposal to the store and the result to the
// transcript.
func (sn *session) applyProposal(author string, p *admin.Proposal) {
	sn.printf("$ %s applies\n", author)
	for _, line := range p.Diff {
		sn.printf("  %s\n", line)
	}
	revision, err := sn.store.Apply(context.Background(), p)
	if err != nil {
		sn.printf("! %s\n\n", strings.ReplaceAll(err.Error(), "\n", "\n! "))
		return
	}
	sn.revision = revision
	sn.printf("applied\n\n")
}

// applyConflicting is a step in which two operators edit the same revision. Both
// proposals are validated before either is applied.
func applyConflicting(first, second settings) step {
	return func(sn *session) {
		first.basedOn, second.basedOn = sn.revision, sn.revision
		a, err := sn.propose("Jana", first.yaml())
		if err != nil {
			sn.t.Fatal(err)
		}
		b, err := sn.propose("Asha", second.yaml())
		if err != nil {
			sn.t.Fatal(err)
		}
		sn.applyProposal("Jana", a)
		sn.applyProposal("Asha", b)
		if _, err := sn.propose("Asha", second.yaml()); err != nil {
			sn.printf("$ Asha applies again\n! %s\n\n", strings.ReplaceAll(err.Error(), "\n", "\n! "))
		}
	}
}

// showMoves is a step that waits until the move is in the given phase in the
// status of each entry instance, and prints it.
func showMoves(phase string) step {
	return func(sn *session) {
		for _, e := range sn.entries {
			sn.eventually(e.id+" shows the move as "+phase, func() bool {
				s := sn.status(e)
				return len(s.Moves) == 1 && s.Moves[0].Phase == phase
			})
			for _, m := range sn.status(e).Moves {
				sn.printf("/status of %s: %s from %s to %s, share %v, %s: %s\n", e.id, m.Entry, m.From, m.To, m.Share, m.Phase, m.Reason)
			}
		}
		sn.printf("\n")
	}
}
