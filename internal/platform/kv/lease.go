package kv

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"wasabiworks.example/wasabiworks/internal/platform/rest"
)

// ErrLeaseEnded means that a lease has expired or was ended.
var ErrLeaseEnded = errors.New("lease has ended")

// Lease is a granted lease.
type Lease struct {
	ID string
	// Fence is the fencing token; a later lease has a higher one.
	Fence int64
	// Deadline is the holder's bound on its own clock. It counts from before
	// the request was sent, so the service never ends the lease earlier.
	Deadline time.Time

	// ttl is what a renewal adds; the service keeps it with the lease.
	ttl time.Duration
}

// Valid reports whether more than margin is left until the deadline. The
// margin must cover the time in which an action taken now takes effect.
func (l Lease) Valid(now time.Time, margin time.Duration) bool {
	return now.Add(margin).Before(l.Deadline)
}

// Grant returns a new lease that lasts for ttl. Errors are ErrUnavailable and
// ErrUnknown; in the latter case a lease may exist until its ttl has passed.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	body, err := json.Marshal(struct {
		TTL int64 `json:"ttl-ms"`
	}{ttl.Milliseconds()})
	if err != nil {
		return Lease{}, fmt.Errorf("grant lease: %w", err)
	}
	l := Lease{ttl: ttl.Truncate(time.Millisecond)}
	l, err = c.lease(ctx, l, rest.Request{Method: http.MethodPost, Path: "/leases", Body: body})
	if err != nil {
		return Lease{}, fmt.Errorf("grant lease: %w", err)
	}
	return l, nil
}

// Renew extends the lease by its original time to live. On an error the
// lease's previous deadline stays in effect, except for ErrLeaseEnded.
func (c *Client) Renew(ctx context.Context, l Lease) (Lease, error) {
	renewed, err := c.lease(ctx, l, rest.Request{Method: http.MethodPut, Path: "/leases/" + l.ID})
	if err != nil {
		return l, fmt.Errorf("renew lease %s: %w", l.ID, err)
	}
	return renewed, nil
}

// End ends the lease; the service deletes its keys. Ending a lease that has
// ended already is no error.
func (c *Client) End(ctx context.Context, l Lease) error {
	_, err := c.write(ctx, rest.Request{Method: http.MethodDelete, Path: "/leases/" + l.ID})
	if err != nil && !errors.Is(err, ErrLeaseEnded) && !errors.Is(err, ErrAbsent) {
		return fmt.Errorf("end lease %s: %w", l.ID, err)
	}
	return nil
}

func (c *Client) lease(ctx context.Context, l Lease, r rest.Request) (Lease, error) {
	sent := c.now()
	p, err := c.write(ctx, r)
	if err != nil {
		return Lease{}, err
	}
	var body struct {
		ID    string `json:"id"`
		Fence int64  `json:"fence"`
	}
	if err := json.Unmarshal(p.Body, &body); err != nil || body.ID == "" {
		return Lease{}, fmt.Errorf("%w: invalid lease in the response", ErrUnknown)
	}
	// The response's deadline is on the service's clock and is not used.
	return Lease{ID: body.ID, Fence: body.Fence, Deadline: sent.Add(l.ttl), ttl: l.ttl}, nil
}
