package cloud

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"wasabiworks.example/wasabiworks/internal/platform/rest"
)

// Errors that callers can test for with errors.Is.
var (
	// ErrUnavailable means that the call failed. A launch that fails with it may
	// still have started an instance.
	ErrUnavailable = errors.New("cloud API is unavailable")
	// ErrRefused means that the cloud has no instance of the requested kind
	// available.
	ErrRefused = errors.New("cloud refused the instance")
)

const (
	maxResponseBytes = 1 << 20
	defaultTimeout   = 5 * time.Second
	// pollTimeout exceeds the 25 s after which the API ends a long poll without
	// notices.
	pollTimeout = 30 * time.Second
)

// Notice announces that an instance will be reclaimed at a deadline.
type Notice struct {
	Sequence int64     `json:"sequence"`
	Instance string    `json:"instance"`
	Deadline time.Time `json:"deadline"`
}

// LaunchRequest describes an instance to start.
type LaunchRequest struct {
	Class         string `json:"class"`
	FailureDomain string `json:"failure-domain"`
	Reclaimable   bool   `json:"reclaimable"`
}

// Config configures a Client.
type Config struct {
	// Address is the platform's host and port.
	Address string
	// Client defaults to one without a proxy.
	Client *http.Client
	// Timeout bounds each call except Notices; the default is 5 s.
	Timeout time.Duration
}

// Client calls the cloud API. It is safe for concurrent use.
type Client struct {
	rest    *rest.Client
	timeout time.Duration
}

// New returns a client. It makes no call.
func New(config Config) *Client {
	c := &Client{
		rest:    rest.New(rest.Config{Address: config.Address, Client: config.Client, BodyLimit: maxResponseBytes}),
		timeout: config.Timeout,
	}
	if c.timeout <= 0 {
		c.timeout = defaultTimeout
	}
	return c
}

// Notices waits for reclaim notices with a sequence number above after and returns
// them with the number to pass to the next call. It returns no notices and no error
// if none arrive within about 25 s. The error is ErrUnavailable, or ErrRefused if the
// API responds with 409 Conflict.
func (c *Client) Notices(ctx context.Context, after int64) ([]Notice, int64, error) {
	resp, err := c.do(ctx, pollTimeout, rest.Request{
		Method: http.MethodGet,
		Path:   "/notices",
		Query:  url.Values{"after": {strconv.FormatInt(after, 10)}},
	})
	if err != nil {
		return nil, after, fmt.Errorf("read notices: %w", err)
	}
	if resp.Status == http.StatusNoContent {
		return nil, after, nil
	}
	var body struct {
		Next    int64    `json:"next"`
		Notices []Notice `json:"notices"`
	}
	if err := json.Unmarshal(resp.Body, &body); err != nil {
		return nil, after, fmt.Errorf("read notices: %w: %w", ErrUnavailable, err)
	}
	return body.Notices, body.Next, nil
}

// Launch starts an instance and returns its ID. Errors are ErrRefused and
// ErrUnavailable.
func (c *Client) Launch(ctx context.Context, l LaunchRequest) (string, error) {
	data, err := json.Marshal(l)
	if err != nil {
		return "", fmt.Errorf("launch instance: %w", err)
	}
	resp, err := c.do(ctx, c.timeout, rest.Request{Method: http.MethodPost, Path: "/cloud/instances", Body: data})
	if err != nil {
		return "", fmt.Errorf("launch %s in %s: %w", l.Class, l.FailureDomain, err)
	}
	var body struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(resp.Body, &body); err != nil {
		return "", fmt.Errorf("launch %s in %s: %w: %w", l.Class, l.FailureDomain, ErrUnavailable, err)
	}
	return body.ID, nil
}

func (c *Client) do(ctx context.Context, timeout time.Duration, r rest.Request) (rest.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, _, err := c.rest.Do(ctx, r)
	switch {
	case err != nil:
		return resp, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case resp.Status == http.StatusConflict:
		return resp, ErrRefused
	case resp.Status/100 != 2:
		return resp, fmt.Errorf("%w: status %d", ErrUnavailable, resp.Status)
	}
	return resp, nil
}
