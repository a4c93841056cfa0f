package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/tcp"
)

// Config configures a Client. Zero values select the defaults.
type Config struct {
	// FirstFrameTimeout is the timeout for the first frame, 15 s by default. The error
	// is returned 200 ms later, see stallGrace.
	FirstFrameTimeout time.Duration
	// StallTimeout is the timeout for each further frame, 3 s by default. The error is
	// returned 200 ms later, see stallGrace.
	StallTimeout time.Duration
	// CommandTimeout is the timeout of Client.Cancel and Client.LoadReport,
	// 500 ms by default.
	CommandTimeout time.Duration
	// Transport replaces the default transport in tests and benchmarks.
	Transport http.RoundTripper
}

// DroppedFrames counts frames that were received and not delivered: those of
// another attempt (Foreign), duplicates and frames outside the reorder window
// (Misplaced), and lines that could not be parsed (Malformed).
type DroppedFrames struct{ Foreign, Misplaced, Malformed uint64 }

// Client is an HTTP client for model engines. It is safe for concurrent use.
type Client struct {
	firstFrameTimeout, stallTimeout, commandTimeout time.Duration
	http                                            *http.Client
	foreign, misplaced, malformed                   atomic.Uint64
}

const (
	// maxFrameBytes is the maximum length of a line of a response.
	maxFrameBytes = 64 << 10
	// MaxCacheBytes is the maximum size of a KV cache that CopyCache copies.
	MaxCacheBytes = 256 << 20
	// reorderWindow is the maximum number of frames that are held back while
	// an earlier frame is missing.
	reorderWindow = 16
)

// New returns a Client.
func New(c Config) *Client {
	if c.FirstFrameTimeout == 0 {
		c.FirstFrameTimeout = 15 * time.Second
	}
	if c.StallTimeout == 0 {
		c.StallTimeout = 3 * time.Second
	}
	if c.CommandTimeout == 0 {
		c.CommandTimeout = 500 * time.Millisecond
	}
	if c.Transport == nil {
		c.Transport = tcp.NewTransport(tcp.Config{})
	}
	return &Client{firstFrameTimeout: c.FirstFrameTimeout, stallTimeout: c.StallTimeout, commandTimeout: c.CommandTimeout, http: &http.Client{Transport: c.Transport, CheckRedirect: noRedirect}}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Dropped returns the counts of dropped frames since c was created.
func (c *Client) Dropped() DroppedFrames {
	return DroppedFrames{c.foreign.Load(), c.misplaced.Load(), c.malformed.Load()}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Generate runs an attempt and calls yield with each of its frames, in order
// and without gaps. It returns nil after the last frame. Otherwise it returns an
// error of type NotRun, Lost or Failed, the error of yield, or that of ctx.
func (c *Client) Generate(ctx context.Context, a *Attempt, yield func(Frame) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := newWatchdog(c.firstFrameTimeout, func() { cancel(errStalled) })
	defer watch.stop()
	var sent tcp.SendTrace
	res, err := c.post(sent.Context(ctx), a)
	if context.Cause(ctx) == errStalled {
		sent.DropIdle(c.http)
	}
	if err != nil {
		return c.sendError(ctx, &sent, a, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return statusError(res, &sent, a)
	}
	r := frameReader{client: c, attempt: a, next: a.From, yield: yield, watch: watch}
	if err = r.run(res.Body); err != nil && r.yieldErr == nil {
		return responseError(ctx, a, r.next, err)
	}
	return err
}

func (c *Client) post(ctx context.Context, a *Attempt) (*http.Response, error) {
	prefix := a.Prefix
	if prefix == nil {
		prefix = []string{}
	}
	body, err := json.Marshal(struct {
		Request   string   `json:"request"`
		Entry     string   `json:"entry"`
		Version   string   `json:"version"`
		Prompt    string   `json:"prompt"`
		MaxTokens int      `json:"max-tokens"`
		From      int      `json:"from"`
		Prefix    []string `json:"prefix-tokens"`
		Import    string   `json:"import"`
	}{a.Request, a.Entry, a.Version, a.Prompt, a.MaxTokens, a.From, prefix, a.Import})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Address+"/generate", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header["Content-Type"] = []string{"application/json"}
	req.Header[tcp.AttemptHeader] = []string{a.ID}
	req.Header["Priority"] = []string{a.Priority}
	req.Header["X-Request-Id"] = []string{a.Request}
	return c.http.Do(req)
}

// sendError returns the error for a request that got no response: a NotRun error
// if provably no byte of the request was sent, and the result of responseError
// otherwise.
func (c *Client) sendError(ctx context.Context, sent *tcp.SendTrace, a *Attempt, err error) error {
	if sent.NothingSent() {
		return notRun(ReasonDial, "no byte was sent to engine %s: %v", a.Address, err)
	}
	return responseError(ctx, a, a.From, err)
}

// responseError returns the error for an attempt whose response ended with err
// before token next: Stalled after a timeout, the error of ctx if ctx is done, and
// Lost otherwise.
func responseError(ctx context.Context, a *Attempt, next int, err error) error {
	if context.Cause(ctx) == errStalled {
		return Stalled.New("engine %s stalled: token %d did not arrive in time", a.Address, next)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return Lost.New("response of engine %s was lost at token %d: %v", a.Address, next, err)
}

func statusError(res *http.Response, sent *tcp.SendTrace, a *Attempt) error {
	io.Copy(io.Discard, io.LimitReader(res.Body, 4<<10))
	if reason := res.Header.Get("Not-Run"); reason != "" && (res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests) {
		if !sent.RefusesAttempt(res.Header, a.ID) {
			return Lost.New("engine %s sent the refusal of another attempt", a.Address)
		}
		return notRun(reason, "engine %s rejected the attempt: %s", a.Address, reason)
	}
	return Failed.New("engine %s responded with status %d", a.Address, res.StatusCode)
}

// frameReader reads the response to one attempt and delivers its frames in
// order.
type frameReader struct {
	client   *Client
	attempt  *Attempt
	next     int
	yield    func(Frame) error
	yieldErr error
	watch    *watchdog
	heldBack []Frame
}

// errTooManyTokens is the error of a response with more tokens than were asked for. It
// might go on without end.
var errTooManyTokens = errors.New("more tokens than the attempt allows")

// readerPool reuses readers, because a buffer of maxFrameBytes for each attempt
// would be most of what a request allocates.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxFrameBytes) }}

func (r *frameReader) run(body io.Reader) error {
	br := readerPool.Get().(*bufio.Reader)
	br.Reset(body)
	defer func() {
		br.Reset(nil)
		readerPool.Put(br)
	}()
	var f Frame
	for {
		line, err := br.ReadSlice('\n')
		if err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
		if err := parseFrame(line, r.attempt.ID, &f); err != nil {
			r.client.malformed.Add(1)
			return err
		}
		f.More = hasBufferedLine(br)
		done, err := r.accept(f)
		if done || err != nil {
			return err
		}
	}
}

// hasBufferedLine reports whether a whole line can be read without blocking.
func hasBufferedLine(br *bufio.Reader) bool {
	n := br.Buffered()
	if n == 0 {
		return false
	}
	p, _ := br.Peek(n)
	return bytes.IndexByte(p, '\n') >= 0
}

func (r *frameReader) accept(f Frame) (done bool, err error) {
	if f.Attempt != r.attempt.ID {
		r.client.foreign.Add(1)
		return false, nil
	}
	if f.Index < r.next || f.Index > r.next+reorderWindow {
		r.client.misplaced.Add(1)
		return false, nil
	}
	if isLast := f.Finish != "" && f.Token == ""; r.attempt.MaxTokens > 0 && f.Index >= r.attempt.MaxTokens && !isLast {
		return false, errTooManyTokens
	}
	if f.Index > r.next {
		return false, r.holdBack(f)
	}
	if done, err = r.deliver(f); done || err != nil || len(r.heldBack) == 0 {
		return done, err
	}
	return r.deliverHeldBack()
}

// holdBack keeps a frame until the missing frames before it have arrived.
func (r *frameReader) holdBack(f Frame) error {
	for i := range r.heldBack {
		if r.heldBack[i].Index == f.Index {
			r.client.misplaced.Add(1)
			return nil
		}
	}
	r.heldBack = append(r.heldBack, f)
	return nil
}

func (r *frameReader) deliverHeldBack() (done bool, err error) {
	for i := 0; i < len(r.heldBack); i++ {
		if r.heldBack[i].Index != r.next {
			continue
		}
		f := r.heldBack[i]
		r.heldBack = append(r.heldBack[:i], r.heldBack[i+1:]...)
		if done, err = r.deliver(f); done || err != nil {
			return done, err
		}
		i = -1
	}
	return false, nil
}

// deliver passes f to yield. The watchdog is stopped meanwhile, because the time
// that yield takes is not a stall of the engine.
func (r *frameReader) deliver(f Frame) (done bool, err error) {
	r.watch.stop()
	r.next++
	if r.yieldErr = r.yield(f); r.yieldErr != nil {
		return false, r.yieldErr
	}
	r.watch.start(r.client.stallTimeout)
	return f.Finish != "", nil
}

func (c *Client) do(ctx context.Context, method, address, path string, body io.Reader) (*http.Response, error) {
	var sent tcp.SendTrace
	req, err := http.NewRequestWithContext(sent.Context(ctx), method, "http://"+address+path, body)
	if err != nil {
		return nil, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			sent.DropIdle(c.http)
		}
		return nil, err
	}
	if res.StatusCode/100 != 2 {
		res.Body.Close()
		return nil, Failed.New("engine responded to %s %s%s with status %d", method, address, path, res.StatusCode)
	}
	return res, nil
}

// Cancel stops an attempt on the engine at address.
func (c *Client) Cancel(ctx context.Context, address, attempt string) error {
	ctx, cancel := context.WithTimeout(ctx, c.commandTimeout)
	defer cancel()
	res, err := c.do(ctx, http.MethodDelete, address, "/generate/"+url.PathEscape(attempt), nil)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// LoadReport returns the load report of the engine at address.
func (c *Client) LoadReport(ctx context.Context, address string) (LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, c.commandTimeout)
	defer cancel()
	res, err := c.do(ctx, http.MethodGet, address, "/load", nil)
	if err != nil {
		return LoadReport{}, err
	}
	defer res.Body.Close()
	var l LoadReport
	if err := json.NewDecoder(io.LimitReader(res.Body, 64<<10)).Decode(&l); err != nil {
		return LoadReport{}, fmt.Errorf("load report of engine %s cannot be decoded: %w", address, err)
	}
	return l, nil
}

// CopyCache copies the KV cache of an attempt from one engine to another; from
// and to are their addresses. Only ctx bounds the time that it takes.
func (c *Client) CopyCache(ctx context.Context, from, to, attempt string) error {
	path := "/kv-cache/" + url.PathEscape(attempt)
	res, err := c.do(ctx, http.MethodGet, from, path, nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.ContentLength > MaxCacheBytes {
		return Failed.New("engine offered a KV cache of %d bytes, which exceeds the limit of %d bytes", res.ContentLength, MaxCacheBytes)
	}
	cache := &endReader{Reader: http.MaxBytesReader(nil, res.Body, MaxCacheBytes)}
	put, err := c.do(ctx, http.MethodPut, to, path, cache)
	if err != nil {
		return err
	}
	defer put.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(put.Body, maxFrameBytes)); err != nil {
		return Failed.New("response of engine %s to a KV cache was cut: %v", to, err)
	}
	if !cache.ended.Load() {
		return Failed.New("engine %s responded before it had the whole KV cache", to)
	}
	return nil
}

// endReader records whether it was read to its end.
type endReader struct {
	io.Reader
	ended atomic.Bool
}

// Read implements io.Reader.
func (r *endReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err == io.EOF {
		r.ended.Store(true)
	}
	return n, err
}
