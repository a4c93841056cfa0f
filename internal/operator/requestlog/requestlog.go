package requestlog

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// relatedWindow is the time before and after a request's log line within
	// which log lines of the same instance without a request ID count as related.
	relatedWindow = 10 * time.Second
	// maxLineBytes is the maximum length of a log line. Read skips longer lines.
	maxLineBytes = 1 << 20
)

// line is a parsed log line.
type line struct {
	Time     float64 `json:"ts"` // Unix seconds
	Message  string  `json:"msg"`
	Instance string  `json:"instance"`
	Request  string  `json:"request"`
	Server   string  `json:"server"`
	Sends    []struct {
		Server string `json:"server"`
	} `json:"sends"`
	fields map[string]any // all JSON fields of the line
}

// Read returns the log events of a request and the related events of its
// instance, one per line and ordered by time. Times are relative to the first line
// of the request in logs. Each line of logs may have any text before its JSON. Read
// returns an error if no line belongs to the request. Lines that exceed 1 MiB are
// skipped: the instances write none.
func Read(logs io.Reader, request string) (string, error) {
	lines, err := parse(logs)
	if err != nil {
		return "", err
	}
	var requestLines []line
	for _, l := range lines {
		if l.Request == request {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		return "", fmt.Errorf("no log line has request ID %q; its line may have been omitted (metric forward_log_lines_omitted_total)", request)
	}
	events := slices.DeleteFunc(lines, func(l line) bool {
		return l.Request != request && (l.Request != "" || !slices.ContainsFunc(requestLines, func(r line) bool { return r.isRelated(l) }))
	})
	slices.SortStableFunc(events, func(a, b line) int { return cmp.Compare(a.Time, b.Time) })
	var out strings.Builder
	for _, l := range events {
		l.print(&out, requestLines[0].Time)
	}
	return out.String(), nil
}

// isRelated reports whether other was logged by the same instance within
// relatedWindow of l, and concerns either no particular server or a server that
// the request was sent to.
func (l line) isRelated(other line) bool {
	if l.Instance != other.Instance || other.Time < l.Time-relatedWindow.Seconds() || other.Time > l.Time+relatedWindow.Seconds() {
		return false
	}
	if other.Server == "" {
		return true
	}
	for _, s := range l.Sends {
		if s.Server == other.Server {
			return true
		}
	}
	return false
}

// print writes l to out with its time in seconds since start. An asterisk marks the
// lines of the request itself. Each send of the request follows on its own line.
func (l line) print(out io.Writer, start float64) {
	mark := " "
	if l.Request != "" {
		mark = "*"
	}
	fmt.Fprintf(out, "%s %+8.3f s  %s  %s", mark, l.Time-start, l.Instance, l.Message)
	keys := make([]string, 0, len(l.fields))
	for k := range l.fields {
		if !slices.Contains([]string{"ts", "msg", "instance", "level", "sends"}, k) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		fmt.Fprintf(out, " %s=%v", k, l.fields[k])
	}
	fmt.Fprintln(out)
	sends, ok := l.fields["sends"].([]any)
	if !ok {
		return
	}
	for _, s := range sends {
		data, err := json.Marshal(s)
		if err != nil {
			continue // cannot happen: s was decoded from JSON
		}
		fmt.Fprintf(out, "              sent: %s\n", data)
	}
}

// parse returns the log lines that contain a JSON object with a message.
func parse(logs io.Reader) (lines []line, err error) {
	in := bufio.NewReaderSize(logs, 64<<10)
	for {
		text, err := readLine(in)
		if errors.Is(err, io.EOF) && len(text) == 0 {
			return lines, nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("read logs: %w", err)
		}
		jsonStart := bytes.IndexByte(text, '{')
		if jsonStart < 0 {
			continue
		}
		var l line
		data := text[jsonStart:]
		if json.Unmarshal(data, &l) != nil || l.Message == "" {
			continue // not a log line of an instance
		}
		decoder := json.NewDecoder(bytes.NewReader(data))
		decoder.UseNumber() // float64 cannot hold large int64 values, such as revisions, exactly
		if decoder.Decode(&l.fields) != nil {
			continue
		}
		lines = append(lines, l)
	}
}

// readLine returns the next line, or one without text if it exceeds maxLineBytes.
// The error is io.EOF at the end of the logs, also with the last line.
func readLine(in *bufio.Reader) (text []byte, err error) {
	long := false
	for {
		part, err := in.ReadSlice('\n')
		if long = long || len(text)+len(part) > maxLineBytes; !long {
			text = append(text, part...)
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case long && err == nil:
			return []byte{'\n'}, nil
		case long:
			return nil, err
		}
		return text, err
	}
}
