package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabiworks.example/wasabiworks/internal/bench/platform"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
)

// fakeEntryInstance is a fake entry instance that serves only /status.
type fakeEntryInstance struct{ revision atomic.Int64 }

func (e *fakeEntryInstance) start(t *testing.T, id, platformAddress string) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(Status{Instance: id, CatalogueRevision: e.revision.Load()})
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	err := instances.New(instances.Config{Address: platformAddress}).Register(t.Context(), instances.Instance{
		ID: id, Role: instances.RoleEntry, Region: "morava", FailureDomain: "brno-a", State: instances.StateLive,
		Address: address, PeerAddress: address, OperationsAddress: address,
	})
	if err != nil {
		t.Fatal(err)
	}
	return server
}

func startPlatform(t *testing.T) string {
	fake := platform.New(platform.Config{})
	server := httptest.NewServer(fake)
	t.Cleanup(server.Close)
	t.Cleanup(fake.Close)
	return server.URL
}

// Guards against a wait that returns before every instance has the revision,
// and against a wait that omits the instances it could not reach.
func TestWaitReturnsWhenAllInstancesHaveRevision(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	var a, b, c fakeEntryInstance
	a.start(t, "a", address)
	b.start(t, "b", address)
	pauses := 0
	f := NewFleet(FleetConfig{Platform: address, Pause: func(context.Context, time.Duration) error {
		pauses++
		a.revision.Store(7)
		if pauses == 3 {
			b.revision.Store(9)
		}
		return nil
	}})
	reached, behind, err := f.Wait(t.Context(), 7)
	is.NoErr(err)
	is.Equal(reached, 2)
	is.Equal(len(behind), 0)
	is.Equal(pauses, 3)

	c.start(t, "c", address).Close()
	expired := NewFleet(FleetConfig{Platform: address, Pause: func(context.Context, time.Duration) error { return context.DeadlineExceeded }})
	reached, behind, err = expired.Wait(t.Context(), 8)
	is.NoErr(err)
	is.Equal(reached, 1)
	is.Equal(len(behind), 2)
	is.Equal(behind[0].Instance.ID, "a")
	is.NoErr(behind[0].Err)
	is.Equal(behind[1].Instance.ID, "c")
	is.True(behind[1].Err != nil)
}

// Guards against accepting the status of another instance that now uses the
// address in the instance list.
func TestStatusFromAnotherInstanceIsRejected(t *testing.T) {
	is := is.New(t)
	address := startPlatform(t)
	var a fakeEntryInstance
	a.start(t, "a", address)
	f := NewFleet(FleetConfig{Platform: address})
	entries, err := f.EntryInstances(t.Context())
	is.NoErr(err)
	entries[0].ID = "b"
	is.True(f.Statuses(t.Context(), entries)[0].Err != nil)
}

// Guards against describing a rolled-back or unfinished move as done.
func TestMoveSentences(t *testing.T) {
	m := catalogue.Move{ID: "m", Entry: "sack-assist", From: "v1", To: "v2", Start: start, Deadline: start.Add(time.Hour), KeepUntil: start.Add(3 * time.Hour)}
	report := func(phase string, share float64, reason string) StatusResult {
		return StatusResult{Status: Status{Moves: []Move{{ID: "m", Phase: phase, Share: share, Reason: reason}}}}
	}
	tests := []struct {
		name    string
		answers []StatusResult
		after   time.Duration
		want    string
	}{
		{"not reported", nil, 0, "sack-assist from v1 to v2 is recorded; no instance reports on it"},
		{"running", []StatusResult{report(PhaseRunning, 0.02, ""), report(PhaseRunning, 0.1, "")}, 0, "sack-assist from v1 to v2 is moving; 2% to 10% of the requests go to v2, all will by 2026-12-04T09:00:00Z"},
		{"done on some instances", []StatusResult{report(PhaseDone, 1, ""), report(PhaseRunning, 0.5, "")}, 0, "sack-assist from v1 to v2 is moving; 50% to 100% of the requests go to v2, all will by 2026-12-04T09:00:00Z"},
		{"done", []StatusResult{report(PhaseDone, 1, "")}, time.Hour, "sack-assist from v1 to v2 is done; v1 is kept until 2026-12-04T11:00:00Z"},
		{"done and old version no longer kept", []StatusResult{report(PhaseDone, 1, "")}, 3 * time.Hour, "sack-assist from v1 to v2 is done"},
		{"late", []StatusResult{report(PhaseRunning, 0.5, "isolated")}, time.Hour, "sack-assist from v1 to v2 is late; 50% of the requests go to v2, all should have by 2026-12-04T09:00:00Z: isolated"},
		{"rolled back on one instance", []StatusResult{report(PhaseDone, 1, ""), report(PhaseRolledBack, 0, "slow under load"), report(PhaseRunning, 0.5, "")}, time.Hour, "sack-assist from v1 to v2 was rolled back; all requests go to v1: slow under load"},
	}
	for _, tt := range tests {
		s := MoveStates(&catalogue.Catalogue{Moves: []catalogue.Move{m}}, tt.answers)
		if got := s[0].Sentence(start.Add(tt.after)); got != tt.want {
			t.Errorf("%s: got %q, want %q", tt.name, got, tt.want)
		}
	}
}
