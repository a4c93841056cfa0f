package answer

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	consonants = "bdfghjklmnprstvz"
	vowels     = "aeio"
	syllables  = 3

	// minLength and maxLength limit the length of a response in tokens if the
	// request sets no maximum. They range from a short reply to a long report.
	minLength = 8
	maxLength = 512
)

// Message is one message of a chat.
type Message struct {
	Role    string
	Content string
}

// ChatPrompt returns the prompt that an engine receives for a chat: one line
// "role: content" per message.
func ChatPrompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Response is the expected response to a prompt. It holds only the hash of the
// prompt, so that the time to compute a token does not depend on the length of
// the prompt.
type Response struct {
	seed uint64
}

// Expected returns the expected response to a prompt.
func Expected(prompt string) Response {
	return Response{seed: xxhash.Sum64String(prompt)}
}

// Token returns the token with index i: a short word and a space.
func (r Response) Token(i int) string {
	h := mix64(r.seed + uint64(i)*0x9e3779b97f4a7c15)
	var b [2*syllables + 1]byte
	for k := range syllables {
		b[2*k] = consonants[h&15]
		b[2*k+1] = vowels[h>>4&3]
		h >>= 6
	}
	b[2*syllables] = ' '
	return string(b[:])
}

// Length returns the number of tokens, at most maxTokens if that is positive.
func (r Response) Length(maxTokens int) int {
	n := minLength + int(mix64(r.seed^0x5bd1e995)%(maxLength-minLength+1))
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	return n
}

// FinishReason returns the finish reason: "length" if maxTokens truncates the
// response, otherwise "stop".
func (r Response) FinishReason(maxTokens int) string {
	if r.Length(maxTokens) < r.Length(0) {
		return "length"
	}
	return "stop"
}

// Text returns the first Length(maxTokens) tokens as one string.
func (r Response) Text(maxTokens int) string {
	var b strings.Builder
	for i := range r.Length(maxTokens) {
		b.WriteString(r.Token(i))
	}
	return b.String()
}

// Token returns For(prompt).Token(i).
func Token(prompt string, i int) string {
	return Expected(prompt).Token(i)
}

// Length returns For(prompt).Length(maxTokens).
func Length(prompt string, maxTokens int) int {
	return Expected(prompt).Length(maxTokens)
}

// ServiceBody returns the body of the expected response of a plain service to a
// request. The path starts with a slash and has no query; key is the idempotency
// key. The fakes send these bytes unchanged, because the load tool compares the
// bytes and not the decoded JSON.
func ServiceBody(method, path, key string, body []byte) []byte {
	data, err := json.Marshal(struct {
		Method string `json:"method"`
		Path   string `json:"path"`
		Key    string `json:"key"`
		Sum    uint64 `json:"sum,string"`
		Length int    `json:"length"`
	}{method, path, key, xxhash.Sum64(body), len(body)})
	if err != nil {
		return nil // not reached: these types always marshal
	}
	return data
}

// mix64 is the finalizer of SplitMix64, a bijection that spreads the differences
// of consecutive inputs over all bits.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
