package sessions

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// session is a deployment and the transcript of the steps so far.
type session struct {
	*deployment
	text bytes.Buffer
	// revision is that of the catalogue that operators edit.
	revision int64
	// stream is the ID of the last stream.
	stream string
}

// step is a request, a change by an operator or a fault.
type step func(*session)

// play runs the steps and compares the transcript with the golden file that has
// the test's name.
func play(t *testing.T, steps ...step) {
	t.Helper()
	t.Parallel()
	x := &session{deployment: start(t, settings{}.yaml())}
	s, err := x.store.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	x.revision = s.Revision
	for _, do := range steps {
		do(x)
	}
	goldie.New(t).Assert(t, strings.TrimPrefix(t.Name(), "Test"), normalise(x.text.Bytes()))
}

func (x *session) printf(format string, args ...any) { fmt.Fprintf(&x.text, format, args...) }

// variables are the parts of a transcript that differ between runs.
var variables = []struct {
	form *regexp.Regexp
	text string
}{
	{regexp.MustCompile(`cmpl-[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`), "cmpl-ID"},
	{regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`), "ID"},
	{regexp.MustCompile(`move stetec-ai-2026-12-[0-9a-f]{12}`), "move ID"},
	{regexp.MustCompile(`"created":\d+`), `"created":0`},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?(Z|[+-]\d\d:\d\d)`), "TIME"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
}

func normalise(text []byte) []byte {
	for _, v := range variables {
		text = v.form.ReplaceAll(text, []byte(v.text))
	}
	return text
}

// request is what a client sends.
type request struct {
	via                      int
	method, path, token, key string
	body                     string
	// resume is sent as Last-Event-ID; {stream} stands for the ID of the last
	// stream.
	resume string
	// after is the number of tokens after which event happens while the
	// response is read; the client leaves if do is nil.
	after int
	event string
	do    step
	// again is the status for which the request is sent again.
	again int
}

// shown are the response headers in transcripts.
var shown = []string{"Content-Type", "Wasabiworks-Outcome", "Wasabiworks-Replayed", "Retry-After"}

const maxShown = 1000

// send is a step in which a client sends a request and reads the response.
func send(r request) step {
	return func(x *session) {
		x.printf("> %s %s (%s)\n", r.method, r.path, x.entries[r.via].id)
		for _, h := range [][2]string{{"Bearer token", r.token}, {"Idempotency-Key", r.key}, {"Last-Event-ID", r.resume}} {
			if h[1] != "" {
				x.printf("> %s: %s\n", h[0], h[1])
			}
		}
		if len(r.body) > maxShown {
			x.printf("> (%d bytes)\n", len(r.body))
		} else if r.body != "" {
			x.printf("> %s\n", r.body)
		}
		var response *http.Response
		var body string
		if r.again == 0 {
			response, body = x.exchange(r)
		} else {
			x.eventually(fmt.Sprintf("the status is not %d", r.again), func() bool {
				response, body = x.exchange(r)
				return response.StatusCode != r.again
			})
		}
		x.printf("< %d\n", response.StatusCode)
		for _, name := range shown {
			if v := response.Header.Get(name); v != "" {
				x.printf("< %s: %s\n", name, v)
			}
		}
		x.printf("%s\n", strings.TrimRight(body, "\n"))
		x.printf("\n")
	}
}

// exchange sends a request once.
func (x *session) exchange(r request) (*http.Response, string) {
	x.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, r.method, "http://"+x.entries[r.via].client+r.path, strings.NewReader(r.body))
	if err != nil {
		x.t.Fatal(err)
	}
	if r.token != "" {
		q.Header.Set("Authorization", "Bearer "+r.token)
	}
	if r.key != "" {
		q.Header.Set("Idempotency-Key", r.key)
	}
	if r.resume != "" {
		q.Header.Set("Last-Event-ID", strings.ReplaceAll(r.resume, "{stream}", x.stream))
	}
	p, err := x.client.Do(q)
	if err != nil {
		x.t.Fatal(err)
	}
	defer func() { _ = p.Body.Close() }()
	return p, x.read(r, p.Body)
}

// read reads a response up to its end, or up to the event at which the
// client leaves.
func (x *session) read(r request, body io.Reader) string {
	x.t.Helper()
	var text strings.Builder
	in := bufio.NewReader(body)
	for tokens := 0; ; {
		line, err := in.ReadString('\n')
		text.WriteString(line)
		if err == io.EOF {
			return text.String()
		}
		if err != nil {
			x.t.Fatalf("response broke after %q: %v", text.String(), err)
		}
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			tokens++
			x.stream, _, _ = strings.Cut(id, ":")
		}
		if line != "\n" || r.after == 0 || tokens != r.after {
			continue
		}
		text.WriteString("# " + r.event + "\n\n")
		if r.do == nil {
			return text.String()
		}
		r.do(x)
		r.after = 0
	}
}
