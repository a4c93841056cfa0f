package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// catalogueYAML returns the demo's catalogue file with the given version of the
// language entry. A zero moveBy omits the deadline of a move.
func catalogueYAML(version string, basedOn int64, moveBy time.Time) string {
	sum := sha256.Sum256([]byte(demoToken))
	move := ""
	if !moveBy.IsZero() {
		move = "\n    move-by: " + moveBy.UTC().Format(time.RFC3339Nano)
	}
	return fmt.Sprintf(`based-on: %d
workspaces:
  - name: fairs
    owner: Jana Dvořáková
    token-hashes: [%s]
entries:
  - name: %s
    owner: Jana Dvořáková
    kind: language
    class: interactive
    version: "%s"%s
    objective: {first-token: 1.2s, between-tokens: 41ms, success: 0.99}
    limits:
      - {workspace: fairs, requests-per-second: 500, concurrent: 200}
  - name: %s
    owner: Jana Dvořáková
    kind: service
    class: interactive
    version: "1"
    objective: {first-token: 500ms, success: 0.999}
`, basedOn, hex.EncodeToString(sum[:]), languageEntry, version, move, serviceEntry)
}
