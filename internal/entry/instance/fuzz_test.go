package instance

import (
	"context"
	"math"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"wasabiworks.example/wasabiworks/internal/backend/fleet"
	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/decide/poison"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
	"wasabiworks.example/wasabiworks/internal/peer/crash"
	"wasabiworks.example/wasabiworks/internal/peer/demand"
	"wasabiworks.example/wasabiworks/internal/peer/exchange"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// newTestInstance returns an instance that is not running.
func newTestInstance(t testing.TB) *Instance {
	t.Helper()
	var listeners [3]net.Listener
	for n := range listeners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		listeners[n] = l
	}
	i, err := New(Config{ID: "entry-0", FailureDomain: "d", Platform: "127.0.0.1:1",
		Client: listeners[0], Peer: listeners[1], Operations: listeners[2], Log: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	return i
}

// Guards against a digest from a peer that causes a panic when it is merged or
// when its content is used later, or that makes the instance reject all requests
// to an entry.
func FuzzDigest(f *testing.F) {
	later := time.Now().Add(time.Hour).UnixNano()
	for _, d := range []*peerpb.Digest{
		{
			Vetoes:   []*peerpb.Veto{{Move: "m", Reason: "bad", At: 1}},
			Leaving:  []*peerpb.Leaving{{Backend: "engine-0", Deadline: later, Reclaim: later}, {}},
			Crashes:  []*peerpb.Crash{{Backend: "engine-0/1", Fingerprints: []uint64{1, 2}, Deadline: later}, {}},
			Counters: []*peerpb.Counter{{Node: "b/1", Move: "m", Version: "v", Route: "chat", Answered: 1}},
		},
		{Loads: []*peerpb.Load{{Backend: "engine-0", Incarnation: "1", Capacity: 1 << 31, Running: 1<<32 - 1, At: later}, {Backend: "engine-0", Incarnation: "2", Leaving: true}}},
		{Demands: []*peerpb.Demand{{Node: "b", Entry: "e", Workspace: "w", RequestsPerSecond: -1, Concurrent: 1<<32 - 1, At: later}, {Node: "domain:x", Entry: "e", At: later}}},
		{Demands: []*peerpb.Demand{{Node: "b", Entry: "e", Workspace: "w", RequestsPerSecond: float32(math.NaN()), At: later}, {Node: "c", Entry: "e", Workspace: "w", RequestsPerSecond: float32(math.Inf(-1)), At: later}}},
		{},
	} {
		data, err := proto.Marshal(d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	i := newTestInstance(f)
	s := catalogue.NewSnapshot(1, &catalogue.Catalogue{Workspaces: []catalogue.Workspace{{Name: "w"}},
		Entries: []catalogue.Entry{{Name: "e", Kind: catalogue.KindLanguage, Limits: []catalogue.Limit{{Workspace: "w", RequestsPerSecond: 1e6, Concurrent: 1e6}}}}})
	i.moveController.accept(s)
	f.Fuzz(func(t *testing.T, data []byte) {
		var d peerpb.Digest
		if proto.Unmarshal(data, &d) != nil {
			return
		}
		servers := fleet.New(fleet.Config{})
		servers.SetInstances([]fleet.ListedServer{{ID: "engine-0", Address: "127.0.0.1:1", Entry: "e", Polled: true}})
		demands := demand.New(demand.Config{Node: i.config.ID, Domain: i.config.FailureDomain, DomainOf: i.domainOf, Live: func(string) int { return 1 }, Now: i.now})
		l := &limiter{instanceID: i.config.ID, domain: i.config.FailureDomain, fleet: servers, demands: demands, snapshot: i.moveController.Snapshot,
			liveInstances: func() int { return 2 }}
		counters := exchange.Evidence{Table: new(evidence.Table), Domain: i.config.FailureDomain}
		records := crash.Records{Set: new(poison.Set), Now: time.Now}
		reports := newLoadReports(nil, servers.Report, i.now)
		from := membership.Member{ID: "b", FailureDomain: "d"}
		for _, sink := range []exchange.Sink{newVetoes(func(veto) {}), newLeavingMarks(func(leavingMark) {}, i.now), reports, records, counters, demands} {
			sink.Merge(from, &d)
		}
		if rs, _ := records.Set.Since(0, 0); len(rs) > 2*crash.MaxDigestRecords {
			t.Errorf("%d crash records of one digest are kept, want at most 2*%d", len(rs), crash.MaxDigestRecords)
		}
		l.updateShares(s, i.now())
		release, err := l.Admit("w", &s.Catalogue.Entries[0], i.now())
		if err != nil {
			t.Fatalf("idle instance rejects a request after digest %v: %v", &d, err)
		}
		release()
		l.updateShares(s, i.now())
	})
}

// Guards against crash records that are never removed while the process runs.
func TestCrashRecordsExpire(t *testing.T) {
	i := newTestInstance(t)
	i.poison.Crash("engine-0", "1", []uint64{1}, time.Now())
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- i.runPeriodicUpdates(ctx) }()
	deadline := time.Now().Add(time.Minute)
	for rs, _ := i.poison.Since(0, 0); len(rs) > 0; rs, _ = i.poison.Since(0, 0) {
		if time.Now().After(deadline) {
			t.Fatalf("%d expired records are kept", len(rs))
		}
		time.Sleep(10 * time.Millisecond)
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Guards against crash records that are lost because more of them changed than
// fit in one digest, and against a peer's deadline that keeps a record forever.
func TestCrashRecordsArriveInSeveralDigests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	from, to := new(poison.Set), new(poison.Set)
	const requests = 2000
	for fp := range uint64(requests) {
		from.Crash("engine", "1", []uint64{fp + 1}, now.Add(100*365*24*time.Hour))
	}
	source, sink := crash.Records{Set: from, Now: func() time.Time { return now }}, crash.Records{Set: to, Now: func() time.Time { return now }}
	version, digests := uint64(0), 0
	for range requests {
		d := new(peerpb.Digest)
		next := source.Digest(membership.Member{}, version, d)
		if next == version {
			break
		}
		sink.Merge(membership.Member{}, d)
		version = next
		digests++
	}
	t.Logf("%d digests", digests)
	for fp := range uint64(requests) {
		is.Equal(to.Verdict(fp+1, now), poison.Suspect)
		is.Equal(to.Verdict(fp+1, now.Add(crash.RecordTTL)), poison.Clear)
	}
}
