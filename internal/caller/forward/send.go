package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"go.uber.org/zap/zapcore"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/backend/tcp"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

// send is one send of the request to a server.
type send struct {
	worker *pool.Worker
	source *pool.Worker // of a part of the prompt; may be nil
	at     time.Time
	after  time.Duration // since the request came
	took   time.Duration
	fate   fate
	status int
	err    error
	read   bool // the server has read the prompt
	cancel context.CancelFunc
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (s send) MarshalLogObject(o zapcore.ObjectEncoder) error {
	o.AddString("server", s.worker.ID)
	o.AddString("address", s.worker.Address)
	if s.source != nil {
		o.AddString("fetches-from", s.source.ID)
	}
	o.AddDuration("after", s.after)
	o.AddDuration("took", s.took)
	o.AddString("fate", s.fate.String())
	o.AddInt("status", s.status)
	if s.err != nil {
		o.AddString("error", s.err.Error())
	}
	return nil
}

var (
	errNoEcho  = errors.New("answer does not echo the request's id")
	errNoProof = errors.New("answer is not marked as the server's")
)

// once is a request body that net/http cannot rewind, so that it never sends
// a request again by itself.
type once struct{ io.Reader }

func (once) Close() error { return nil }

// send sends the request to a server and passes its answer on, unless the
// request is to be sent again.
func (e *exchange) send(ctx context.Context, t target) (f fate) {
	w, unread := t.worker, t.unread
	now := e.config.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.sends = append(e.sends, send{worker: w, source: t.source, at: now, after: now.Sub(e.start), cancel: cancel})
	s := &e.sends[len(e.sends)-1]
	w.Begin(unread, now)
	defer func() {
		if !s.read {
			w.Read(unread)
		}
		w.End()
		s.took, s.fate = e.config.Now().Sub(now), f
		e.judge(s)
		e.metrics.sends.WithLabelValues(f.String()).Inc()
	}()
	var sent tcp.Sent
	request := e.outgoing(sent.Context(ctx), t, now)
	stop := e.patience(cancel)
	response, err := w.Transport.RoundTrip(request)
	stop()
	if err != nil {
		s.err = err
		return e.unanswered(s, sent.Nothing())
	}
	defer response.Body.Close()
	s.status = response.StatusCode
	w.Heard(e.config.Now())
	return e.answer(s, response, unread)
}

// outgoing returns the request as the server gets it.
func (e *exchange) outgoing(ctx context.Context, t target, now time.Time) *http.Request {
	names := &e.config.Headers
	header := make(http.Header, len(e.r.Header)+4)
	copyEndToEnd(header, e.r.Header)
	names.reserve(header)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // net/http must not add its own
	}
	header.Set(names.Remaining, strconv.FormatInt(max(1, e.deadline.Sub(now).Milliseconds()), 10))
	header.Set(names.ExpectServer, t.worker.ID)
	if e.workspace != "" {
		header.Set(names.Workspace, e.workspace)
	}
	if t.source != nil {
		header.Set(names.FetchFrom, t.source.Address)
	}
	if e.stream.last != "" {
		header.Set(lastEvent, e.stream.last)
	}
	request := &http.Request{
		Method: e.r.Method, URL: &url.URL{Scheme: "http", Host: t.worker.Address, Opaque: e.target}, Host: e.r.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header,
		Body: once{bytes.NewReader(e.body)}, ContentLength: int64(len(e.body)),
	}
	return request.WithContext(ctx)
}

// slowFactor is the multiple of the objective after which a repeatable request
// without an answer is sent to another server.
const slowFactor = 2

// patience ends a send whose request may go to another server in good time.
func (e *exchange) patience(cancel context.CancelFunc) (stop func()) {
	if e.route.Kind != routes.Idempotent || len(e.sends) >= e.route.Attempts || e.route.Objective <= 0 {
		return func() {}
	}
	t := time.AfterFunc(slowFactor*e.route.Objective, cancel)
	return func() { t.Stop() }
}

// unanswered decides the fate of a send without an answer.
func (e *exchange) unanswered(s *send, nothingSent bool) fate {
	left := e.r.Context().Err() != nil
	if !left {
		s.worker.Failed(e.config.Now())
	}
	if nothingSent {
		return unreachable
	}
	if !left && !errors.Is(s.err, context.Canceled) && !errors.Is(s.err, context.DeadlineExceeded) {
		e.config.Poison.Lost(s.worker.ID, s.worker.Address, s.worker.Incarnation, e.fingerprint)
	}
	e.count()
	return lost
}

// judge records what the send says of the server's version.
func (e *exchange) judge(s *send) {
	if s.fate == notRun || s.fate == unreachable || e.r.Context().Err() != nil {
		return
	}
	failed := s.fate != answered || s.status >= http.StatusInternalServerError
	first := e.config.Now()
	if !e.first.IsZero() {
		first = e.first
	}
	e.config.Versions.Ended(e.choice, s.worker.Version == e.choice.To, e.route.Name, failed, first.Sub(s.at) > e.route.Objective)
}

// count records that a server began to run the request.
func (e *exchange) count() {
	if !e.began && e.workspace != "" {
		e.began = true
		e.config.Usage.Began(e.workspace)
	}
}
