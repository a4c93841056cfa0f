package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/answer"
)

// maxLineBytes limits the length of a line of a stream.
const maxLineBytes = 1 << 20

var (
	errCutOff = errors.New("stream ended without [DONE]")
	// errStreamFailure means that the stream contains an error event.
	errStreamFailure = errors.New("stream reported a failure")
)

// chunk is a complete response or one event of a stream, for chats and
// completions.
type chunk struct {
	Choices []struct {
		Text    string `json:"text"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
		Details    struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error   *apiError `json:"error"`
	Outcome string    `json:"outcome"`
}

// apiError is an error in the format of the OpenAI API.
type apiError struct {
	Message string `json:"message"`
	Code    string `json:"code"`
}

// checker compares a response incrementally with the expected response. A call
// uses the same checker for all resumptions of its stream.
type checker struct {
	now func() time.Time
	// remaining is the expected text that has not arrived yet.
	remaining string
	// finishReason is the expected finish reason.
	finishReason string
	// finished is set when the finish reason has arrived.
	finished bool
	// lastEventID is the ID of the last event received, or empty.
	lastEventID string
	result      *result
}

func newChecker(req Request, res *result, now func() time.Time) *checker {
	a := answer.Expected(req.Prompt)
	return &checker{now: now, remaining: a.Text(req.MaxTokens), finishReason: a.FinishReason(req.MaxTokens), result: res}
}

// checkStream checks a stream of server-sent events up to [DONE].
func (c *checker) checkStream(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 4096), maxLineBytes)
	var data []byte
	for lines.Scan() {
		line := lines.Bytes()
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case len(line) == 0 && len(data) > 0:
			if done, err := c.checkEvent(data); done || err != nil {
				return err
			}
			data = data[:0]
		case string(field) == "data":
			if len(data) > 0 {
				data = append(data, '\n')
			}
			data = append(data, value...)
		case string(field) == "id":
			c.lastEventID = string(value)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%w: %w", errCutOff, err)
	}
	return errCutOff
}

// checkEvent checks the data of one event. It returns done as true for [DONE].
func (c *checker) checkEvent(data []byte) (done bool, err error) {
	if string(data) == "[DONE]" {
		return true, c.checkEnd()
	}
	var received chunk
	if err := json.Unmarshal(data, &received); err != nil {
		return false, fmt.Errorf("%w: invalid event: %w", errWrong, err)
	}
	return false, c.checkChunk(received)
}

// checkChunk checks a chunk against the expected text.
func (c *checker) checkChunk(received chunk) error {
	if received.Error != nil {
		c.result.code = received.Error.Code
		if received.Outcome != string(OutcomeUnknown) {
			return fmt.Errorf("%w: failure %q has outcome %q", errWrong, received.Error.Message, received.Outcome)
		}
		return fmt.Errorf("%w: %s", errStreamFailure, received.Error.Message)
	}
	if received.Usage != nil {
		c.result.usage.add(tokenUsage{Prompt: received.Usage.Prompt, Cached: received.Usage.Details.Cached, Completion: received.Usage.Completion})
	}
	for _, choice := range received.Choices {
		if text := choice.Text + choice.Message.Content + choice.Delta.Content; text != "" {
			c.result.recordContent(c.now())
			remaining, ok := strings.CutPrefix(c.remaining, text)
			if !ok {
				return fmt.Errorf("%w: content %.40q, want %.40q", errWrong, text, c.remaining)
			}
			c.remaining = remaining
		}
		if choice.Finish != "" {
			if choice.Finish != c.finishReason {
				return fmt.Errorf("%w: finish reason %q, want %q", errWrong, choice.Finish, c.finishReason)
			}
			c.finished = true
		}
	}
	return nil
}

// checkEnd checks that the text and the finish reason are complete at the end.
func (c *checker) checkEnd() error {
	if c.remaining != "" {
		return fmt.Errorf("%w: %d bytes are missing at the end", errWrong, len(c.remaining))
	}
	if !c.finished {
		return fmt.Errorf("%w: the finish reason is missing", errWrong)
	}
	return nil
}
