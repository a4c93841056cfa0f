package engine

import (
	"bytes"
	"encoding/json"
	"math"
	"unicode/utf8"
)

// parseFrame parses a line. A frame in the usual form, without escapes and
// usage, costs one allocation, for its token; the ID of the attempt is not
// copied. Others are left to encoding/json.
func parseFrame(line []byte, attempt string, f *Frame) error {
	*f = Frame{}
	p := parser{rest: line}
	if p.frame(attempt, f) {
		return nil
	}
	*f = Frame{}
	return json.Unmarshal(line, f)
}

// parser reads the usual form. Its methods return false for anything else.
type parser struct{ rest []byte }

func (p *parser) frame(attempt string, f *Frame) bool {
	if !p.skip('{') {
		return false
	}
	for {
		key, ok := p.text()
		if !ok || !p.skip(':') || !p.field(key, attempt, f) {
			return false
		}
		if p.skip(',') {
			continue
		}
		return p.skip('}') && len(bytes.TrimSpace(p.rest)) == 0
	}
}

func (p *parser) field(key []byte, attempt string, f *Frame) (ok bool) {
	if string(key) == "index" {
		f.Index, ok = p.number()
		return ok
	}
	value, ok := p.text()
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

func (p *parser) space() {
	for len(p.rest) > 0 && (p.rest[0] == ' ' || p.rest[0] == '\t' || p.rest[0] == '\r' || p.rest[0] == '\n') {
		p.rest = p.rest[1:]
	}
}

func (p *parser) skip(c byte) bool {
	p.space()
	if len(p.rest) == 0 || p.rest[0] != c {
		return false
	}
	p.rest = p.rest[1:]
	return true
}

func (p *parser) text() ([]byte, bool) {
	if !p.skip('"') {
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

func (p *parser) number() (n int, ok bool) {
	p.space()
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
