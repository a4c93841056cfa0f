package transcripts

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

// session is a deployment with the transcript of the steps that have been run.
type session struct {
	*deployment
	transcript bytes.Buffer
	// revision is the catalogue revision that operators edit.
	revision int64
	// streamID is the ID of the last streamed response.
	streamID string
}

// step is one step of a session: a request, a change by an operator or a fault.
type step func(*session)

// runSession runs the steps against a new deployment and compares the transcript
// with the golden file that is named after the test.
func runSession(t *testing.T, steps ...step) {
	t.Helper()
	t.Parallel()
	sn := &session{deployment: startDeployment(t, settings{}.yaml())}
	s, err := sn.store.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	sn.revision = s.Revision
	for _, do := range steps {
		do(sn)
	}
	goldie.New(t).Assert(t, strings.TrimPrefix(t.Name(), "Test"), normalise(sn.transcript.Bytes()))
}

func (sn *session) printf(format string, args ...any) { fmt.Fprintf(&sn.transcript, format, args...) }

// variableParts match the parts of a transcript that differ between runs, with
// the text that replaces them.
var variableParts = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`cmpl-[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`), "cmpl-ID"},
	{regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`), "ID"},
	{regexp.MustCompile(`move stetec-ai-2026-12-[0-9a-f]{12}`), "move ID"},
	{regexp.MustCompile(`"created":\d+`), `"created":0`},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?(Z|[+-]\d\d:\d\d)`), "TIME"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
}

func normalise(text []byte) []byte {
	for _, v := range variableParts {
		text = v.pattern.ReplaceAll(text, []byte(v.text))
	}
	return text
}

// request is a client request and the way in which it is sent.
type request struct {
	entryIndex               int
	method, path, token, key string
	body                     string
	// lastEventID is the value of the Last-Event-ID header; {stream} is replaced
	// by the ID of the last stream.
	lastEventID string
	// afterTokens, if not 0, is the number of tokens after which the client
	// writes eventText to the transcript and runs action, or disconnects if
	// action is nil.
	afterTokens int
	eventText   string
	action      step
	// retryStatus, if not 0, is the status for which the request is retried.
	retryStatus int
}

// shownHeaders are the response headers that transcripts contain.
var shownHeaders = []string{"Content-Type", "Wasabiworks-Outcome", "Wasabiworks-Replayed", "Retry-After"}

// maxShownBody is the size in bytes above which transcripts contain only the size
// of a request body.
const maxShownBody = 1000

// send is a step in which a client sends a request and reads the response.
func send(r request) step {
	return func(sn *session) {
		sn.printf("> %s %s (%s)\n", r.method, r.path, sn.entries[r.entryIndex].id)
		for _, h := range [][2]string{{"Bearer token", r.token}, {"Idempotency-Key", r.key}, {"Last-Event-ID", r.lastEventID}} {
			if h[1] != "" {
				sn.printf("> %s: %s\n", h[0], h[1])
			}
		}
		if len(r.body) > maxShownBody {
			sn.printf("> (%d bytes)\n", len(r.body))
		} else if r.body != "" {
			sn.printf("> %s\n", r.body)
		}
		var response *http.Response
		var body string
		if r.retryStatus == 0 {
			response, body = sn.exchange(r)
		} else {
			sn.eventually(fmt.Sprintf("the status is not %d", r.retryStatus), func() bool {
				response, body = sn.exchange(r)
				return response.StatusCode != r.retryStatus
			})
		}
		sn.printf("< %d\n", response.StatusCode)
		for _, name := range shownHeaders {
			if v := response.Header.Get(name); v != "" {
				sn.printf("< %s: %s\n", name, v)
			}
		}
		sn.printf("%s\n", strings.TrimRight(body, "\n"))
		sn.printf("\n")
	}
}

// exchange sends a request once.
func (sn *session) exchange(r request) (*http.Response, string) {
	sn.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+sn.entries[r.entryIndex].clientAddress+r.path, strings.NewReader(r.body))
	if err != nil {
		sn.t.Fatal(err)
	}
	if r.token != "" {
		req.Header.Set("Authorization", "Bearer "+r.token)
	}
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	if r.lastEventID != "" {
		req.Header.Set("Last-Event-ID", strings.ReplaceAll(r.lastEventID, "{stream}", sn.streamID))
	}
	res, err := sn.client.Do(req)
	if err != nil {
		sn.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	return res, sn.readResponse(r, res.Body)
}

// readResponse reads a response up to its end, or up to the token after which the
// client disconnects.
func (sn *session) readResponse(r request, body io.Reader) string {
	sn.t.Helper()
	var text strings.Builder
	in := bufio.NewReader(body)
	for tokens := 0; ; {
		line, err := in.ReadString('\n')
		text.WriteString(line)
		if err == io.EOF {
			return text.String()
		}
		if err != nil {
			sn.t.Fatalf("read the response after %q: %v", text.String(), err)
		}
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			tokens++
			sn.streamID, _, _ = strings.Cut(id, ":")
		}
		if line != "\n" || r.afterTokens == 0 || tokens != r.afterTokens {
			continue
		}
		text.WriteString("# " + r.eventText + "\n\n")
		if r.action == nil {
			return text.String()
		}
		r.action(sn)
		r.afterTokens = 0
	}
}
