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
	// maxResponseBytes bounds the body of a response of an instance. At the
	// target scale, /status and /metrics are a fraction of this limit.
	maxResponseBytes = 8 << 20
	// callTimeout bounds one call to an instance.
	callTimeout = 2 * time.Second
	// maxConcurrentCalls bounds the concurrent calls to instances.
	maxConcurrentCalls = 32
	// waitInterval is the time between two polls of Wait. It is short because
	// changes take effect within seconds.
	waitInterval = 250 * time.Millisecond
)

// FleetConfig configures a Fleet.
type FleetConfig struct {
	// Platform is the address of the platform API.
	Platform string
	// Client makes the calls to the platform and the instances; the default
	// uses no proxy.
	Client *http.Client
	// Pause waits between two polls of Wait; the default uses a timer.
	Pause func(ctx context.Context, d time.Duration) error
}

// Fleet reads the instance list and the operations endpoints of the instances.
type Fleet struct {
	config   FleetConfig
	platform *instances.Client
}

// NewFleet returns a Fleet. It makes no network calls.
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

// EntryInstances returns the live entry instances, ordered by ID.
func (f *Fleet) EntryInstances(ctx context.Context) ([]instances.Instance, error) {
	live, err := f.Instances(ctx)
	return slices.DeleteFunc(live, func(i instances.Instance) bool { return i.Role != instances.RoleEntry }), err
}

// StatusResult is the status of an instance, or the error from reading it. Status is
// valid only if Err is nil.
type StatusResult struct {
	Instance instances.Instance
	Status   Status
	Err      error
}

// Statuses reads the status of each instance concurrently and returns the
// answers in the order of the list.
func (f *Fleet) Statuses(ctx context.Context, list []instances.Instance) []StatusResult {
	answers := make([]StatusResult, len(list))
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for i, instance := range list {
		g.Go(func() error {
			answers[i] = f.status(ctx, instance)
			return nil
		})
	}
	_ = g.Wait() // errors are in the answers
	return answers
}

func (f *Fleet) status(ctx context.Context, i instances.Instance) StatusResult {
	a := StatusResult{Instance: i}
	data, err := f.Read(ctx, i, "/status")
	if err != nil {
		a.Err = err
		return a
	}
	if err := json.Unmarshal(data, &a.Status); err != nil {
		a.Err = fmt.Errorf("decode /status: %w", err)
	} else if a.Status.Instance != i.ID {
		a.Err = fmt.Errorf("the address belongs to instance %q", a.Status.Instance)
	}
	return a
}

// Read returns the response body of an operations endpoint of an instance.
func (f *Fleet) Read(ctx context.Context, i instances.Instance, path string) ([]byte, error) {
	if i.OperationsAddress == "" {
		return nil, errors.New("the instance has no operations address in the instance list")
	}
	return get(ctx, rest.New(rest.Config{Address: i.OperationsAddress, Client: f.config.Client, BodyLimit: maxResponseBytes}), path)
}

func get(ctx context.Context, c *rest.Client, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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

// Wait polls until every live entry instance reports a catalogue revision of at
// least revision, or ctx ends. reached is the number of instances that reported
// such a revision, including instances that have since left the list. behind
// holds the last answers of the other listed instances. err is nil if the
// instance list was read at least once, also if ctx ended; callers must check
// behind to learn whether all instances have the revision.
func (f *Fleet) Wait(ctx context.Context, revision int64) (reached int, behind []StatusResult, err error) {
	confirmed := make(map[string]bool)
	listed := false
	for {
		var entries []instances.Instance
		if entries, err = f.EntryInstances(ctx); err == nil {
			listed = true
			behind = f.queryUnconfirmed(ctx, entries, revision, confirmed, behind)
			if len(behind) == 0 {
				return len(confirmed), nil, nil
			}
		}
		if f.config.Pause(ctx, waitInterval) != nil {
			if listed {
				err = nil
			}
			return len(confirmed), behind, err
		}
	}
}

// queryUnconfirmed reads the status of the instances that are not in confirmed.
// It adds the instances that have reached the revision to confirmed and returns
// the answers of the others. If ctx has ended, the calls may have been canceled;
// the previous answer of an instance, from last, is then kept if there is one.
func (f *Fleet) queryUnconfirmed(ctx context.Context, entries []instances.Instance, revision int64, confirmed map[string]bool, last []StatusResult) (behind []StatusResult) {
	entries = slices.DeleteFunc(entries, func(i instances.Instance) bool { return confirmed[i.ID] })
	for _, a := range f.Statuses(ctx, entries) {
		if a.Err == nil && a.Status.CatalogueRevision >= revision {
			confirmed[a.Instance.ID] = true
			continue
		}
		if ctx.Err() != nil {
			if k := slices.IndexFunc(last, func(l StatusResult) bool { return l.Instance.ID == a.Instance.ID }); k >= 0 {
				a = last[k]
			}
		}
		behind = append(behind, a)
	}
	return behind
}
