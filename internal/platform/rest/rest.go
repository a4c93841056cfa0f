package rest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
)

// ErrBodyTooLarge means that a response body exceeds the client's limit.
var ErrBodyTooLarge = errors.New("response body is too large")

// Config configures a Client.
type Config struct {
	// Address is the server's host and port, with or without a scheme.
	Address string
	// Client defaults to one without a proxy and without a timeout; the context
	// bounds each call.
	Client *http.Client
	// BodyLimit is the largest accepted response body in bytes.
	BodyLimit int64
}

// Request describes an HTTP request to the server.
type Request struct {
	Method string
	// Path is the unescaped path.
	Path   string
	Query  url.Values
	Header http.Header
	Body   []byte
	// OnRead is called whenever a part of the response's body has arrived; it may be nil.
	OnRead func()
}

// Response is a response whose body has been read completely.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client makes calls to one server. It is safe for concurrent use.
type Client struct {
	base     string
	limit    int64
	http     *http.Client
	endpoint endpoint.Endpoint
}

// New returns a client of the server at config.Address. It makes no call.
func New(config Config) *Client {
	base := config.Address
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	c := &Client{base: strings.TrimSuffix(base, "/"), limit: config.BodyLimit}
	client := config.Client
	if client == nil {
		client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	}
	c.http = client
	c.endpoint = kithttp.NewExplicitClient(c.encodeRequest, c.decodeResponse, kithttp.SetClient(client)).Endpoint()
	return c
}

// Do makes one call. The result sent reports whether the request may have reached
// the server. It is false only if no connection was assigned to the request: once a
// connection is assigned, the transport may write to it even after the context has
// ended.
func (c *Client) Do(ctx context.Context, r Request) (response Response, sent bool, err error) {
	var assigned atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// The transport requests another connection only if it wrote nothing to
		// the previous one or the request is safe to repeat.
		GetConn: func(string) { assigned.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { assigned.Store(true) },
	})
	if r.OnRead != nil {
		ctx = context.WithValue(ctx, onReadKey{}, r.OnRead)
	}
	v, err := c.endpoint(ctx, r)
	if err != nil {
		if assigned.Load() && ctx.Err() != nil {
			// The connection may have fallen silent without a reset, and so may the idle
			// ones. Each of them would cost a call.
			c.http.CloseIdleConnections()
		}
		return Response{}, assigned.Load(), err
	}
	return v.(Response), true, nil
}

func (c *Client) encodeRequest(ctx context.Context, v any) (*http.Request, error) {
	r := v.(Request)
	target := c.base + (&url.URL{Path: r.Path}).EscapedPath()
	if len(r.Query) > 0 {
		target += "?" + r.Query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, target, bytes.NewReader(r.Body))
	if err != nil {
		return nil, fmt.Errorf("invalid request: %w", err)
	}
	for k, vs := range r.Header {
		req.Header[k] = vs
	}
	return req, nil
}

// onReadKey is the key of Request.OnRead in the context of a call.
type onReadKey struct{}

// observedReader calls onRead whenever it has read something.
type observedReader struct {
	io.Reader
	onRead func()
}

// Read implements io.Reader.
func (r observedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.onRead()
	}
	return n, err
}

func (c *Client) decodeResponse(ctx context.Context, resp *http.Response) (any, error) {
	body := io.LimitReader(resp.Body, c.limit+1)
	if onRead, ok := ctx.Value(onReadKey{}).(func()); ok {
		body = observedReader{body, onRead}
	}
	data, err := io.ReadAll(body)
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	if int64(len(data)) > c.limit {
		return nil, fmt.Errorf("%w: over %d bytes", ErrBodyTooLarge, c.limit)
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: data}, nil
}
