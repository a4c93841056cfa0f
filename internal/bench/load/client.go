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
	// maxBodyBytes limits the size of a response that is not streamed.
	maxBodyBytes = 4 << 20
	// maxResumptions is the maximum number of resumptions of one stream.
	maxResumptions = 3
	// resumePause is the wait before a stream is resumed. It gives the load
	// balancer time to detect that an entry instance has shut down.
	resumePause = 50 * time.Millisecond
)

// client sends requests and determines their outcomes from the responses.
type client struct {
	httpClient *http.Client
	balancer   *balancer
	now        func() time.Time
}

func newClient(b *balancer) *client {
	return &client{
		httpClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		balancer:   b,
		now:        time.Now,
	}
}

// call sends a request, resumes its stream if it breaks, and checks the
// response.
func (c *client) call(ctx context.Context, req Request) result {
	var res result
	check := newChecker(req, &res, c.now)
	for {
		resp, connected, err := c.send(ctx, req, check.lastEventID, &res)
		if err != nil {
			c.classifyLost(&res, check, connected, err)
			return res
		}
		resumable := c.classify(req, resp, check, &res)
		_ = resp.Body.Close()
		if res.resumed > 0 && res.outcome == OutcomeNotRun {
			res.fail(OutcomeCutOff, "resumption was rejected: %s", res.code)
		}
		if !resumable || res.resumed >= maxResumptions {
			return res
		}
		res.resumed++
		select {
		case <-ctx.Done():
			return res
		case <-time.After(resumePause):
		}
	}
}

// classifyLost sets the outcome of a call without a response. connected reports
// whether a connection was established; the request may then have run.
func (c *client) classifyLost(res *result, check *checker, connected bool, err error) {
	switch {
	case check.lastEventID != "":
		res.fail(OutcomeCutOff, "stream was not resumed: %v", err)
	case connected:
		res.code = codeLost
		res.outcome = OutcomeUnknown
	default:
		res.code = "unreachable"
		res.outcome = OutcomeNotRun
	}
}

// send tries the entry instances in turn until a connection is established. It
// returns connected as false if that failed for all of them.
func (c *client) send(ctx context.Context, req Request, event string, res *result) (resp *http.Response, connected bool, err error) {
	err = errors.New("no entry instance is ready")
	for i, target := range c.balancer.attemptOrder() {
		if i > 0 {
			res.failovers++
		}
		resp, connected, err = c.sendTo(ctx, target, req, event, res)
		if err == nil || connected || ctx.Err() != nil {
			break
		}
	}
	return resp, connected, err
}

// sendTo sends a request to one entry instance and reports whether a connection
// was established. event is the ID of the last event received, or
// empty if the call does not resume a stream.
func (c *client) sendTo(ctx context.Context, target string, req Request, event string, res *result) (*http.Response, bool, error) {
	var connected atomic.Bool
	if event == "" {
		res.acceptedBy = target
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return nil, false, err
	}
	httpReq.Header.Set("Content-Type", "application/json")
	httpReq.Header.Set("Authorization", "Bearer "+req.Workspace.Token())
	if req.Key != "" {
		// http.Transport retries a request after a lost connection if it finds
		// this header under its canonical name. The load tool must observe
		// every lost connection, so the name is not canonical here.
		httpReq.Header["idempotency-key"] = []string{req.Key}
	}
	if event != "" {
		httpReq.Header.Set("Last-Event-ID", event)
	}
	resp, err := c.httpClient.Do(httpReq)
	return resp, connected.Load(), err
}

// classify sets the outcome of a response. It reports whether the response is a
// broken stream that can be resumed.
func (c *client) classify(req Request, resp *http.Response, check *checker, res *result) (resumable bool) {
	if resp.StatusCode != http.StatusOK {
		c.classifyFailure(resp, res)
		return false
	}
	if req.Class.Stream {
		return c.classifyStream(resp, check, res)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		res.fail(OutcomeCutOff, "response ended early: %v", err)
		return false
	}
	if req.Class.Kind == KindService {
		res.outcome = OutcomeAnswered
		res.recordContent(c.now())
		if want := answer.ServiceBody(http.MethodPost, req.Class.Path, req.Key, req.Body); !bytes.Equal(data, want) {
			res.fail(OutcomeWrong, "response %.200q, want %.200q", data, want)
		}
		return false
	}
	var received chunk
	if err := json.Unmarshal(data, &received); err != nil {
		res.fail(OutcomeWrong, "invalid response: %v", err)
		return false
	}
	err = check.checkChunk(received)
	if err == nil {
		err = check.checkEnd()
	}
	res.setOutcome(err)
	return false
}

// classifyStream is like classify, for a stream.
func (c *client) classifyStream(resp *http.Response, check *checker, res *result) (resumable bool) {
	err := check.checkStream(resp.Body)
	res.setOutcome(err)
	return errors.Is(err, errCutOff) && check.lastEventID != ""
}

// setOutcome sets the outcome from the error that the checker returned.
func (r *result) setOutcome(err error) {
	switch {
	case err == nil:
		r.outcome, r.detail = OutcomeAnswered, ""
	case errors.Is(err, errStreamFailure):
		r.outcome = OutcomeUnknown
	case errors.Is(err, errCutOff):
		r.fail(OutcomeCutOff, "%v", err)
	default:
		r.fail(OutcomeWrong, "%v", err)
	}
}

// classifyFailure sets the outcome of a response with a status other than 200.
func (c *client) classifyFailure(resp *http.Response, res *result) {
	var body struct {
		Error apiError `json:"error"`
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(data, &body)
	}
	res.code = body.Error.Code
	switch reported := Outcome(resp.Header.Get("Wasabiworks-Outcome")); {
	case reported != OutcomeNotRun && reported != OutcomeUnknown:
		res.fail(OutcomeWrong, "status %d has outcome %q: %.100q", resp.StatusCode, reported, data)
	case err != nil:
		res.fail(OutcomeWrong, "status %d has an invalid error body: %v", resp.StatusCode, err)
	default:
		res.outcome = reported
	}
}
