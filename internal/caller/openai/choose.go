package openai

import (
	"context"
	"slices"
	"strconv"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/route"
)

// choose picks a server and begins the attempt there, waiting for one within
// the server's patience.
func (r *run) choose(ctx context.Context, again bool) error {
	begun := r.s.c.Now()
	if r.suspect && again {
		// The other instances' suspects of the crash must be known before a
		// server is chosen.
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(suspectPause):
		}
	}
	for {
		r.pickVersion()
		if r.pick(again) {
			return nil
		}
		patience := r.s.c.Patience
		if r.crowded {
			patience = r.s.c.SuspectPatience
		}
		if r.s.c.Now().Sub(begun) > patience {
			return errGone
		}
		r.busy = r.busy[:0] // they have had time to finish something
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(25 * time.Millisecond):
		}
	}
}

// pickVersion chooses the version anew for each attempt, so that one that is
// rolled back gets no more attempts. Tokens of two versions are mixed only if
// the first one has failed or is served no more: a share that grows does not
// move a response that has begun.
func (r *run) pickVersion() {
	e, ok := r.s.c.Snapshots.Snapshot().Entry(r.g.entry)
	if !ok {
		return
	}
	have := r.g.lastVersion()
	version, move, step := r.s.c.Versions.Version(e, r.g.conversation)
	if have != "" && version != have && len(r.g.reached()) > 0 && !r.versionFailed && r.served(have) {
		r.version = have
		return
	}
	r.version, r.move, r.step = version, move, step
	r.g.setVersion(version)
}

func (r *run) served(version string) bool {
	return slices.ContainsFunc(r.s.c.Fleet.View(r.g.entry), func(b route.Backend) bool { return b.Serves(version) })
}

func (r *run) pick(again bool) bool {
	s := r.s
	view := s.c.Fleet.View(r.g.entry)
	exclude := slices.Concat(r.exclude, r.busy)
	r.crowded = false
	if r.suspect {
		exclude = r.apart(view, exclude)
	}
	for range len(view) {
		i, ok := r.index(view, exclude)
		if !ok {
			return false
		}
		b := view[i]
		if !s.flying.begin(b.ID, r, r.g.fingerprint, r.suspect) {
			r.crowded = true
			exclude = append(exclude, b.ID)
			continue
		}
		if again && !r.free && !s.c.Budget.Withdraw(b.ID) {
			s.flying.end(b.ID, r, r.suspect)
			exclude = append(exclude, b.ID)
			continue
		}
		if !again {
			s.c.Budget.Deposit(b.ID)
		}
		r.begin(b)
		return true
	}
	return false
}

// suspectPause is how long a request that was in flight at a crash waits before
// it runs again. Peers tell each other of suspects at once.
const suspectPause = 500 * time.Millisecond

// apart adds the servers that are other suspects' to those that are excluded,
// as long as one of its own is left.
func (r *run) apart(view []route.Backend, exclude []string) []string {
	ids := make([]string, 0, len(view))
	for i := range view {
		ids = append(ids, view[i].ID)
	}
	slices.Sort(ids)
	part := r.s.c.Poison.Part(r.g.fingerprint, ids)
	if !slices.ContainsFunc(part, func(id string) bool { return !slices.Contains(r.exclude, id) }) {
		return exclude
	}
	for _, id := range ids {
		if !slices.Contains(part, id) {
			exclude = append(exclude, id)
		}
	}
	r.crowded = len(part) < len(ids)
	return exclude
}

func (r *run) index(view []route.Backend, exclude []string) (int, bool) {
	if r.imported != "" {
		i := slices.IndexFunc(view, func(b route.Backend) bool { return b.ID == r.target })
		if i >= 0 && !slices.Contains(exclude, r.target) {
			return i, true
		}
		r.imported = ""
	}
	prefix, tokens := prefixOf(r.g.prompt)
	return r.s.c.Router.Pick(view, route.Request{
		Entry: r.g.entry, Version: r.version, FailureDomain: r.s.c.FailureDomain, Prefix: prefix, PrefixTokens: tokens,
		Interactive: r.g.interactive, Exclude: exclude,
	}, r.s.c.Now(), r.s.c.Random())
}

func (r *run) begin(b route.Backend) {
	r.backend = b
	r.id = r.s.c.Node + "-" + strconv.FormatUint(r.s.attempts.Add(1), 36) + "-" + strconv.FormatUint(r.s.c.Random()&0xffffffff, 36)
	r.leaving = r.s.c.Fleet.Began(b.ID)
	r.moveAt = time.Time{}
	r.began = r.s.c.Now()
	r.last = r.began
	r.first, r.waited, r.tokens, r.free = 0, 0, 0, false
	r.record.Attempts++
}
