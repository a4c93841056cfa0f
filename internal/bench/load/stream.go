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

// maxLine bounds a line of a stream in bytes.
const maxLine = 1 << 20

var (
	errCutOff = errors.New("stream ended without [DONE]")
	// errFailed is a failure that the stream reports.
	errFailed = errors.New("stream reported a failure")
)

// chunk is a response or a part of a stream, for chats and completions.
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
	Error   *failure `json:"error"`
	Outcome string   `json:"outcome"`
}

// failure is an error in OpenAI's format.
type failure struct {
	Message string `json:"message"`
	Code    string `json:"code"`
}

// checker compares a response with the expected one as it arrives. It lasts
// over the resumptions of a stream.
type checker struct {
	now func() time.Time
	// rest is the expected text that has not arrived.
	rest   string
	finish string
	// finished is set when the finish reason arrived.
	finished bool
	// event is the ID of the last event of a stream.
	event string
	out   *result
}

func newChecker(r Request, out *result, now func() time.Time) *checker {
	a := answer.For(r.Prompt)
	return &checker{now: now, rest: a.Text(r.MaxTokens), finish: a.Finish(r.MaxTokens), out: out}
}

// read checks a stream of server-sent events up to [DONE].
func (c *checker) read(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 4096), maxLine)
	var data []byte
	for lines.Scan() {
		line := lines.Bytes()
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case len(line) == 0 && len(data) > 0:
			if done, err := c.dispatch(data); done || err != nil {
				return err
			}
			data = data[:0]
		case string(field) == "data":
			if len(data) > 0 {
				data = append(data, '\n')
			}
			data = append(data, value...)
		case string(field) == "id":
			c.event = string(value)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%w: %w", errCutOff, err)
	}
	return errCutOff
}

// dispatch checks one event.
func (c *checker) dispatch(data []byte) (done bool, err error) {
	if string(data) == "[DONE]" {
		return true, c.complete()
	}
	var k chunk
	if err := json.Unmarshal(data, &k); err != nil {
		return false, fmt.Errorf("%w: invalid event: %w", errWrong, err)
	}
	return false, c.accept(k)
}

// accept checks a chunk against the expected text.
func (c *checker) accept(k chunk) error {
	if k.Error != nil {
		c.out.code = k.Error.Code
		if k.Outcome != string(Unknown) {
			return fmt.Errorf("%w: failure %q has outcome %q", errWrong, k.Error.Message, k.Outcome)
		}
		return fmt.Errorf("%w: %s", errFailed, k.Error.Message)
	}
	if k.Usage != nil {
		c.out.usage.add(tokens{Prompt: k.Usage.Prompt, Cached: k.Usage.Details.Cached, Completion: k.Usage.Completion})
	}
	for _, choice := range k.Choices {
		if text := choice.Text + choice.Message.Content + choice.Delta.Content; text != "" {
			c.out.content(c.now())
			rest, ok := strings.CutPrefix(c.rest, text)
			if !ok {
				return fmt.Errorf("%w: content %.40q, want %.40q", errWrong, text, c.rest)
			}
			c.rest = rest
		}
		if choice.Finish != "" {
			if choice.Finish != c.finish {
				return fmt.Errorf("%w: finish reason %q, want %q", errWrong, choice.Finish, c.finish)
			}
			c.finished = true
		}
	}
	return nil
}

// complete checks that nothing is missing at the end.
func (c *checker) complete() error {
	if c.rest != "" {
		return fmt.Errorf("%w: %d bytes are missing at the end", errWrong, len(c.rest))
	}
	if !c.finished {
		return fmt.Errorf("%w: the finish reason is missing", errWrong)
	}
	return nil
}
