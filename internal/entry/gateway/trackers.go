package gateway

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/peer/claim"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/platform/wait"
)

const (
	// trackersPerDomain is the number of instances of a failure domain that track its
	// servers. A few of the strongest do it, because each instance keeps a connection to
	// each tracker.
	trackersPerDomain = 4
	// minTrackedFleet is the number of instances from which on servers are tracked. In a
	// smaller fleet each instance sends a server a good part of its requests itself; only
	// brittle servers are tracked there.
	minTrackedFleet = 17
	// trackersPeriod is the time between two choices of the trackers.
	trackersPeriod = 200 * time.Millisecond
)

// newClaims returns the client for claims on backend servers.
func (f *Instance) newClaims() (*claim.Client, error) {
	return claim.New(claim.Config{
		Instance: f.config.ID, Enabled: func() bool { return f.trackers.Load() != nil }, Tracker: f.tracker, Now: f.now, Registerer: f.registry,
		Claim: func(ctx context.Context, id string, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
			return f.exchange.Claim(ctx, id, r)
		},
		Progress: func(ctx context.Context, id string, r *peerpb.ProgressRequest) (*peerpb.ProgressReply, error) {
			return f.exchange.Progress(ctx, id, r)
		},
	})
}

// tracker returns the ID of the instance that tracks a server, or "" if the fleet is small
// or no live instance of the server's failure domain is known.
func (f *Instance) tracker(s claim.Server) string {
	trackers := f.trackers.Load()
	if trackers == nil {
		return ""
	}
	return membership.Owner(xxhash.Sum64String(s.Process), (*trackers)[s.FailureDomain])
}

// chooseTrackers periodically chooses the trackers of each failure domain, until ctx ends.
func (f *Instance) chooseTrackers(ctx context.Context) {
	wait.Every(ctx, trackersPeriod, func() {
		registered := f.registeredSnapshot.Load()
		if registered == nil || len(*registered) < minTrackedFleet && !f.pool.HasBrittle() {
			f.trackers.Store(nil)
			return
		}
		trackers, now := make(map[string][]string), time.Now()
		for _, m := range *registered {
			if _, ok := trackers[m.FailureDomain]; !ok {
				trackers[m.FailureDomain] = f.members.Strongest(m.FailureDomain, trackersPerDomain, now)
			}
		}
		f.trackers.Store(&trackers)
	})
}
