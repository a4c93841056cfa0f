package instances

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"wasabiworks.example/wasabiworks/internal/platform/rest"
)

// Errors that callers can test for with errors.Is.
var (
	// ErrUnavailable means that the list could not be read or that the change may
	// not have taken effect. The call can be repeated.
	ErrUnavailable = errors.New("instance list is unavailable")
	// ErrRejected means that the platform rejected the instance as invalid.
	ErrRejected = errors.New("instance was rejected")
)

const (
	// maxResponseBytes bounds a response body in bytes. It leaves room for the target
	// scale of 2,360 instances at about 300 B each.
	maxResponseBytes = 4 << 20
	defaultTimeout   = 2 * time.Second
)

// Values of Instance.Role, Instance.Kind and Instance.State.
const (
	RoleEntry    = "entry"
	RoleBackend  = "backend"
	KindLanguage = "language"
	KindService  = "service"
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Instance is an entry of the instance list.
type Instance struct {
	ID                string `json:"id"`
	Role              string `json:"role"`
	Entry             string `json:"entry,omitempty"`
	Kind              string `json:"kind,omitempty"`
	Region            string `json:"region"`
	FailureDomain     string `json:"failure-domain"`
	Address           string `json:"address"`
	PeerAddress       string `json:"peer-address,omitempty"`
	OperationsAddress string `json:"operations-address,omitempty"`
	State             string `json:"state"`
	Class             string `json:"class,omitempty"`
	Reclaimable       bool   `json:"reclaimable"`
	// Price is per hour, in the platform's currency.
	Price float64 `json:"price"`
}

// Config configures a Client.
type Config struct {
	// Address is the platform's host and port.
	Address string
	// Client defaults to one without a proxy.
	Client *http.Client
	// Timeout bounds each call; the default is 2 s.
	Timeout time.Duration
}

// Client reads and changes the instance list. It is safe for concurrent use.
type Client struct {
	rest    *rest.Client
	timeout time.Duration
	cached  atomic.Pointer[cachedList]
}

// cachedList is a list with its entity tag.
type cachedList struct {
	etag string
	list []Instance
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

// List returns the instance list that the platform last published, which may lag
// behind changes. The caller must not modify the list: as long as the entity tag
// is unchanged, calls return the same slice. The error is ErrUnavailable.
func (c *Client) List(ctx context.Context) ([]Instance, error) {
	request := rest.Request{Method: http.MethodGet, Path: "/instances"}
	cached := c.cached.Load()
	if cached != nil {
		request.Header = http.Header{"If-None-Match": {cached.etag}}
	}
	resp, err := c.do(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("list instances: %w", err)
	}
	if cached != nil && resp.Status == http.StatusNotModified {
		return cached.list, nil
	}
	var body struct {
		Instances []Instance `json:"instances"`
	}
	if err := json.Unmarshal(resp.Body, &body); err != nil {
		return nil, fmt.Errorf("list instances: %w: %w", ErrUnavailable, err)
	}
	if etag := resp.Header.Get("ETag"); etag != "" {
		c.cached.Store(&cachedList{etag, body.Instances})
	}
	return body.Instances, nil
}

// Register adds or replaces an instance. It is idempotent. Errors are
// ErrUnavailable and ErrRejected.
func (c *Client) Register(ctx context.Context, i Instance) error {
	body, err := json.Marshal(i)
	if err != nil {
		return fmt.Errorf("register instance %s: %w", i.ID, err)
	}
	if _, err := c.do(ctx, rest.Request{Method: http.MethodPut, Path: "/instances/" + i.ID, Body: body}); err != nil {
		return fmt.Errorf("register instance %s: %w", i.ID, err)
	}
	return nil
}

// Remove removes an instance. It is idempotent: removing an absent instance is not
// an error.
func (c *Client) Remove(ctx context.Context, id string) error {
	if _, err := c.do(ctx, rest.Request{Method: http.MethodDelete, Path: "/instances/" + id}); err != nil {
		return fmt.Errorf("remove instance %s: %w", id, err)
	}
	return nil
}

func (c *Client) do(ctx context.Context, r rest.Request) (rest.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, _, err := c.rest.Do(ctx, r)
	switch {
	case err != nil:
		return resp, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case resp.Status == http.StatusNotFound && r.Method == http.MethodDelete:
		return resp, nil
	case resp.Status == http.StatusNotModified:
		return resp, nil
	case resp.Status == http.StatusBadRequest:
		return resp, fmt.Errorf("%w: %.200s", ErrRejected, resp.Body)
	case resp.Status/100 != 2:
		return resp, fmt.Errorf("%w: status %d", ErrUnavailable, resp.Status)
	}
	return resp, nil
}
