package openai

import (
	"context"
	"slices"
	"strconv"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/route"
)

// chooseServer picks a server and registers the next attempt on it. If no server
// is available, it waits up to Config.ServerWait for one, or up to
// Config.SuspectServerWait if servers are excluded because of other suspects, and
// then returns errNoServer. retry is false for the first attempt of a request.
func (d *driver) chooseServer(ctx context.Context, retry bool) error {
	start := d.server.config.Now()
	if d.suspect && retry {
		// Wait until the suspects that other instances found in the same crash
		// are known, because the choice depends on them.
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(suspectDelay):
		}
	}
	for {
		d.chooseVersion()
		if d.pickServer(retry) {
			return nil
		}
		maxWait := d.server.config.ServerWait
		if d.suspectConflict {
			maxWait = d.server.config.SuspectServerWait
		}
		if d.server.config.Now().Sub(start) > maxWait {
			return errNoServer
		}
		d.overloaded = d.overloaded[:0] // the overloaded servers may have capacity again
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(25 * time.Millisecond):
		}
	}
}

// chooseVersion chooses the version for each attempt separately, so that a
// version that has been rolled back gets no further attempts. A response combines
// tokens of two versions only if the first version failed or is no longer served.
// In particular, a response that has tokens keeps its version when a rollout gives
// a larger share of the conversations to the new version.
func (d *driver) chooseVersion() {
	e, ok := d.server.config.Snapshots.Snapshot().Entry(d.generation.entry)
	if !ok {
		return
	}
	previous := d.generation.lastVersion()
	version, move, step := d.server.config.Versions.Version(e, d.generation.conversation)
	if previous != "" && version != previous && len(d.generation.generatedTokens()) > 0 && !d.versionFailed && d.versionServed(previous) {
		d.version = previous
		return
	}
	d.version, d.move, d.step = version, move, step
	d.generation.setVersion(version)
}

func (d *driver) versionServed(version string) bool {
	return slices.ContainsFunc(d.server.config.Fleet.View(d.generation.entry), func(b route.Backend) bool { return b.Serves(version) })
}

// pickServer picks a server and registers the attempt on it. It reports false if
// no server may run the attempt. A retry also needs a withdrawal from the
// server's retry budget, unless the attempt is uncharged.
func (d *driver) pickServer(retry bool) bool {
	s := d.server
	view := s.config.Fleet.View(d.generation.entry)
	exclude := slices.Concat(d.exclude, d.overloaded)
	d.suspectConflict = false
	if d.suspect {
		exclude = d.excludeForSuspect(view, exclude)
	}
	for range len(view) {
		i, ok := d.pickIndex(view, exclude)
		if !ok {
			return false
		}
		b := view[i]
		if !s.inFlight.add(b.ID, d, d.generation.fingerprint, d.suspect) {
			d.suspectConflict = true
			exclude = append(exclude, b.ID)
			continue
		}
		if retry && !d.uncharged && !s.config.Budget.Withdraw(b.ID) {
			s.inFlight.remove(b.ID, d, d.suspect)
			exclude = append(exclude, b.ID)
			continue
		}
		if !retry {
			s.config.Budget.Deposit(b.ID)
		}
		d.beginAttempt(b)
		return true
	}
	return false
}

// suspectDelay is how long a request that was in flight during a crash waits
// before it is retried. The delay leaves time for suspects that other instances
// send, which they do immediately.
const suspectDelay = 500 * time.Millisecond

// excludeForSuspect adds the servers assigned to other suspects to exclude,
// unless d.exclude already holds all servers assigned to this request.
func (d *driver) excludeForSuspect(view []route.Backend, exclude []string) []string {
	ids := make([]string, 0, len(view))
	for i := range view {
		ids = append(ids, view[i].ID)
	}
	slices.Sort(ids)
	assigned := d.server.config.Poison.AssignedServers(d.generation.fingerprint, ids)
	if !slices.ContainsFunc(assigned, func(id string) bool { return !slices.Contains(d.exclude, id) }) {
		return exclude
	}
	for _, id := range ids {
		if !slices.Contains(assigned, id) {
			exclude = append(exclude, id)
		}
	}
	d.suspectConflict = len(assigned) < len(ids)
	return exclude
}

// pickIndex returns the index in view of the server for the next attempt: the
// server that the KV cache was copied to if that server can be used, else the
// server that the routing policy picks. In the latter case it also discards the
// reference to the copied cache.
func (d *driver) pickIndex(view []route.Backend, exclude []string) (int, bool) {
	if d.cacheAttemptID != "" {
		i := slices.IndexFunc(view, func(b route.Backend) bool { return b.ID == d.cacheServerID })
		if i >= 0 && !slices.Contains(exclude, d.cacheServerID) {
			return i, true
		}
		d.cacheAttemptID = ""
	}
	prefix, tokens := prefixOf(d.generation.prompt)
	return d.server.config.Router.Pick(view, route.Request{
		Entry: d.generation.entry, Version: d.version, FailureDomain: d.server.config.FailureDomain, Prefix: prefix, PrefixTokens: tokens,
		Interactive: d.generation.interactive, Exclude: exclude,
	}, d.server.config.Now(), d.server.config.Random())
}

// beginAttempt registers an attempt on server b with the fleet and resets the
// state of the current attempt.
func (d *driver) beginAttempt(b route.Backend) {
	d.backend = b
	d.attemptID = d.server.config.Node + "-" + strconv.FormatUint(d.server.attempts.Add(1), 36) + "-" + strconv.FormatUint(d.server.config.Random()&0xffffffff, 36)
	d.leaving = d.server.config.Fleet.AttemptStarted(b.ID)
	d.migrateAt = time.Time{}
	d.attemptStart = d.server.config.Now()
	d.lastTokenAt = d.attemptStart
	d.firstToken, d.betweenTokens, d.tokens, d.uncharged = 0, 0, 0, false
	d.record.Attempts++
}
