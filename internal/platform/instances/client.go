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

// Errors that callers tell apart.
var (
	// ErrUnavailable means that the list could not be read or the change may
	// not have taken effect; both calls can be repeated.
	ErrUnavailable = errors.New("instance list is unavailable")
	// ErrRejected means that the list does not accept the instance.
	ErrRejected = errors.New("instance was rejected")
)

const (
	// listLimit leaves room for the 2,360 instances of the target scale at
	// about 300 B each.
	listLimit      = 4 << 20
	defaultTimeout = 2 * time.Second
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

// Instance is a member of the instance list.
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
	// Price is per hour.
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

// Client calls the instance list and is safe for concurrent use.
type Client struct {
	rest    *rest.Client
	timeout time.Duration
	last    atomic.Pointer[published]
}

// published is a list with the entity tag that the platform gave it.
type published struct {
	tag  string
	list []Instance
}

// New returns a client. It makes no call.
func New(config Config) *Client {
	c := &Client{
		rest:    rest.New(rest.Config{Address: config.Address, Client: config.Client, BodyLimit: listLimit}),
		timeout: config.Timeout,
	}
	if c.timeout <= 0 {
		c.timeout = defaultTimeout
	}
	return c
}

// List returns the instances as the platform last published them; the list
// lags. It must not be changed: while the platform publishes no other, which
// the entity tag of the request tells, the same list is returned again. The
// error is ErrUnavailable.
func (c *Client) List(ctx context.Context) ([]Instance, error) {
	request := rest.Request{Method: http.MethodGet, Path: "/instances"}
	last := c.last.Load()
	if last != nil {
		request.Header = http.Header{"If-None-Match": {last.tag}}
	}
	p, err := c.do(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("list instances: %w", err)
	}
	if last != nil && p.Status == http.StatusNotModified {
		return last.list, nil
	}
	var body struct {
		Instances []Instance `json:"instances"`
	}
	if err := json.Unmarshal(p.Body, &body); err != nil {
		return nil, fmt.Errorf("list instances: %w: %w", ErrUnavailable, err)
	}
	if tag := p.Header.Get("ETag"); tag != "" {
		c.last.Store(&published{tag, body.Instances})
	}
	return body.Instances, nil
}

// Register adds or replaces an instance. It can be repeated. Errors are
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

// Remove removes an instance; removing an absent one is no error. It can be
// repeated.
func (c *Client) Remove(ctx context.Context, id string) error {
	if _, err := c.do(ctx, rest.Request{Method: http.MethodDelete, Path: "/instances/" + id}); err != nil {
		return fmt.Errorf("remove instance %s: %w", id, err)
	}
	return nil
}

func (c *Client) do(ctx context.Context, r rest.Request) (rest.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	p, _, err := c.rest.Do(ctx, r)
	switch {
	case err != nil:
		return p, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case p.Status == http.StatusNotFound && r.Method == http.MethodDelete:
		return p, nil
	case p.Status == http.StatusNotModified:
		return p, nil
	case p.Status == http.StatusBadRequest:
		return p, fmt.Errorf("%w: %.200s", ErrRejected, p.Body)
	case p.Status/100 != 2:
		return p, fmt.Errorf("%w: status %d", ErrUnavailable, p.Status)
	}
	return p, nil
}
