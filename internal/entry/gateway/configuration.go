package gateway

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/peer/propagation"
	"wasabiworks.example/wasabiworks/internal/platform/wait"
)

const (
	// pullTimeout bounds a call for a peer's configuration, and startPullTimeout one by an
	// instance that starts: its callers wait. An instance replies within milliseconds.
	pullTimeout      = 500 * time.Millisecond
	startPullTimeout = 200 * time.Millisecond
	// startPullGrace is how long a starting instance waits for further replies after one.
	startPullGrace = 30 * time.Millisecond
	// pullDelay is the time after which an instance asks a peer for a newer configuration of
	// which it has heard: normally it has that from the store by then.
	pullDelay = time.Second
	// askedAtStart is the number of instances that a starting one asks at once for their
	// configurations, and maxStartRounds how often it asks others if none of them replies.
	askedAtStart   = 3
	maxStartRounds = 4
	// instancesWait is how long a starting instance waits for entries of others, which a copy
	// may lack: all instances write theirs again within renewPeriod.
	instancesWait = renewPeriod + 500*time.Millisecond
	// instancesPoll is the time between two checks for such entries.
	instancesPoll = 10 * time.Millisecond
)

// configurationVersion is a version of the operator's configuration.
type configurationVersion struct {
	table    *routes.Table
	revision int64  // of the store
	peer     string // that it came from; empty if it was the store
	// compressed returns the encoded configuration for peers.
	compressed func() []byte
}

// peerVersion is a version of the configuration that a peer has in force.
type peerVersion struct {
	peer    string
	version int64
}

// decodeConfiguration decodes a version of the configuration. A panic is an error, because no
// value of another writer may end the process.
func (f *Instance) decodeConfiguration(data []byte, revision int64, peer string) (v *configurationVersion, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("decoding the configuration panicked: %v", p)
		}
	}()
	t, err := f.config.Format.DecodeTable(data)
	if err != nil {
		return nil, err
	}
	return &configurationVersion{t, revision, peer, sync.OnceValue(func() []byte { return propagation.Compress(data) })}, nil
}

// offerConfiguration puts a version of the configuration in force if it is newer than the
// current one. Until the instance has asked others for theirs, the newest version is only
// kept. The caller holds applyMu.
func (f *Instance) offerConfiguration(v *configurationVersion) {
	current := f.configuration.Load()
	if !f.othersAsked {
		current = f.startConfiguration
	}
	if current != nil && current.table.Version > v.table.Version {
		f.config.Log.Info("ignoring an older configuration", zap.Int64("version", v.table.Version), zap.Int64("in-force", current.table.Version),
			zap.Int64("revision", v.revision), zap.String("peer", v.peer))
	}
	if current != nil && current.table.Version >= v.table.Version {
		return
	}
	if !f.othersAsked {
		f.startConfiguration = v
		return
	}
	f.configuration.Store(v)
	f.publishColdStart()
	f.config.Log.Info("configuration applied", zap.Int64("version", v.table.Version), zap.Int64("revision", v.revision), zap.Int("routes", len(v.table.Routes)),
		zap.String("peer", v.peer), zap.Duration("confirmed-before", f.now().Sub(f.follower.Confirmed())))
}

// currentTable returns the table in force, or nil if there is none.
func (f *Instance) currentTable() *routes.Table {
	if v := f.configuration.Load(); v != nil {
		return v.table
	}
	return nil
}

// configurationRevision returns the version in force, or 0 if there is none.
func (f *Instance) configurationRevision() int64 {
	if t := f.currentTable(); t != nil {
		return t.Version
	}
	return 0
}

// followConfigurations puts the first configuration in force once other instances were asked
// for theirs, and then those of which digests tell that they are newer, until ctx ends. The
// store may have come back from a copy with an older one, or not reply.
func (f *Instance) followConfigurations(ctx context.Context) {
	f.askOthers(ctx)
	f.applyMu.Lock()
	f.othersAsked = true
	if f.startConfiguration != nil {
		f.offerConfiguration(f.startConfiguration)
	}
	f.startConfiguration = nil
	f.applyMu.Unlock()
	f.handler.StateChanged()
	for {
		select {
		case <-ctx.Done():
			return
		case known := <-f.newerConfiguration:
			wait.For(ctx, pullDelay)
			if known.version <= f.configurationRevision() {
				continue
			}
			pullCtx, cancel := context.WithTimeout(ctx, pullTimeout)
			f.pullConfiguration(pullCtx, known.peer)
			cancel()
		}
	}
}

// noteConfiguration records that a peer has a version of the configuration.
func (f *Instance) noteConfiguration(from membership.Member, version int64, _ bool) {
	if version <= f.configurationRevision() {
		return
	}
	select {
	case f.newerConfiguration <- peerVersion{from.ID, version}:
	default: // another peer has one too
	}
}

// askOthers asks the instances that have run the longest for their configurations, unless the
// store cannot have come back from a copy.
func (f *Instance) askOthers(ctx context.Context) {
	others := f.waitForOthers(ctx)
	if f.follower.Era() == 0 {
		return
	}
	for range maxStartRounds {
		asked := others[:min(askedAtStart, len(others))]
		others = others[len(asked):]
		if len(asked) == 0 || f.pullFromAny(ctx, asked) {
			return
		}
	}
}

// pullFromAny asks several instances, and reports whether one has replied and has a
// configuration. It waits for the others for startPullGrace then.
func (f *Instance) pullFromAny(ctx context.Context, ids []string) bool {
	ctx, cancel := context.WithTimeout(ctx, startPullTimeout)
	defer cancel()
	var replied atomic.Bool
	var calls sync.WaitGroup
	for _, id := range ids {
		calls.Go(func() {
			if f.pullConfiguration(ctx, id) && !replied.Swap(true) {
				time.AfterFunc(startPullGrace, cancel)
			}
		})
	}
	calls.Wait()
	return replied.Load()
}

// waitForOthers waits until the entries of the instances are known, and returns the others,
// those that have run the longest first. If the store may have come back from a copy that lacks
// the entries, it waits for one of them for instancesWait.
func (f *Instance) waitForOthers(ctx context.Context) []string {
	for start := f.now(); ; wait.For(ctx, instancesPoll) {
		others := f.otherInstances()
		listed := f.registeredSnapshot.Load() != nil
		isAlone := f.follower.Era() == 0 || f.fleetSize.Load() == 1
		if len(others) > 0 || ctx.Err() != nil || listed && (isAlone || f.now().Sub(start) > instancesWait) {
			return others
		}
	}
}

// otherInstances returns the IDs of the registered instances but this one, those that have run
// the longest first.
func (f *Instance) otherInstances() (ids []string) {
	registered := f.registeredSnapshot.Load()
	if registered == nil {
		return nil
	}
	others := slices.DeleteFunc(slices.Clone(*registered), func(m membership.Member) bool { return m.ID == f.config.ID })
	slices.SortFunc(others, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.ID, b.ID))
	})
	for _, m := range others {
		ids = append(ids, m.ID)
	}
	return ids
}

// pullConfiguration asks an instance for its configuration and offers it if it is newer, and
// reports whether the instance has replied and has one.
func (f *Instance) pullConfiguration(ctx context.Context, id string) (replied bool) {
	s, err := f.exchange.Pull(ctx, id, &peerpb.PullRequest{HaveRevision: f.configurationRevision()})
	if err != nil {
		f.config.Log.Debug("asking an instance for its configuration failed", zap.String("peer", id), zap.Error(err))
		return false
	}
	if len(s.GetCatalogue()) == 0 {
		return s.GetRevision() > 0 // an instance that has none yet knows nothing
	}
	data, err := propagation.Decompress(s.GetCatalogue())
	var v *configurationVersion
	if err == nil {
		v, err = f.decodeConfiguration(data, 0, id)
	}
	if err != nil {
		f.config.Log.Warn("configuration of another instance cannot be read", zap.String("peer", id), zap.Int64("version", s.GetRevision()), zap.Error(err))
		return true
	}
	f.applyMu.Lock()
	f.offerConfiguration(v)
	f.applyMu.Unlock()
	f.handler.StateChanged()
	return true
}

// servePull returns the version in force, and the configuration if it is newer than the peer's.
func (f *Instance) servePull(_ context.Context, r *peerpb.PullRequest) (*peerpb.Snapshot, error) {
	v := f.configuration.Load()
	if v == nil {
		return &peerpb.Snapshot{}, nil
	}
	if v.table.Version <= r.GetHaveRevision() {
		return &peerpb.Snapshot{Revision: v.table.Version}, nil
	}
	return &peerpb.Snapshot{Revision: v.table.Version, Catalogue: v.compressed()}, nil
}
