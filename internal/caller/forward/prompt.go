package forward

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"wasabiworks.example/wasabiworks/internal/decide/route"
)

const (
	// maxParts bounds the parts of a prompt by which a server is chosen.
	maxParts = 64
	// maxSharedParts bounds the parts of a prompt that may be found to crash servers. The
	// headers of a request hold fewer, unless most of them are a few bytes long.
	maxSharedParts = 1024
)

// parsePrompt decodes the token counts and the parts of a prompt. It reads a
// malformed count as 0 and stops at a malformed part. Malformed values do not fail
// the request, because they only affect the choice of a server and the units that
// are taken from the allowance. It also returns the IDs of the parts that requests may
// share: all but the last one, which belongs to the request or its session.
func parsePrompt(tokens, prefix string) (p route.Prompt, shared []uint64) {
	in, out, _ := strings.Cut(tokens, ",")
	p.Tokens = parseCount(in)
	p.MaxTotalTokens = p.Tokens + parseCount(out)
	chain := uint64(0)
	var ids []uint64
	for part := range strings.SplitSeq(prefix, ",") {
		id, size, ok := strings.Cut(strings.TrimSpace(part), ":")
		if !ok || len(ids) > maxSharedParts {
			break
		}
		ids = append(ids, xxhash.Sum64String(id))
		if len(p.Parts) < maxParts {
			chain = xxhash.Sum64String(strconv.FormatUint(chain, 16) + ":" + id)
			p.Parts = append(p.Parts, route.Part{ID: ids[len(ids)-1], Chain: chain, Tokens: parseCount(size)})
		}
	}
	if len(ids) > 0 {
		shared = ids[:len(ids)-1]
	}
	return p, shared
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
