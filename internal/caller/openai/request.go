package openai

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"wasabiworks.example/wasabiworks/internal/caller/reply"
)

// Names of the routes, as recorded with the results of attempts (see package
// evidence).
const (
	RouteChat        = "chat"
	RouteCompletions = "completions"
)

const (
	// bytesPerToken is the average number of bytes per token of common
	// tokenizers for English text.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt prefix that is hashed for routing:
	// 1,000 tokens, the minimum for which route.Affinity uses the prefix. For
	// fewer tokens, recomputing costs less than an uneven load.
	prefixBytes = 1000 * bytesPerToken
)

// completionRequest is a decoded and validated request for a completion.
type completionRequest struct {
	id, route, model, key, lastEventID string
	prompt                             string
	// conversation is a hash of the part of the prompt that all requests of a
	// conversation share.
	conversation uint64
	// digest is a hash of the route and the body. It distinguishes a repeated
	// request from another request with the same idempotency key.
	digest       uint64
	bodySize     int
	maxTokens    int
	stream       bool
	includeUsage bool
	// httpRequest provides the bearer token.
	httpRequest *http.Request
}

// wireRequest is the request body with the parameters that are used or checked.
// Other parameters, such as temperature, change neither the format nor the length
// of a response and are ignored.
type wireRequest struct {
	Model         string          `json:"model"`
	Messages      []wireMessage   `json:"messages"`
	Prompt        json.RawMessage `json:"prompt"`
	Stream        bool            `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	BestOf              *int            `json:"best_of"`
	Echo                bool            `json:"echo"`
	Suffix              string          `json:"suffix"`
	Stop                json.RawMessage `json:"stop"`
	Logprobs            json.RawMessage `json:"logprobs"`
	Tools               json.RawMessage `json:"tools"`
	Functions           json.RawMessage `json:"functions"`
	ResponseFormat      struct {
		Type string `json:"type"`
	} `json:"response_format"`
}

type wireMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

const (
	maxModelBytes = 256
	maxMessages   = 4096
)

// decode returns a decoder for requests on a route.
func (s *Server) decode(route string) func(*http.Request) (*completionRequest, error) {
	return func(r *http.Request) (*completionRequest, error) {
		key, err := reply.IdempotencyKey(r)
		if err != nil {
			return nil, err
		}
		body, err := reply.ReadBody(r)
		if err != nil {
			return nil, err
		}
		var q wireRequest
		if err := json.Unmarshal(body, &q); err != nil {
			return nil, reply.Invalid("", "invalid_json", "the request body is not valid: "+err.Error())
		}
		c := &completionRequest{id: r.Header.Get(reply.RequestIDHeader), route: route, model: q.Model, key: key,
			lastEventID: r.Header.Get("Last-Event-ID"), digest: requestDigest(route, body), bodySize: len(body),
			stream: q.Stream, includeUsage: q.StreamOptions.IncludeUsage, httpRequest: r}
		if err := q.checkSupported(); err != nil {
			return nil, err
		}
		if c.maxTokens, err = s.maxTokens(&q); err != nil {
			return nil, err
		}
		return c, c.setPrompt(&q)
	}
}

func requestDigest(route string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(route)
	d.Write([]byte{0})
	d.Write(body)
	return d.Sum64()
}

// checkSupported rejects values of parameters that change the format or the end
// of the response and are not implemented.
func (q *wireRequest) checkSupported() error {
	isSet := func(m json.RawMessage, empty ...string) bool {
		v := string(bytes.TrimSpace(m))
		for _, e := range append(empty, "", "null") {
			if v == e {
				return false
			}
		}
		return true
	}
	for _, p := range []struct {
		name        string
		unsupported bool
	}{
		{"n", q.N != nil && *q.N != 1},
		{"best_of", q.BestOf != nil && *q.BestOf != 1},
		{"echo", q.Echo},
		{"suffix", q.Suffix != ""},
		{"stop", isSet(q.Stop, "[]", `""`)},
		{"logprobs", isSet(q.Logprobs, "false")},
		{"tools", isSet(q.Tools, "[]")},
		{"functions", isSet(q.Functions, "[]")},
		{"response_format", q.ResponseFormat.Type != "" && q.ResponseFormat.Type != "text"},
	} {
		if p.unsupported {
			return reply.Invalid(p.name, "unsupported_parameter", "this value of parameter "+p.name+" is not supported")
		}
	}
	return nil
}

func (s *Server) maxTokens(q *wireRequest) (int, error) {
	limit, name := q.MaxCompletionTokens, "max_completion_tokens"
	if limit == nil {
		limit, name = q.MaxTokens, "max_tokens"
	}
	if limit == nil {
		return s.config.DefaultMaxTokens, nil
	}
	if *limit < 1 || *limit > s.config.MaxTokens {
		return 0, reply.Invalid(name, "invalid_value", name+" must be from 1 to "+strconv.Itoa(s.config.MaxTokens))
	}
	return *limit, nil
}

func (c *completionRequest) setPrompt(q *wireRequest) error {
	if q.Model == "" || len(q.Model) > maxModelBytes {
		return reply.Invalid("model", "invalid_value", "model must name an entry of the catalogue")
	}
	if c.route == RouteChat {
		return c.setChat(q.Messages)
	}
	if err := json.Unmarshal(q.Prompt, &c.prompt); err != nil {
		var list []string
		if err := json.Unmarshal(q.Prompt, &list); err != nil || len(list) != 1 {
			return reply.Invalid("prompt", "invalid_value", "prompt must be a string or a list of one string")
		}
		c.prompt = list[0]
	}
	if c.prompt == "" {
		return reply.Invalid("prompt", "invalid_value", "prompt must not be empty")
	}
	// A text completion has no turns, so the beginning of its prompt identifies
	// the conversation.
	c.conversation = nonzeroHash(c.prompt[:min(len(c.prompt), 256)])
	return nil
}

func (c *completionRequest) setChat(messages []wireMessage) error {
	if len(messages) == 0 || len(messages) > maxMessages {
		return reply.Invalid("messages", "invalid_value", "messages must hold 1 to "+strconv.Itoa(maxMessages)+" messages")
	}
	var b strings.Builder
	b.Grow(c.bodySize)
	conversationEnd := 0
	for i, m := range messages {
		text, ok := messageText(m.Content)
		if !ok || !validRole(m.Role) {
			return reply.Invalid("messages["+strconv.Itoa(i)+"]", "invalid_value", "a message must have a known role and text content")
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(text)
		b.WriteByte('\n')
		if conversationEnd == 0 && m.Role == "user" {
			conversationEnd = b.Len()
		}
	}
	c.prompt = b.String()
	if conversationEnd == 0 {
		conversationEnd = b.Len()
	}
	// The messages up to the first user message are the same in all turns.
	c.conversation = nonzeroHash(c.prompt[:conversationEnd])
	return nil
}

// prefixOf returns the hash of the first prefixBytes of a prompt and their
// approximate length in tokens. Prompts whose first prefixBytes are equal, such as
// those with the same long system prompt or of the same long conversation, have
// the same hash.
func prefixOf(prompt string) (hash uint64, tokens int) {
	n := min(len(prompt), prefixBytes)
	return nonzeroHash(prompt[:n]), max(1, n/bytesPerToken)
}

func nonzeroHash(s string) uint64 {
	if h := xxhash.Sum64String(s); h != 0 {
		return h
	}
	return 1 // the routing policies interpret 0 as no prefix
}

func validRole(role string) bool {
	switch role {
	case "system", "developer", "user", "assistant", "tool", "function":
		return true
	}
	return false
}

// messageText returns the text of a message's content, which must be a string, a
// list of text parts, or null or missing.
func messageText(content json.RawMessage) (string, bool) {
	if len(content) == 0 || string(content) == "null" {
		return "", true
	}
	var text string
	if json.Unmarshal(content, &text) == nil {
		return text, true
	}
	var parts []struct {
		Type string  `json:"type"`
		Text *string `json:"text"`
	}
	if json.Unmarshal(content, &parts) != nil {
		return "", false
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" || p.Text == nil {
			return "", false
		}
		b.WriteString(*p.Text)
	}
	return b.String(), true
}

// requestFingerprint returns the hash that identifies a request in the detection
// of poison requests.
func requestFingerprint(workspace, entry, prompt string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(workspace)
	d.Write([]byte{0})
	d.WriteString(entry)
	d.Write([]byte{0})
	d.WriteString(prompt)
	return d.Sum64()
}
