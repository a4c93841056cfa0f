package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"wasabiworks.example/wasabiworks/internal/backend/tcp"
)

var namespace = errorx.NewNamespace("service").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// Error types of a Client.
var (
	// NotRun means that the service provably did not run the call.
	NotRun = namespace.NewType("not_run")
	// Lost means that bytes of the call may have been sent but no valid
	// response arrived.
	Lost = namespace.NewType("lost")
)

var reasonProperty = errorx.RegisterProperty("reason")

// ReasonDial is the reason of a NotRun error if no byte was sent. Other reasons
// are values of the Not-Run header.
const ReasonDial = "dial"

// Reason returns why a call was not run, or an empty string if err does not say.
func Reason(err error) string {
	if v, ok := errorx.ExtractProperty(err, reasonProperty); ok {
		if s, ok := v.(string); ok {
			return s
		}
	}
	return ""
}

// IsNotRun reports whether err proves that the call was not run.
func IsNotRun(err error) bool { return errorx.IsOfType(err, NotRun) }

// Call is one attempt to call a plain service.
type Call struct {
	Address, Method string
	// Target is the escaped path, with the query if there is one.
	Target string
	// Header is sent without the fields that RemoveHopByHop removes.
	Header  http.Header
	Body    []byte
	Attempt string
	// Repeatable calls may be sent on a reused connection, where net/http may
	// resend them by itself.
	Repeatable bool
}

// Config configures a Client. Zero values select the defaults.
type Config struct {
	// ResponseTimeout is the timeout for the response headers, 30 s by
	// default.
	ResponseTimeout time.Duration
}

// Client is an HTTP client for plain services. It is safe for concurrent use.
type Client struct{ pooled, unpooled *http.Transport }

// New returns a Client.
func New(c Config) *Client {
	if c.ResponseTimeout == 0 {
		c.ResponseTimeout = 30 * time.Second
	}
	return &Client{
		pooled:   tcp.NewTransport(tcp.Config{ResponseTimeout: c.ResponseTimeout}),
		unpooled: tcp.NewTransport(tcp.Config{ResponseTimeout: c.ResponseTimeout, NewConnPerRequest: true}),
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Do sends the call and returns the response without its hop-by-hop headers.
// The caller must close its body. An error is of type NotRun or Lost.
func (c *Client) Do(ctx context.Context, call *Call) (*http.Response, error) {
	var sent tcp.SendTrace
	req, err := http.NewRequestWithContext(sent.Context(ctx), call.Method, "http://"+call.Address+call.Target, bytes.NewReader(call.Body))
	if err != nil {
		return nil, notRun(ReasonDial, "creating the request to the service failed: %v", err)
	}
	req.Header = call.Header.Clone()
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	RemoveHopByHop(req.Header)
	req.Header.Set(tcp.AttemptHeader, call.Attempt)
	if req.Header.Get("User-Agent") == "" {
		req.Header.Set("User-Agent", "") // prevents net/http from adding its own
	}
	transport := c.unpooled
	if call.Repeatable {
		transport = c.pooled
	}
	res, err := transport.RoundTrip(req)
	if err != nil {
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() {
			sent.DropIdle(transport)
		}
		if sent.NothingSent() {
			return nil, notRun(ReasonDial, "no byte was sent to service %s: %v", call.Address, err)
		}
		return nil, Lost.New("no response from service %s: %v", call.Address, err)
	}
	if a := res.Header.Get(tcp.AttemptHeader); a != "" && a != call.Attempt {
		// The response to this attempt may follow on the same connection.
		res.Body.Close()
		transport.CloseIdleConnections()
		return nil, Lost.New("service %s sent the response of another attempt", call.Address)
	}
	if reason := res.Header.Get("Not-Run"); reason != "" && res.StatusCode == http.StatusServiceUnavailable {
		io.Copy(io.Discard, io.LimitReader(res.Body, 4<<10))
		res.Body.Close()
		if !sent.RefusesAttempt(res.Header, call.Attempt) {
			transport.CloseIdleConnections()
			return nil, Lost.New("service %s sent the refusal of another attempt", call.Address)
		}
		return nil, notRun(reason, "service %s rejected the call: %s", call.Address, reason)
	}
	if res.StatusCode < 200 || res.StatusCode > 599 {
		res.Body.Close()
		return nil, Lost.New("service %s responded with status %d", call.Address, res.StatusCode)
	}
	RemoveHopByHop(res.Header)
	return res, nil
}

func notRun(reason, format string, args ...any) error {
	return NotRun.New(format, args...).WithProperty(reasonProperty, reason)
}

// hopByHop lists the header fields that concern one connection only, and those
// that override the method, which would make a call with a repeatable method run
// as one with another method.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
	"X-Http-Method-Override", "X-Http-Method", "X-Method-Override",
}

// RemoveHopByHop removes the header fields that concern one connection only, and
// those that override the method.
func RemoveHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
