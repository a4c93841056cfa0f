package follow

import (
	"context"
	"time"

	"wasabiworks.example/wasabiworks/internal/platform/store"
)

// canServe reports whether the copy may be passed on: it has been confirmed since the failure
// whose time LastFailure returns, and Failing is false. Otherwise the instance follows a peer,
// which may be the caller.
func (f *Follower) canServe() bool {
	confirmed := f.Confirmed()
	return !f.Failing() && !confirmed.IsZero() && !f.LastFailure().After(confirmed)
}

// Serve returns the changes after a revision for a peer. If there are none, it
// waits up to maxWait for the next confirmation of the copy, which also brings new
// changes. It returns ErrRelayGap if the copy may not be passed on, and ErrRelayBehind if
// it may but the log does not reach back to the revision.
func (f *Follower) Serve(ctx context.Context, after int64, maxWait time.Duration) (RelayReply, error) {
	start := f.config.Now()
	if !f.canServe() {
		return RelayReply{}, ErrRelayGap
	}
	c, ok := f.changes.waitAfter(ctx, after, maxWait)
	now := f.config.Now()
	switch {
	case !f.canServe() || store.Era(after) > f.Era():
		return RelayReply{}, ErrRelayGap
	case !ok:
		return RelayReply{}, ErrRelayBehind
	}
	return RelayReply{Items: c.items, Next: c.next, More: c.more, Age: now.Sub(f.Confirmed()), Waited: now.Sub(start)}, nil
}

// ServeList returns a page of the items after a key for a peer. It returns ErrRelayGap if
// the copy may not be passed on.
func (f *Follower) ServeList(after string) (RelayPage, error) {
	next := f.changes.end()
	items, more := f.copy.page(after)
	if !f.canServe() {
		return RelayPage{}, ErrRelayGap
	}
	return RelayPage{Items: items, More: more, Next: next, Age: f.config.Now().Sub(f.Confirmed())}, nil
}
