package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"wasabiworks.example/wasabiworks/internal/bench/answer"
)

// Counts are the results of the requests that the demo sent.
type Counts struct {
	Asked, Answered, Wrong, Failed, Replayed, Doubled int
}

// Correct reports whether every request got its own response exactly once.
func (c Counts) Correct() bool {
	return c.Asked > 0 && c.Answered == c.Asked && c.Wrong == 0 && c.Failed == 0 && c.Doubled == 0
}

// tally collects counts from several goroutines.
type tally struct {
	mu     sync.Mutex
	counts map[string]*Counts
	faults []string
}

func (t *tally) update(kind string, f func(*Counts)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = make(map[string]*Counts)
	}
	if t.counts[kind] == nil {
		t.counts[kind] = new(Counts)
	}
	f(t.counts[kind])
}

func (t *tally) fault(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, fmt.Sprintf(format, args...))
}

// record counts one response of a kind.
func (t *tally) record(kind, request, got, want string, err error) {
	switch {
	case err != nil:
		t.fault("%s %q: %v", kind, request, err)
		t.update(kind, func(c *Counts) { c.Asked++; c.Failed++ })
	case got != want:
		t.fault("%s %q: got %q, want %q", kind, request, got, want)
		t.update(kind, func(c *Counts) { c.Asked++; c.Wrong++ })
	default:
		t.update(kind, func(c *Counts) { c.Asked++; c.Answered++ })
	}
}

// expectedAnswer is the response that an engine must give to one user message.
func expectedAnswer(message string, maxTokens int) string {
	prompt := "user: " + message + "\n"
	var b strings.Builder
	for i := range answer.Length(prompt, maxTokens) {
		b.WriteString(answer.Token(prompt, i))
	}
	return b.String()
}

// chatter sends chat requests to one entry instance.
type chatter struct {
	client openai.Client
	model  string
}

func newChatter(address, token, model string) *chatter {
	return &chatter{
		client: openai.NewClient(option.WithBaseURL("http://"+address+"/v1/"), option.WithAPIKey(token)),
		model:  model,
	}
}

// ask sends one message and returns the whole response.
func (c *chatter) ask(ctx context.Context, message string, maxTokens int, streamed bool) (string, error) {
	params := openai.ChatCompletionNewParams{
		Model:               c.model,
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage(message)},
		MaxCompletionTokens: openai.Int(int64(maxTokens)),
	}
	if !streamed {
		res, err := c.client.Chat.Completions.New(ctx, params)
		if err != nil {
			return "", err
		}
		if len(res.Choices) != 1 {
			return "", fmt.Errorf("got %d choices, want 1", len(res.Choices))
		}
		return res.Choices[0].Message.Content, nil
	}
	stream := c.client.Chat.Completions.NewStreaming(ctx, params)
	defer stream.Close()
	var b strings.Builder
	finished := false
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			b.WriteString(choice.Delta.Content)
			finished = finished || choice.FinishReason != ""
		}
	}
	if err := stream.Err(); err != nil {
		return b.String(), err
	}
	if !finished {
		return b.String(), fmt.Errorf("stream ended without a finish reason after %d bytes", b.Len())
	}
	return b.String(), nil
}

// book sends a call that must not be repeated to the plain service and reports
// whether the response was a stored one.
func book(ctx context.Context, address, token, entry, key, body string) (got string, replayed bool, err error) {
	url := "http://" + address + "/v1/services/" + entry + "/bookings"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return "", false, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("Idempotency-Key", key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", false, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	if err != nil {
		return "", false, err
	}
	if res.StatusCode != http.StatusOK {
		return "", false, fmt.Errorf("status %d, outcome %q: %s", res.StatusCode, res.Header.Get("Wasabiworks-Outcome"), data)
	}
	return string(data), res.Header.Get("Wasabiworks-Replayed") == "true", nil
}
