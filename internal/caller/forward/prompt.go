package forward

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"wasabiworks.example/wasabiworks/internal/decide/route"
)

// maxParts bounds the parts of a prompt that are evaluated.
const maxParts = 64

// parsePrompt decodes the token counts and the parts of a prompt. It reads a
// malformed count as 0 and stops at a malformed part. Malformed values do not fail
// the request, because they only affect the choice of a server and the units that
// are taken from the allowance.
func parsePrompt(tokens, prefix string) route.Prompt {
	var p route.Prompt
	in, out, _ := strings.Cut(tokens, ",")
	p.Tokens = parseCount(in)
	p.MaxTotalTokens = p.Tokens + parseCount(out)
	chain := uint64(0)
	for part := range strings.SplitSeq(prefix, ",") {
		id, size, ok := strings.Cut(strings.TrimSpace(part), ":")
		if !ok || len(p.Parts) == maxParts {
			break
		}
		chain = xxhash.Sum64String(strconv.FormatUint(chain, 16) + ":" + id)
		p.Parts = append(p.Parts, route.Part{ID: xxhash.Sum64String(id), Chain: chain, Tokens: parseCount(size)})
	}
	return p
}

// parseCount returns the number in s, or 0 if s is malformed or the number has
// more than 31 bits.
func parseCount(s string) int {
	n, err := strconv.ParseUint(strings.TrimSpace(s), 10, 31)
	if err != nil {
		return 0
	}
	return int(n)
}
