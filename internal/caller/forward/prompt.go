package forward

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"wasabiworks.example/wasabiworks/internal/decide/route"
)

// maxParts bounds the parts of a prompt that are looked at.
const maxParts = 64

// parsePrompt decodes the sizes and the parts of a prompt. What cannot be read
// is left out: it only guides the choice of a server.
func parsePrompt(tokens, prefix string) route.Prompt {
	var p route.Prompt
	in, out, _ := strings.Cut(tokens, ",")
	p.Tokens = number(in)
	p.Total = p.Tokens + number(out)
	chain := uint64(0)
	for part := range strings.SplitSeq(prefix, ",") {
		id, size, ok := strings.Cut(strings.TrimSpace(part), ":")
		if !ok || len(p.Parts) == maxParts {
			break
		}
		chain = xxhash.Sum64String(strconv.FormatUint(chain, 16) + ":" + id)
		p.Parts = append(p.Parts, route.Part{Chain: chain, Tokens: number(size)})
	}
	return p
}

func number(s string) int {
	n, err := strconv.ParseUint(strings.TrimSpace(s), 10, 31)
	if err != nil {
		return 0
	}
	return int(n)
}
