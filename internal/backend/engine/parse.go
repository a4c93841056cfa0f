package engine

import (
	"bytes"
	"encoding/json"
	"math"
	"unicode/utf8"
)

// parseFrame parses a line of a response into f. A frame without escape
// sequences or usage takes a fast path with a single allocation, for its token;
// the attempt ID is copied only if it differs from attempt. Other lines are left
// to encoding/json.
func parseFrame(line []byte, attempt string, f *Frame) error {
	*f = Frame{}
	p := frameParser{rest: line}
	if p.frame(attempt, f) {
		return nil
	}
	*f = Frame{}
	return json.Unmarshal(line, f)
}

// frameParser is the fast path of parseFrame. Its methods return false for input
// that is left to encoding/json.
type frameParser struct{ rest []byte }

func (p *frameParser) frame(attempt string, f *Frame) bool {
	if !p.consume('{') {
		return false
	}
	for {
		key, ok := p.stringLiteral()
		if !ok || !p.consume(':') || !p.field(key, attempt, f) {
			return false
		}
		if p.consume(',') {
			continue
		}
		return p.consume('}') && len(bytes.TrimSpace(p.rest)) == 0
	}
}

func (p *frameParser) field(key []byte, attempt string, f *Frame) (ok bool) {
	if string(key) == "index" {
		f.Index, ok = p.number()
		return ok
	}
	value, ok := p.stringLiteral()
	if !ok {
		return false
	}
	switch string(key) {
	case "attempt":
		if string(value) == attempt {
			f.Attempt = attempt
		} else {
			f.Attempt = string(value)
		}
	case "token":
		f.Token = string(value)
	case "finish":
		f.Finish = string(value)
	default:
		return false
	}
	return true
}

func (p *frameParser) skipSpace() {
	for len(p.rest) > 0 && (p.rest[0] == ' ' || p.rest[0] == '\t' || p.rest[0] == '\r' || p.rest[0] == '\n') {
		p.rest = p.rest[1:]
	}
}

func (p *frameParser) consume(c byte) bool {
	p.skipSpace()
	if len(p.rest) == 0 || p.rest[0] != c {
		return false
	}
	p.rest = p.rest[1:]
	return true
}

func (p *frameParser) stringLiteral() ([]byte, bool) {
	if !p.consume('"') {
		return nil, false
	}
	ascii := true
	for i, c := range p.rest {
		switch {
		case c == '"':
			s := p.rest[:i]
			p.rest = p.rest[i+1:]
			return s, ascii || utf8.Valid(s)
		case c == '\\' || c < ' ':
			return nil, false
		case c >= utf8.RuneSelf:
			ascii = false
		}
	}
	return nil, false
}

func (p *frameParser) number() (n int, ok bool) {
	p.skipSpace()
	i := 0
	for ; i < len(p.rest) && p.rest[i] >= '0' && p.rest[i] <= '9'; i++ {
		if n > math.MaxInt32 {
			return 0, false
		}
		n = 10*n + int(p.rest[i]-'0')
	}
	if i == 0 || i > 1 && p.rest[0] == '0' {
		return 0, false
	}
	p.rest = p.rest[i:]
	return n, true
}
