package openai

import (
	"context"
	"slices"
	"strconv"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/route"
)

// chooseServer picks a server and registers the next attempt on it. If no server
// is available, it retries until Config.Patience has passed, or
// Config.SuspectPatience if servers are excluded because of other suspects, and
// returns errNoServer. retry is false for the first attempt of a request.
func (r *driver) chooseServer(ctx context.Context, retry bool) error {
	start := r.server.config.Now()
	if r.suspect && retry {
		// Wait until the suspects that other instances found in the same crash
		// are known, because the choice depends on them.
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(suspectDelay):
		}
	}
	for {
		r.chooseVersion()
		if r.pickServer(retry) {
			return nil
		}
		maxWait := r.server.config.Patience
		if r.suspectConflict {
			maxWait = r.server.config.SuspectPatience
		}
		if r.server.config.Now().Sub(start) > maxWait {
			return errNoServer
		}
		r.overloaded = r.overloaded[:0] // they may have finished requests since
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(25 * time.Millisecond):
		}
	}
}

// chooseVersion chooses the version for each attempt separately, so that a
// version that has been rolled back gets no further attempts. A response combines
// tokens of two versions only if the first version failed or is no longer served:
// a growing share of the new version does not switch a response that has tokens.
func (r *driver) chooseVersion() {
	e, ok := r.server.config.Snapshots.Snapshot().Entry(r.generation.entry)
	if !ok {
		return
	}
	previous := r.generation.lastVersion()
	version, move, step := r.server.config.Versions.Version(e, r.generation.conversation)
	if previous != "" && version != previous && len(r.generation.generatedTokens()) > 0 && !r.versionFailed && r.versionServed(previous) {
		r.version = previous
		return
	}
	r.version, r.move, r.step = version, move, step
	r.generation.setVersion(version)
}

func (r *driver) versionServed(version string) bool {
	return slices.ContainsFunc(r.server.config.Fleet.View(r.generation.entry), func(b route.Backend) bool { return b.Serves(version) })
}

// pickServer picks a server and registers the attempt on it. It reports false if
// no server may run the attempt. A retry also needs a withdrawal from the
// server's retry budget, unless the attempt is uncharged.
func (r *driver) pickServer(retry bool) bool {
	s := r.server
	view := s.config.Fleet.View(r.generation.entry)
	exclude := slices.Concat(r.exclude, r.overloaded)
	r.suspectConflict = false
	if r.suspect {
		exclude = r.excludeForSuspect(view, exclude)
	}
	for range len(view) {
		i, ok := r.pickIndex(view, exclude)
		if !ok {
			return false
		}
		b := view[i]
		if !s.inFlight.add(b.ID, r, r.generation.fingerprint, r.suspect) {
			r.suspectConflict = true
			exclude = append(exclude, b.ID)
			continue
		}
		if retry && !r.uncharged && !s.config.Budget.Withdraw(b.ID) {
			s.inFlight.remove(b.ID, r, r.suspect)
			exclude = append(exclude, b.ID)
			continue
		}
		if !retry {
			s.config.Budget.Deposit(b.ID)
		}
		r.beginAttempt(b)
		return true
	}
	return false
}

// suspectDelay is how long a request that was in flight during a crash waits
// before it is retried. Instances send new suspects to each other immediately.
const suspectDelay = 500 * time.Millisecond

// excludeForSuspect adds the servers assigned to other suspects to exclude,
// unless r.exclude already holds all servers assigned to this request.
func (r *driver) excludeForSuspect(view []route.Backend, exclude []string) []string {
	ids := make([]string, 0, len(view))
	for i := range view {
		ids = append(ids, view[i].ID)
	}
	slices.Sort(ids)
	assigned := r.server.config.Poison.Part(r.generation.fingerprint, ids)
	if !slices.ContainsFunc(assigned, func(id string) bool { return !slices.Contains(r.exclude, id) }) {
		return exclude
	}
	for _, id := range ids {
		if !slices.Contains(assigned, id) {
			exclude = append(exclude, id)
		}
	}
	r.suspectConflict = len(assigned) < len(ids)
	return exclude
}

// pickIndex returns the index in view of the server for the next attempt: the
// server that the KV cache was copied to if it can be used, else the server that
// the routing policy picks.
func (r *driver) pickIndex(view []route.Backend, exclude []string) (int, bool) {
	if r.importAttempt != "" {
		i := slices.IndexFunc(view, func(b route.Backend) bool { return b.ID == r.importServer })
		if i >= 0 && !slices.Contains(exclude, r.importServer) {
			return i, true
		}
		r.importAttempt = ""
	}
	prefix, tokens := prefixOf(r.generation.prompt)
	return r.server.config.Router.Pick(view, route.Request{
		Entry: r.generation.entry, Version: r.version, FailureDomain: r.server.config.FailureDomain, Prefix: prefix, PrefixTokens: tokens,
		Interactive: r.generation.interactive, Exclude: exclude,
	}, r.server.config.Now(), r.server.config.Random())
}

// beginAttempt resets the state of the current attempt for server b.
func (r *driver) beginAttempt(b route.Backend) {
	r.backend = b
	r.attemptID = r.server.config.Node + "-" + strconv.FormatUint(r.server.attempts.Add(1), 36) + "-" + strconv.FormatUint(r.server.config.Random()&0xffffffff, 36)
	r.leaving = r.server.config.Fleet.Began(b.ID)
	r.moveAt = time.Time{}
	r.attemptStart = r.server.config.Now()
	r.lastTokenAt = r.attemptStart
	r.firstToken, r.betweenTokens, r.tokens, r.uncharged = 0, 0, 0, false
	r.record.Attempts++
}
