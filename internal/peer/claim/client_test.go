package claim

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"wasabiworks.example/wasabiworks/internal/decide/backlog"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// network connects clients by their instance IDs. Calls to those in down fail.
type network struct {
	now     time.Time
	clients map[string]*Client
	down    map[string]bool
	calls   int
	tracker string
}

var errDown = errors.New("instance is down")

func newNetwork(t *testing.T, instances ...string) *network {
	n := &network{now: time.Unix(1000, 0), clients: make(map[string]*Client), down: make(map[string]bool), tracker: instances[0]}
	for _, id := range instances {
		c, err := New(Config{
			Instance: id, Enabled: func() bool { return true }, Tracker: func(Server) string { return n.tracker }, Now: func() time.Time { return n.now },
			Claim: func(ctx context.Context, to string, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
				n.calls++
				if n.down[to] {
					return nil, errDown
				}
				return n.clients[to].ServeClaim(ctx, r)
			},
			Progress: func(ctx context.Context, to string, r *peerpb.ProgressRequest) (*peerpb.ProgressReply, error) {
				return n.clients[to].ServeProgress(ctx, r)
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		n.clients[id] = c
	}
	return n
}

var someServer = Server{Process: "s/1", FailureDomain: "z"}

func (n *network) add(t *testing.T, instance string, limit backlog.Backlog) (backlog.Reading, *Claim, error) {
	return n.clients[instance].Add(t.Context(), someServer, Request{Tokens: 1000, Prefix: 7, Deadline: n.now.Add(time.Second)}, limit)
}

// flush sends the reports of an instance.
func (n *network) flush(t *testing.T, instance string) {
	for to, reports := range n.clients[instance].takeReports() {
		n.clients[instance].send(t.Context(), to, reports)
	}
}

// Guards against instances that do not see each other's requests to a server.
func TestInstancesSeeEachOthersClaims(t *testing.T) {
	n := newNetwork(t, "tracker", "a", "b")
	_, first, err := n.add(t, "a", backlog.Unlimited)
	if err != nil || first == nil {
		t.Fatalf("first claim: got %v and error %v, want a claim", first, err)
	}
	for _, instance := range []string{"b", "tracker"} {
		r, c, err := n.add(t, instance, backlog.Backlog{})
		if want := (backlog.Backlog{Pending: 1000, Running: 1}); err != nil || c != nil || r.Backlog != want || !r.Cached {
			t.Errorf("claim of %s above the limit: got %+v, claim %v, error %v; want %+v with the prefix cached, and no claim", instance, r, c, err, want)
		}
	}
	first.Processed()
	n.flush(t, "a")
	if r, _, _ := n.add(t, "b", backlog.Backlog{Pending: -1}); r.Pending != 0 || r.Running != 1 {
		t.Errorf("after the prompt: got %+v, want one request without pending tokens", r)
	}
	first.End()
	n.clients["b"].ReportHolder(someServer, 7, "other/1")
	n.flush(t, "a")
	n.flush(t, "b")
	if r, _, _ := n.add(t, "a", backlog.Backlog{Pending: -1}); r.Running != 0 || r.Holder != "other/1" {
		t.Errorf("after the end: got %+v, want no request, and the holder that was reported", r)
	}
}

// Guards against requests that wait for a tracker that does not respond, one after the
// other, and against a claim that such a tracker keeps.
func TestTrackerThatDoesNotRespondIsAvoided(t *testing.T) {
	n := newNetwork(t, "tracker", "a")
	n.down["tracker"] = true
	for range 10 {
		if _, c, err := n.add(t, "a", backlog.Unlimited); err == nil || c != nil {
			t.Fatalf("tracker is down: got claim %v and error %v, want an error", c, err)
		}
	}
	if n.calls != 1 {
		t.Errorf("10 claims: got %d calls, want 1", n.calls)
	}
	n.down["tracker"] = false
	n.now = n.now.Add(avoidPeriod)
	if _, c, err := n.add(t, "a", backlog.Unlimited); err != nil || c == nil {
		t.Errorf("tracker is back: got claim %v and error %v, want a claim", c, err)
	}
}

// Guards against a call without an instance to call, in a small fleet.
func TestClaimWithoutTrackerIsRefused(t *testing.T) {
	n := newNetwork(t, "tracker", "a")
	n.tracker = ""
	if _, _, err := n.add(t, "a", backlog.Unlimited); !errorx.IsOfType(err, NoTracker) || n.calls != 0 {
		t.Errorf("no tracker: got error %v after %d calls, want %v after none", err, n.calls, NoTracker)
	}
	n.clients["a"].ReportHolder(someServer, 7, "other/1")
	var none *Claim
	none.Processed()
	none.End()
	if got := n.clients["a"].takeReports(); got != nil {
		t.Errorf("reports without a claim: got %v, want none", got)
	}
}

// Guards against odd numbers from a peer that end the process or never expire.
func TestOddClaimsOfPeersAreBounded(t *testing.T) {
	n := newNetwork(t, "tracker")
	c := n.clients["tracker"]
	for _, lifetime := range []int64{-1 << 63, -1, 0, 1<<63 - 1} {
		if _, err := c.ServeClaim(t.Context(), &peerpb.ClaimRequest{Server: "s", Request: uint64(lifetime), Tokens: lifetime, MaxPending: 1<<63 - 1, MaxRunning: 1<<63 - 1, Lifetime: lifetime}); err != nil {
			t.Errorf("lifetime %d: %v", lifetime, err)
		}
	}
	n.now = n.now.Add(2 * time.Minute)
	c.ledger.Expire(n.now)
	if got := c.ledger.Len(); got != 0 {
		t.Errorf("two minutes later: got %d claims, want 0", got)
	}
}
