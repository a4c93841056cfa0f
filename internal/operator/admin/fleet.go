package admin

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"wasabiworks.example/wasabiworks/internal/platform/instances"
	"wasabiworks.example/wasabiworks/internal/platform/rest"
)

const (
	// statusLimit bounds a response of an instance, in bytes. At the target
	// scale /status and /metrics take a fraction of it.
	statusLimit = 8 << 20
	// statusTimeout bounds one call to an instance.
	statusTimeout = 2 * time.Second
	// statusCalls bounds the concurrent calls to instances.
	statusCalls = 32
	// waitPause is the time between two rounds of Wait; changes take effect
	// within seconds.
	waitPause = 250 * time.Millisecond
)

// FleetConfig configures a Fleet.
type FleetConfig struct {
	// Platform is the address of the platform API.
	Platform string
	// Client is for calls to the platform and the instances; the default has
	// no proxy.
	Client *http.Client
	// Pause waits between two rounds of Wait; the default uses a timer.
	Pause func(ctx context.Context, d time.Duration) error
}

// Fleet reads the instance list and the operations endpoints of the entry
// instances.
type Fleet struct {
	config   FleetConfig
	platform *instances.Client
}

// NewFleet returns a fleet. It makes no call.
func NewFleet(config FleetConfig) *Fleet {
	if config.Client == nil {
		config.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}}
	}
	if config.Pause == nil {
		config.Pause = pause
	}
	return &Fleet{config, instances.New(instances.Config{Address: config.Platform, Client: config.Client})}
}

// Instances returns the live instances of all roles, ordered by ID.
func (f *Fleet) Instances(ctx context.Context) ([]instances.Instance, error) {
	list, err := f.platform.List(ctx)
	if err != nil {
		return nil, err
	}
	live := slices.DeleteFunc(list, func(i instances.Instance) bool { return i.State != instances.StateLive })
	slices.SortFunc(live, func(a, b instances.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return live, nil
}

// Entries returns the live entry instances, ordered by ID.
func (f *Fleet) Entries(ctx context.Context) ([]instances.Instance, error) {
	live, err := f.Instances(ctx)
	return slices.DeleteFunc(live, func(i instances.Instance) bool { return i.Role != instances.RoleEntry }), err
}

// Answer is what an instance answered, or why it did not.
type Answer struct {
	Instance instances.Instance
	Status   Status
	Err      error
}

// Statuses asks each instance for its status and returns the answers in the
// order of the list.
func (f *Fleet) Statuses(ctx context.Context, list []instances.Instance) []Answer {
	answers := make([]Answer, len(list))
	var g errgroup.Group
	g.SetLimit(statusCalls)
	for i, instance := range list {
		g.Go(func() error {
			answers[i] = f.status(ctx, instance)
			return nil
		})
	}
	_ = g.Wait() // errors are in the answers
	return answers
}

func (f *Fleet) status(ctx context.Context, i instances.Instance) Answer {
	a := Answer{Instance: i}
	data, err := f.Read(ctx, i, "/status")
	if err != nil {
		a.Err = err
		return a
	}
	if err := json.Unmarshal(data, &a.Status); err != nil {
		a.Err = fmt.Errorf("status is not valid JSON: %w", err)
	} else if a.Status.Instance != i.ID {
		a.Err = fmt.Errorf("another instance answered: %q", a.Status.Instance)
	}
	return a
}

// Read returns the body of an operations endpoint of an instance.
func (f *Fleet) Read(ctx context.Context, i instances.Instance, path string) ([]byte, error) {
	if i.OperationsAddress == "" {
		return nil, errors.New("the instance list has no operations address")
	}
	return get(ctx, rest.New(rest.Config{Address: i.OperationsAddress, Client: f.config.Client, BodyLimit: statusLimit}), path)
}

func get(ctx context.Context, c *rest.Client, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	r, _, err := c.Do(ctx, rest.Request{Method: http.MethodGet, Path: path})
	if err != nil {
		return nil, err
	}
	if r.Status != http.StatusOK {
		return nil, fmt.Errorf("%s returned status %d", path, r.Status)
	}
	return r.Body, nil
}

// Wait returns once every live entry instance reports a catalogue revision of
// at least revision. It returns the number of those that do and, if ctx ends
// before, the others with their last answer; err is set if the instance list
// was never read.
func (f *Fleet) Wait(ctx context.Context, revision int64) (reached int, behind []Answer, err error) {
	done := make(map[string]bool)
	known := false
	for {
		var entries []instances.Instance
		if entries, err = f.Entries(ctx); err == nil {
			known = true
			behind = f.behind(ctx, entries, revision, done, behind)
			if len(behind) == 0 {
				return len(done), nil, nil
			}
		}
		if f.config.Pause(ctx, waitPause) != nil {
			if known {
				err = nil
			}
			return len(done), behind, err
		}
	}
}

// behind asks the instances that have not reported the revision yet. An
// instance whose call was cut short by the end of ctx keeps its last answer.
func (f *Fleet) behind(ctx context.Context, entries []instances.Instance, revision int64, done map[string]bool, last []Answer) (behind []Answer) {
	entries = slices.DeleteFunc(entries, func(i instances.Instance) bool { return done[i.ID] })
	for _, a := range f.Statuses(ctx, entries) {
		if a.Err == nil && a.Status.CatalogueRevision >= revision {
			done[a.Instance.ID] = true
			continue
		}
		if ctx.Err() != nil {
			if k := slices.IndexFunc(last, func(l Answer) bool { return l.Instance.ID == a.Instance.ID }); k >= 0 {
				a = last[k]
			}
		}
		behind = append(behind, a)
	}
	return behind
}
