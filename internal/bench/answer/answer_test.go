package answer

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against equal tokens of different prompts or positions, because the
// content check would then miss a wrong or shifted token.
func TestTokensDiffer(t *testing.T) {
	same := 0
	const n = 10000
	for i := range n {
		if Token("a", i) == Token("b", i) || Token("a", i) == Token("a", i+1) {
			same++
		}
	}
	// A token has 18 random bits, so about 0.08 collisions are expected.
	if same > 3 {
		t.Errorf("%d of %d tokens are not distinct", same, n)
	}
}

// Guards against a length that differs from the number of tokens in the text.
func TestTextHasLengthTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt, limit := rapid.String().Draw(t, "prompt"), rapid.IntRange(0, 600).Draw(t, "limit")
		n := Length(prompt, limit)
		if n < 1 || (limit > 0 && n > limit) {
			t.Errorf("Length(%q, %d) = %d", prompt, limit, n)
		}
		if got, want := len(Expected(prompt).Text(limit)), n*len(Token(prompt, 0)); got != want {
			t.Errorf("Text(%d) has %d bytes, want %d", limit, got, want)
		}
	})
}
