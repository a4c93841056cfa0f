package forward

import (
	"context"
	"fmt"
	"testing"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/decide/backlog"
	"wasabiworks.example/wasabiworks/internal/decide/route"
	"wasabiworks.example/wasabiworks/internal/peer/claim"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// newClaiming returns an exchange for a prompt, whose instance tracks all servers itself
// if tracked is true. Otherwise no tracker is known.
func newClaiming(t *testing.T, tracked bool) *exchange {
	e := newChoosing()
	e.prompt = route.Prompt{Tokens: 2000, Parts: []route.Part{{ID: 1, Chain: 1, Tokens: 1000}, {ID: 2, Chain: 2, Tokens: 1000}}}
	e.deadline = e.config.Now().Add(time.Second)
	tracker := ""
	if tracked {
		tracker = "self"
	}
	c, err := claim.New(claim.Config{Instance: "self", Enabled: func() bool { return true }, Tracker: func(claim.Server) string { return tracker }, Now: e.config.Now})
	if err != nil {
		t.Fatal(err)
	}
	e.config.Claims = c
	return e
}

// claimTokens adds a claim of another request.
func (e *exchange) claimTokens(t *testing.T, target target, tokens int64) *claim.Claim {
	t.Helper()
	_, c, err := e.config.Claims.Add(t.Context(), claimedServer(target.server), claim.Request{Tokens: tokens, Deadline: e.deadline}, backlog.Unlimited)
	if err != nil || c == nil {
		t.Fatalf("got claim %v and error %v, want a claim", c, err)
	}
	return c
}

// Guards against prompts that queue at the server of their prefix, because other instances
// have sent it work, while other servers are idle.
func TestRequestAvoidsTheWorkOfOtherInstances(t *testing.T) {
	e := newClaiming(t, true)
	home, _ := e.chooseServer()
	for _, tt := range []struct {
		tokens int64
		stays  bool
	}{{100, true}, {100_000, false}} {
		other := e.claimTokens(t, home, tt.tokens)
		got, ok := e.placeRequest(t.Context())
		if !ok || got.claim == nil || (got.server == home.server) != tt.stays {
			t.Errorf("%d tokens pending at %s: got %+v, want a claim there: %v", tt.tokens, home.server.ID, got, tt.stays)
		}
		got.claim.End()
		other.End()
	}
}

// Guards against claims that stay on servers that were asked and not chosen, or after the
// request has ended.
func TestClaimsAreReleased(t *testing.T) {
	e := newClaiming(t, true)
	home, _ := e.chooseServer()
	e.claimTokens(t, home, 100_000).End()
	for range 3 {
		got, _ := e.placeRequest(t.Context())
		got.claim.End()
	}
	for _, s := range e.config.Pool.Service(e.service) {
		r, _, err := e.config.Claims.Add(t.Context(), claimedServer(s), claim.Request{Deadline: e.deadline}, backlog.Backlog{Pending: -1})
		if err != nil || r.Backlog != (backlog.Backlog{}) {
			t.Errorf("%s: got %+v and error %v, want no work", s.ID, r.Backlog, err)
		}
	}
}

// Guards against a request without a server because no tracker responds.
func TestRequestIsPlacedWithoutTracker(t *testing.T) {
	e := newClaiming(t, false)
	home, _ := e.chooseServer()
	if got, ok := e.placeRequest(t.Context()); !ok || got.server != home.server || got.claim != nil {
		t.Errorf("no tracker: got %+v, want %s without a claim", got, home.server.ID)
	}
}

// Guards against a request that asks the trackers of all servers one after the other,
// because each one that it has not asked looks idle.
func TestRequestAsksFewTrackers(t *testing.T) {
	e := newClaiming(t, false)
	for n := range 60 {
		e.config.Pool.Put(pool.Registration{ID: fmt.Sprint("busy", n), Service: "service", FailureDomain: "z0", Slots: 8}, e.config.Now().Add(-time.Hour))
	}
	calls := 0
	c, err := claim.New(claim.Config{
		Instance: "self", Enabled: func() bool { return true }, Tracker: func(claim.Server) string { return "peer" }, Now: e.config.Now,
		Claim: func(_ context.Context, _ string, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
			calls++
			return &peerpb.ClaimReply{Pending: 30_000, Running: 2, Added: r.GetMaxPending() >= 30_000}, nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	e.config.Claims = c
	if got, ok := e.placeRequest(t.Context()); !ok || got.claim == nil || calls > maxClaims+1 {
		t.Errorf("all servers busy: got %+v after %d calls, want a claim after at most %d", got, calls, maxClaims+1)
	}
}
