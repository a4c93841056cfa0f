package lifecycle

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"wasabiworks.example/wasabiworks/internal/platform/cloud"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
)

const (
	// retryPause is the time between attempts to reach the platform.
	retryPause = 200 * time.Millisecond
	// refresh repeats the registration, because a platform that restarts has
	// an empty list.
	refresh       = 5 * time.Second
	removeTimeout = time.Second
)

// Config configures Run.
type Config struct {
	Instances *instances.Client
	Cloud     *cloud.Client
	Instance  instances.Instance
	// Leaving is closed when the instance is to be listed as leaving.
	Leaving <-chan struct{}
	// Reclaimed is called at the deadline of a reclaim notice.
	Reclaimed func()
}

// Run registers the instance and watches for its reclaim until ctx ends; then
// it removes the instance from the list.
func Run(ctx context.Context, config Config) {
	var g errgroup.Group
	g.Go(func() error { register(ctx, config); return nil })
	g.Go(func() error { awaitReclaim(ctx, config); return nil })
	_ = g.Wait()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), removeTimeout)
	defer cancel()
	_ = config.Instances.Remove(ctx, config.Instance.ID)
}

func register(ctx context.Context, config Config) {
	i, leaving := config.Instance, config.Leaving
	i.State = instances.StateLive
	for {
		wait := refresh
		if config.Instances.Register(ctx, i) != nil {
			wait = retryPause
		}
		select {
		case <-ctx.Done():
			return
		case <-leaving:
			leaving = nil
			i.State = instances.StateLeaving
		case <-time.After(wait):
		}
	}
}

func awaitReclaim(ctx context.Context, config Config) {
	var reclaim <-chan time.Time
	notices := make(chan cloud.Notice)
	var g errgroup.Group
	g.Go(func() error { poll(ctx, config.Cloud, notices); return nil })
	defer func() { _ = g.Wait() }()
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-notices:
			if n.Instance == config.Instance.ID {
				reclaim = time.After(time.Until(n.Deadline))
			}
		case <-reclaim:
			config.Reclaimed()
		}
	}
}

func poll(ctx context.Context, c *cloud.Client, out chan<- cloud.Notice) {
	var after int64
	for ctx.Err() == nil {
		ns, next, err := c.Notices(ctx, after)
		if err != nil {
			pause(ctx, retryPause)
			continue
		}
		after = next
		for _, n := range ns {
			select {
			case out <- n:
			case <-ctx.Done():
				return
			}
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
