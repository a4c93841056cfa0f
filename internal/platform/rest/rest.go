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
	// Client defaults to one without a proxy and without a timeout; calls are
	// bounded by their context.
	Client *http.Client
	// BodyLimit is the largest accepted response body in bytes.
	BodyLimit int64
}

// Request is one call.
type Request struct {
	Method string
	// Path is not escaped.
	Path   string
	Query  url.Values
	Header http.Header
	Body   []byte
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client makes calls to one server and is safe for concurrent use.
type Client struct {
	base     string
	limit    int64
	endpoint endpoint.Endpoint
}

// New returns a client.
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
	c.endpoint = kithttp.NewExplicitClient(c.request, c.response, kithttp.SetClient(client)).Endpoint()
	return c
}

// Do makes one call. The result sent is false only if the request certainly
// did not reach the server, which is known only while no connection was
// assigned to it: once there is one, the transport may write to it even after
// the context has ended.
func (c *Client) Do(ctx context.Context, r Request) (response Response, sent bool, err error) {
	var assigned atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// The transport asks for a second connection only if it wrote nothing
		// to the first or the call is safe to repeat.
		GetConn: func(string) { assigned.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { assigned.Store(true) },
	})
	v, err := c.endpoint(ctx, r)
	if err != nil {
		return Response{}, assigned.Load(), err
	}
	return v.(Response), true, nil
}

func (c *Client) request(ctx context.Context, v any) (*http.Request, error) {
	r := v.(Request)
	target := c.base + (&url.URL{Path: r.Path}).EscapedPath()
	if len(r.Query) > 0 {
		target += "?" + r.Query.Encode()
	}
	q, err := http.NewRequestWithContext(ctx, r.Method, target, bytes.NewReader(r.Body))
	if err != nil {
		return nil, fmt.Errorf("invalid request: %w", err)
	}
	for k, vs := range r.Header {
		q.Header[k] = vs
	}
	return q, nil
}

func (c *Client) response(_ context.Context, p *http.Response) (any, error) {
	data, err := io.ReadAll(io.LimitReader(p.Body, c.limit+1))
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	if int64(len(data)) > c.limit {
		return nil, fmt.Errorf("%w: over %d bytes", ErrBodyTooLarge, c.limit)
	}
	return Response{Status: p.StatusCode, Header: p.Header, Body: data}, nil
}
