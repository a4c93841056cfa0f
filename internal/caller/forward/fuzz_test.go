package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"
)

// Guards against bytes that are changed or lost when a stream is split into
// events.
func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nrest"))
	f.Add([]byte("\n\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := eventReader{reader: bufio.NewReaderSize(bytes.NewReader(data), 16)}
		var got []byte
		for {
			event, err := r.next()
			got = append(got, event...)
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				return // the event exceeds the size limit
			}
			eventID(event)
		}
		if !bytes.Equal(got, data) {
			t.Errorf("events of %q: got %q", data, got)
		}
	})
}

// Guards against integer overflow in the token counts of a prompt.
func FuzzParsePrompt(f *testing.F) {
	f.Add("1460,80", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
	f.Add("-1,99999999999999999999", ",:,a:b,:1")
	f.Fuzz(func(t *testing.T, tokens, prefix string) {
		p, _ := parsePrompt(tokens, prefix)
		shared, _ := p.Shared()
		if p.Tokens < 0 || p.MaxTotalTokens < p.Tokens || shared < 0 || len(p.Parts) > maxParts {
			t.Errorf("%q, %q: got %+v with %d shared tokens", tokens, prefix, p, shared)
		}
	})
}
