package lifecycle

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"wasabiworks.example/wasabiworks/internal/platform/cloud"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
)

const (
	// retryInterval is the time between attempts to reach the platform.
	retryInterval = 200 * time.Millisecond
	// registrationPeriod is the time between registrations. They are repeated
	// because the instance list is empty after a restart of the platform.
	registrationPeriod = 5 * time.Second
	removeTimeout      = time.Second
)

// Config configures Run.
type Config struct {
	Instances *instances.Client
	Cloud     *cloud.Client
	Instance  instances.Instance
	// The caller closes Leaving to have the instance listed as leaving.
	Leaving <-chan struct{}
	// OnReclaim is called at the deadline of each reclaim notice for the
	// instance, on a goroutine that Run started. If a notice arrives before the
	// deadline of the previous one, only the deadline of the later notice counts.
	OnReclaim func()
}

// Run registers the instance and watches for reclaim notices until ctx ends;
// then it removes the instance from the list.
func Run(ctx context.Context, config Config) {
	var g errgroup.Group
	g.Go(func() error { keepRegistered(ctx, config); return nil })
	g.Go(func() error { watchReclaim(ctx, config); return nil })
	_ = g.Wait()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), removeTimeout)
	defer cancel()
	_ = config.Instances.Remove(ctx, config.Instance.ID)
}

// keepRegistered registers the instance repeatedly until ctx ends.
func keepRegistered(ctx context.Context, config Config) {
	i, leaving := config.Instance, config.Leaving
	i.State = instances.StateLive
	for {
		wait := registrationPeriod
		if config.Instances.Register(ctx, i) != nil {
			wait = retryInterval
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

// watchReclaim calls config.OnReclaim at the deadline of a reclaim notice for the
// instance.
func watchReclaim(ctx context.Context, config Config) {
	var reclaim <-chan time.Time
	notices := make(chan cloud.Notice)
	var g errgroup.Group
	g.Go(func() error { pollNotices(ctx, config.Cloud, notices); return nil })
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
			config.OnReclaim()
		}
	}
}

// pollNotices sends all reclaim notices of the platform to out until ctx ends.
func pollNotices(ctx context.Context, c *cloud.Client, out chan<- cloud.Notice) {
	var after int64
	for ctx.Err() == nil {
		ns, next, err := c.Notices(ctx, after)
		if err != nil {
			sleep(ctx, retryInterval)
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

// sleep waits until d has passed or ctx has ended.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
