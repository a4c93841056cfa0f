package kv

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"wasabiworks.example/wasabiworks/internal/platform/rest"
)

// MaxValue is the largest value that the service stores, in bytes.
const MaxValue = 1 << 20

const (
	// defaultTimeout treats a store that takes longer as unavailable.
	defaultTimeout = time.Second
	// watchTimeout exceeds the 25 s after which the service answers a watch
	// without a change.
	watchTimeout = 30 * time.Second
	// watchPause keeps a service that answers watches immediately without a
	// change from being called in a tight loop.
	watchPause = 100 * time.Millisecond
)

// Config configures a Client.
type Config struct {
	// Address is the service's host and port.
	Address string
	// Client defaults to one without a proxy.
	Client *http.Client
	// Timeout bounds each call but Watch; the default is 1 s.
	Timeout time.Duration
	// Now is the clock for lease deadlines; the default is time.Now.
	Now func() time.Time
}

// Client calls the key-value service and is safe for concurrent use.
type Client struct {
	rest    *rest.Client
	timeout time.Duration
	now     func() time.Time
}

var _ Store = (*Client)(nil)

// New returns a client. It makes no call.
func New(config Config) *Client {
	c := &Client{
		rest:    rest.New(rest.Config{Address: config.Address, Client: config.Client, BodyLimit: MaxValue}),
		timeout: config.Timeout,
		now:     config.Now,
	}
	if c.timeout <= 0 {
		c.timeout = defaultTimeout
	}
	if c.now == nil {
		c.now = time.Now
	}
	return c
}

// Get returns the key's value. Errors are ErrAbsent and ErrUnavailable.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	p, err := c.read(ctx, c.timeout, rest.Request{Method: http.MethodGet, Path: "/kv/" + key})
	if err != nil {
		return Value{}, err
	}
	return value(p)
}

// Put stores data if the key's revision is ifRevision, where 0 means that the
// key is absent, and returns the new revision. Errors are ErrConflict,
// ErrTooLarge, ErrUnavailable and ErrUnknown.
func (c *Client) Put(ctx context.Context, key string, data []byte, ifRevision int64) (int64, error) {
	return c.PutWithLease(ctx, key, data, ifRevision, "")
}

// PutWithLease is Put for a key that the service deletes when the lease ends.
// It returns ErrLeaseEnded if the lease is not known.
func (c *Client) PutWithLease(ctx context.Context, key string, data []byte, ifRevision int64, lease string) (int64, error) {
	if len(data) > MaxValue {
		return 0, fmt.Errorf("put %s: %w", key, ErrTooLarge)
	}
	h := http.Header{"If-Revision": {strconv.FormatInt(ifRevision, 10)}}
	if lease != "" {
		h.Set("Lease", lease)
	}
	p, err := c.write(ctx, rest.Request{Method: http.MethodPut, Path: "/kv/" + key, Header: h, Body: data})
	if err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	revision, err := strconv.ParseInt(p.Header.Get("Revision"), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("put %s: %w: invalid revision in the response", key, ErrUnknown)
	}
	return revision, nil
}

// Delete removes the key if its revision is ifRevision. Errors are those of
// Put and ErrAbsent.
func (c *Client) Delete(ctx context.Context, key string, ifRevision int64) error {
	h := http.Header{"If-Revision": {strconv.FormatInt(ifRevision, 10)}}
	if _, err := c.write(ctx, rest.Request{Method: http.MethodDelete, Path: "/kv/" + key, Header: h}); err != nil {
		return fmt.Errorf("delete %s: %w", key, err)
	}
	return nil
}

// Watch returns the key's value once its revision is above after. It repeats
// the long poll until there is such a value, a call fails or ctx ends; the
// error is ErrUnavailable. A deleted key is waited for like an absent one.
func (c *Client) Watch(ctx context.Context, key string, after int64) (Value, error) {
	r := rest.Request{
		Method: http.MethodGet,
		Path:   "/watch/" + key,
		Query:  url.Values{"after": {strconv.FormatInt(after, 10)}},
	}
	for {
		p, err := c.read(ctx, watchTimeout, r)
		if err != nil {
			return Value{}, err
		}
		if p.Status != http.StatusNoContent {
			v, err := value(p)
			// A service that lost its latest writes must not make a watcher
			// go back.
			if err != nil || v.Revision > after {
				return v, err
			}
		}
		select {
		case <-ctx.Done():
			return Value{}, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		case <-time.After(watchPause):
		}
	}
}

// read makes a call without effect, which fails as unavailable.
func (c *Client) read(ctx context.Context, timeout time.Duration, r rest.Request) (rest.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	p, _, err := c.rest.Do(ctx, r)
	switch {
	case err != nil:
		return p, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case p.Status == http.StatusNotFound:
		return p, ErrAbsent
	case p.Status != http.StatusOK && p.Status != http.StatusNoContent:
		return p, fmt.Errorf("%w: status %d", ErrUnavailable, p.Status)
	}
	return p, nil
}

// write makes a call whose effect is unknown if its response is lost.
func (c *Client) write(ctx context.Context, r rest.Request) (rest.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	p, sent, err := c.rest.Do(ctx, r)
	if err != nil {
		if sent {
			return p, fmt.Errorf("%w: %w", ErrUnknown, err)
		}
		return p, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	switch p.Status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return p, nil
	case http.StatusNotFound:
		return p, ErrAbsent
	case http.StatusGone:
		return p, ErrLeaseEnded
	case http.StatusConflict:
		return p, ErrConflict
	case http.StatusRequestEntityTooLarge:
		return p, ErrTooLarge
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return p, fmt.Errorf("%w: status %d", ErrUnavailable, p.Status)
	}
	return p, fmt.Errorf("%w: status %d", ErrUnknown, p.Status)
}

func value(p rest.Response) (Value, error) {
	revision, err := strconv.ParseInt(p.Header.Get("Revision"), 10, 64)
	if err != nil {
		return Value{}, fmt.Errorf("%w: invalid revision in the response", ErrUnavailable)
	}
	return Value{Data: p.Body, Revision: revision}, nil
}
