package forward

import (
	"context"
	"math"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/decide/backlog"
	"wasabiworks.example/wasabiworks/internal/peer/claim"
)

const (
	// maxBrittleChoices bounds the brittle servers that are tried for one attempt.
	maxBrittleChoices = 6
	// brittlePause is how long a brittle server is avoided after it rejected a request.
	brittlePause = time.Second
)

// placeAtBrittle returns a server for the next attempt among servers that fall over when they
// reject too many requests, beginning with the i-th choice, t. A place there is claimed first,
// and no more places than the server has slots are given out over all instances. It returns
// false if no server has one.
func (e *exchange) placeAtBrittle(ctx context.Context, c *choices, i int, t target) (target, bool) {
	for range maxBrittleChoices {
		claimed, ok := e.claimPlace(ctx, t)
		if ok {
			t.claim = claimed
			return t, true
		}
		c.candidates[i].Excluded = true
		if i, t = e.choose(c); i < 0 {
			break
		}
	}
	return target{}, false
}

// claimPlace claims a place at the server of t, and reports whether the request may be sent
// there. The claim is nil if the server's tracker does not reply: a few such requests may be
// sent all the same.
func (e *exchange) claimPlace(ctx context.Context, t target) (*claim.Claim, bool) {
	s, now := t.server, e.config.Now()
	if !s.MayHavePlace(now) {
		return nil, false
	}
	if e.config.Claims == nil {
		return nil, s.AcquireUnclaimed(now)
	}
	_, prefix := e.prompt.Shared()
	earlier := backlog.Backlog{Pending: math.MaxInt64, Running: int64(max(1, s.Slots) - 1)}
	_, claimed, err := e.config.Claims.Add(ctx, claimedServer(s), claim.Request{Tokens: t.uncachedTokens, Prefix: prefix, Deadline: e.deadline}, earlier)
	if err != nil {
		return nil, s.AcquireUnclaimed(now)
	}
	if claimed == nil {
		s.NoPlace(now)
	}
	return claimed, claimed != nil
}

// rejectionPause returns how long a server is avoided after it rejected a request.
func rejectionPause(s *pool.Worker) time.Duration {
	if s.Brittle() {
		return brittlePause
	}
	return fullServerPause
}
