package story

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// around is the time before and after a request in which changes of what its
	// instance believes belong to its story.
	around = 10 * time.Second
	// maxLine bounds a log line in bytes; longer ones are passed over.
	maxLine = 1 << 20
)

// line is a log line; fields holds all of it.
type line struct {
	Time     float64 `json:"ts"` // Unix seconds
	Message  string  `json:"msg"`
	Instance string  `json:"instance"`
	Request  string  `json:"request"`
	Server   string  `json:"server"`
	Sends    []struct {
		Server string `json:"server"`
	} `json:"sends"`
	fields map[string]any
}

// Read returns the story of a request, one event a line, from logs that may
// have anything before the JSON of a line. It returns an error if no line is
// about the request.
func Read(logs io.Reader, request string) (string, error) {
	lines, err := parse(logs)
	if err != nil {
		return "", err
	}
	var own []line
	for _, l := range lines {
		if l.Request == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return "", fmt.Errorf("no line is about request %q; its line may have been left out (metric forward_log_lines_omitted_total)", request)
	}
	events := slices.DeleteFunc(lines, func(l line) bool {
		return l.Request != request && (l.Request != "" || !slices.ContainsFunc(own, func(o line) bool { return o.concerns(l) }))
	})
	slices.SortStableFunc(events, func(a, b line) int { return cmp.Compare(a.Time, b.Time) })
	var out strings.Builder
	for _, l := range events {
		l.print(&out, own[0].Time)
	}
	return out.String(), nil
}

// concerns reports whether another line is about the instance's beliefs, or
// about a server that the request was sent to, near the request's time.
func (l line) concerns(o line) bool {
	if l.Instance != o.Instance || o.Time < l.Time-around.Seconds() || o.Time > l.Time+around.Seconds() {
		return false
	}
	if o.Server == "" {
		return true
	}
	for _, s := range l.Sends {
		if s.Server == o.Server {
			return true
		}
	}
	return false
}

func (l line) print(out io.Writer, zero float64) {
	mark := " "
	if l.Request != "" {
		mark = "*"
	}
	fmt.Fprintf(out, "%s %+8.3f s  %s  %s", mark, l.Time-zero, l.Instance, l.Message)
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
			continue // it came from JSON
		}
		fmt.Fprintf(out, "              sent: %s\n", data)
	}
}

// parse returns the lines that are JSON of a log.
func parse(logs io.Reader) (lines []line, err error) {
	in := bufio.NewScanner(logs)
	in.Buffer(make([]byte, 0, 64<<10), maxLine)
	for in.Scan() {
		start := bytes.IndexByte(in.Bytes(), '{')
		if start < 0 {
			continue
		}
		var l line
		data := in.Bytes()[start:]
		if json.Unmarshal(data, &l) != nil || l.Message == "" {
			continue // not a line of ours
		}
		all := json.NewDecoder(bytes.NewReader(data))
		all.UseNumber() // windows and revisions are long
		if all.Decode(&l.fields) != nil {
			continue
		}
		lines = append(lines, l)
	}
	if err := in.Err(); err != nil {
		return nil, fmt.Errorf("read logs: %w", err)
	}
	return lines, nil
}
