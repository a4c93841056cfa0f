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

// Counts are the numbers of requests that the demo sent, by result.
// DuplicateRuns is the number of runs of bookings beyond the first run of each.
type Counts struct {
	Sent, Answered, Wrong, Failed, Replayed, DuplicateRuns int
}

// Correct reports whether requests were sent, every request got the correct
// response and no booking ran twice.
func (c Counts) Correct() bool {
	return c.Sent > 0 && c.Answered == c.Sent && c.Wrong == 0 && c.Failed == 0 && c.DuplicateRuns == 0
}

// tally collects counts and failures. It is safe for concurrent use.
type tally struct {
	mu       sync.Mutex
	counts   map[string]*Counts
	failures []string
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

func (t *tally) addFailure(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = append(t.failures, fmt.Sprintf(format, args...))
}

// record counts a request of a kind and compares its response with want.
func (t *tally) record(kind, request, got, want string, err error) {
	switch {
	case err != nil:
		t.addFailure("%s %q: %v", kind, request, err)
		t.update(kind, func(c *Counts) { c.Sent++; c.Failed++ })
	case got != want:
		t.addFailure("%s %q: got %q, want %q", kind, request, got, want)
		t.update(kind, func(c *Counts) { c.Sent++; c.Wrong++ })
	default:
		t.update(kind, func(c *Counts) { c.Sent++; c.Answered++ })
	}
}

// expectedResponse returns the response that an engine must give to a single user
// message.
func expectedResponse(message string, maxTokens int) string {
	prompt := "user: " + message + "\n"
	var b strings.Builder
	for i := range answer.Length(prompt, maxTokens) {
		b.WriteString(answer.Token(prompt, i))
	}
	return b.String()
}

// chatClient sends chat requests to one entry instance.
type chatClient struct {
	client openai.Client
	model  string
}

func newChatClient(address, token, model string) *chatClient {
	return &chatClient{
		client: openai.NewClient(option.WithBaseURL("http://"+address+"/v1/"), option.WithAPIKey(token)),
		model:  model,
	}
}

// complete sends a single message and returns the complete response.
func (c *chatClient) complete(ctx context.Context, message string, maxTokens int, streamed bool) (string, error) {
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

// sendBooking sends a non-idempotent call to the plain service. replayed reports
// whether the response came from the journal.
func sendBooking(ctx context.Context, address, token, entry, key, body string) (got string, replayed bool, err error) {
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
