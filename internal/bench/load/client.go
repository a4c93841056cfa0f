package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/answer"
)

const (
	// maxBody bounds a response that is not streamed, in bytes.
	maxBody = 4 << 20
	// maxResumptions bounds how often a stream is resumed.
	maxResumptions = 3
	// resumePause gives the load balancer time to notice a shutdown.
	resumePause = 50 * time.Millisecond
)

// client sends requests and judges the responses.
type client struct {
	http     *http.Client
	balancer *balancer
	now      func() time.Time
}

func newClient(b *balancer) *client {
	return &client{
		http:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		balancer: b,
		now:      time.Now,
	}
}

// call sends a request and checks its response.
func (c *client) call(ctx context.Context, r Request) result {
	var out result
	check := newChecker(r, &out, c.now)
	for {
		p, sent, err := c.send(ctx, r, check.event, &out)
		if err != nil {
			c.lost(&out, check, sent, err)
			return out
		}
		again := c.judge(r, p, check, &out)
		_ = p.Body.Close()
		if out.resumed > 0 && out.outcome == NotRun {
			out.fail(CutOff, "resumption was rejected: %s", out.code)
		}
		if !again || out.resumed >= maxResumptions {
			return out
		}
		out.resumed++
		select {
		case <-ctx.Done():
			return out
		case <-time.After(resumePause):
		}
	}
}

// lost judges a call without a response.
func (c *client) lost(out *result, check *checker, sent bool, err error) {
	switch {
	case check.event != "":
		out.fail(CutOff, "stream was not resumed: %v", err)
	case sent:
		out.code = lostCode
		out.outcome = Unknown
	default:
		out.code = "unreachable"
		out.outcome = NotRun
	}
}

// send tries the entry instances in turn until one accepts a connection. The
// result sent is false if none did.
func (c *client) send(ctx context.Context, r Request, event string, out *result) (p *http.Response, sent bool, err error) {
	err = errors.New("no entry instance is ready")
	for i, target := range c.balancer.next() {
		if i > 0 {
			out.failovers++
		}
		p, sent, err = c.sendTo(ctx, target, r, event, out)
		if err == nil || sent || ctx.Err() != nil {
			break
		}
	}
	return p, sent, err
}

func (c *client) sendTo(ctx context.Context, target string, r Request, event string, out *result) (*http.Response, bool, error) {
	var connected atomic.Bool
	if event == "" {
		out.accepted = target
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, false, err
	}
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Authorization", "Bearer "+r.Workspace.Token())
	if r.Key != "" {
		// The transport repeats a lost request by itself if it finds the
		// header under its canonical name. The tool must see each loss.
		q.Header["idempotency-key"] = []string{r.Key}
	}
	if event != "" {
		q.Header.Set("Last-Event-ID", event)
	}
	p, err := c.http.Do(q)
	return p, connected.Load(), err
}

// judge sets the outcome of a response. It reports whether a broken stream
// can be resumed.
func (c *client) judge(r Request, p *http.Response, check *checker, out *result) (again bool) {
	if p.StatusCode != http.StatusOK {
		c.judgeFailure(p, out)
		return false
	}
	if r.Class.Stream {
		return c.judgeStream(p, check, out)
	}
	data, err := io.ReadAll(io.LimitReader(p.Body, maxBody))
	if err != nil {
		out.fail(CutOff, "response ended early: %v", err)
		return false
	}
	if r.Class.Kind == Service {
		out.outcome = Answered
		out.content(c.now())
		if want := answer.Service(http.MethodPost, r.Class.Path, r.Key, r.Body); !bytes.Equal(data, want) {
			out.fail(Wrong, "response %.200q, want %.200q", data, want)
		}
		return false
	}
	var k chunk
	if err := json.Unmarshal(data, &k); err != nil {
		out.fail(Wrong, "invalid response: %v", err)
		return false
	}
	err = check.accept(k)
	if err == nil {
		err = check.complete()
	}
	out.conclude(err)
	return false
}

func (c *client) judgeStream(p *http.Response, check *checker, out *result) (again bool) {
	err := check.read(p.Body)
	out.conclude(err)
	return errors.Is(err, errCutOff) && check.event != ""
}

// conclude sets the outcome of a checked response.
func (r *result) conclude(err error) {
	switch {
	case err == nil:
		r.outcome, r.detail = Answered, ""
	case errors.Is(err, errFailed):
		r.outcome = Unknown
	case errors.Is(err, errCutOff):
		r.fail(CutOff, "%v", err)
	default:
		r.fail(Wrong, "%v", err)
	}
}

// judgeFailure sets the outcome of a rejection or failure.
func (c *client) judgeFailure(p *http.Response, out *result) {
	var body struct {
		Error failure `json:"error"`
	}
	data, err := io.ReadAll(io.LimitReader(p.Body, maxBody))
	if err == nil {
		err = json.Unmarshal(data, &body)
	}
	out.code = body.Error.Code
	switch o := Outcome(p.Header.Get("Wasabiworks-Outcome")); {
	case o != NotRun && o != Unknown:
		out.fail(Wrong, "status %d has outcome %q: %.100q", p.StatusCode, o, data)
	case err != nil:
		out.fail(Wrong, "status %d has an invalid error body: %v", p.StatusCode, err)
	default:
		out.outcome = o
	}
}
