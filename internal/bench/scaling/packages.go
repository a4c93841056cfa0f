package scaling

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"runtime"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"google.golang.org/protobuf/proto"

	"wasabiworks.example/wasabiworks/internal/backend/fleet"
	"wasabiworks.example/wasabiworks/internal/decide/evidence"
	"wasabiworks.example/wasabiworks/internal/decide/journal"
	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/decide/route"
	"wasabiworks.example/wasabiworks/internal/operator/burn"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
	peerjournal "wasabiworks.example/wasabiworks/internal/peer/journal"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
)

// responseSize is the size in bytes of the response body of a plain service.
const responseSize = 100

// PackageCosts holds the costs of single packages, measured by calling them in this
// process instead of in the measured process.
type PackageCosts struct {
	// Memory holds, by kind of element, the fitted line of the heap size in
	// bytes as a function of the number of elements.
	Memory map[string]Line `json:"memory"`
	// CPU holds the seconds per call at the target scale. Each is the minimum
	// of several batches, because other work on the machine can only raise it.
	CPU map[string]float64 `json:"cpu"`
	// Sizes holds encoded sizes in bytes and numbers of elements.
	Sizes map[string]float64 `json:"sizes"`
}

// measurePackages measures heap sizes, CPU times and encoded sizes, the latter two
// at the target scale.
func measurePackages() (*PackageCosts, error) {
	pc := &PackageCosts{Memory: make(map[string]Line), CPU: make(map[string]float64), Sizes: make(map[string]float64)}
	for name, m := range map[string]struct {
		largest int
		build   func(n int) any
	}{
		"member":        {Target.Peers, func(n int) any { return newMembership(n) }},
		"evidence row":  {nodes * countersPerNode, func(n int) any { return newEvidence(n) }},
		"worker":        {Target.Workers, func(n int) any { return newFleet(n) }},
		"burn series":   {800, func(n int) any { return newMetrics(n) }},
		"journal entry": {4000, func(n int) any { return newShard(n) }},
	} {
		pc.Memory[name] = heapPerElement(m.largest, m.build)
	}
	pc.measureFleetComputations()
	pc.measureScrape()
	return pc, errors.Join(pc.measureInstanceList(), pc.measureJournalShard(), pc.measureCatalogue())
}

// heapPerElement fits the heap size of a structure as a function of its number of
// elements.
func heapPerElement(largest int, build func(n int) any) Line {
	var ps []Point
	for _, n := range []int{largest / 4, largest / 2, largest} {
		before := heapBytes()
		kept := build(n)
		ps = append(ps, Point{float64(n), heapBytes() - before})
		runtime.KeepAlive(kept)
	}
	return Fit(ps)
}

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // the first collection only queues finalizers and cleanups
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// secondsPerCall returns the duration of a call of f in seconds: the minimum of the
// means of five batches.
func secondsPerCall(f func()) float64 {
	f()
	best := time.Duration(1 << 62)
	for range 5 {
		n, start := 0, time.Now()
		for time.Since(start) < 40*time.Millisecond {
			f()
			n++
		}
		best = min(best, time.Since(start)/time.Duration(n))
	}
	return best.Seconds()
}

func newMembership(n int) *membership.Table {
	t := membership.NewTable(membership.Config{Self: membership.Member{ID: "entry-self", Incarnation: 1, FailureDomain: domainName(0)}})
	var ms []membership.Member
	for i := range n {
		ms = append(ms, membership.Member{
			ID: peerID(i), Incarnation: 1764837000000000000, FailureDomain: domainName(peerDomain(i)),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:9001", i/250, i%250), OperationsAddress: fmt.Sprintf("10.0.%d.%d:9002", i/250, i%250),
		})
	}
	t.Merge(ms, time.Now())
	return t
}

func newEvidence(rows int) *evidence.Table {
	t := new(evidence.Table)
	var rs []evidence.Record
	for i := range rows {
		version := oldVersion
		if i%2 == 1 {
			version = newVersion
		}
		rs = append(rs, evidence.Record{
			Node:  fmt.Sprintf("%s/1764837000000000000", peerID(i/countersPerNode)),
			Key:   evidence.Key{Move: moveID, Version: version, Route: "chat", Load: uint8(i % countersPerNode / 2)},
			Count: evidence.Count{Answered: 1000},
		})
	}
	t.Merge(rs)
	return t
}

func fleetInstances(n int) (list []fleet.ListedServer) {
	for i := range n {
		w := newWorker(i, fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250))
		list = append(list, fleet.ListedServer{ID: w.ID, Address: w.Address, Entry: w.Entry, FailureDomain: w.FailureDomain, Class: w.Class, Polled: true, Price: w.Price})
	}
	return list
}

func newFleet(n int) *fleet.Fleet {
	f := fleet.New(fleet.Config{})
	f.SetInstances(fleetInstances(n))
	for i := range n {
		f.Report(fleet.Report{Backend: workerID(i), Incarnation: fmt.Sprint(i), Running: 6, Queued: 1, Capacity: 16, Versions: []string{oldVersion, newVersion}, At: time.Now()})
	}
	return f
}

// newMetrics returns metrics of n series with a full history in a new registry.
func newMetrics(n int) *burn.Metrics { return metricsWithHistory(n, prometheus.NewRegistry()) }

// metricsWithHistory registers metrics of n series with r and fills their history
// with 25 hours of samples, one a minute. This exceeds the longest window of
// package burn, 24 hours.
func metricsWithHistory(n int, r *prometheus.Registry) *burn.Metrics {
	now := time.Now()
	m, err := burn.New(burn.Config{Registry: r, Now: func() time.Time { return now }})
	if err != nil {
		panic(err) // cannot happen: a new registry has no conflicting collectors
	}
	for i := range n {
		m.AddResult(entryName(i%30), workspaceName(i/30), burn.Good)
	}
	for range 25 * 60 {
		now = now.Add(time.Minute)
		m.Sample()
	}
	return m
}

func journalKey(i int) (k journal.Key) {
	binary.LittleEndian.PutUint64(k[:], xxhash.Sum64String(fmt.Sprint(i)))
	return k
}

// newShard returns a journal shard with n completed calls.
func newShard(n int) *journal.Shard {
	s := new(journal.Shard)
	for i := range n {
		completeCall(s, i)
	}
	return s
}

// completeCall records a completed call and reports whether the shard had room.
func completeCall(s *journal.Shard, i int) bool {
	k, attempt := journalKey(i), fmt.Sprintf("%s/1764837000000000000/%d", peerID(i%360), i)
	if status, _ := s.Reserve(k, attempt, uint64(i), time.Now()); status != journal.Reserved {
		return false
	}
	return s.Complete(k, attempt, &journal.Response{Status: 200, ContentType: "application/json", Body: make([]byte, responseSize)})
}

// measureFleetComputations measures the computations over the whole fleet: links,
// live members, evidence totals, the rebuild of the fleet view and the choice of a
// server. An instance repeats most of them periodically.
func (pc *PackageCosts) measureFleetComputations() {
	now := time.Now()
	t := newMembership(Target.Peers)
	pc.CPU["links"] = secondsPerCall(func() { t.ExchangePeers(now); t.Probes(now, 0); t.Expire(now) })
	pc.CPU["live and owner"] = secondsPerCall(func() { membership.Owner(1, t.Live(domainName(0), now)) })
	pc.CPU["live"] = secondsPerCall(func() { t.Live("", now) })
	rows := newEvidence(nodes * countersPerNode)
	pc.Sizes["counter"] = float64(proto.Size(&peerpb.Digest{Counters: evidenceCounters(peerID(0), 1000)})) / countersPerNode
	pc.CPU["evidence totals"] = secondsPerCall(func() { rows.Totals(moveID) })
	f, list := newFleet(Target.Workers), fleetInstances(Target.Workers)
	pc.CPU["fleet rebuild"] = secondsPerCall(func() { f.SetInstances(list) })
	view := f.View(entryName(0))
	pc.Sizes["servers per entry"] = float64(len(view))
	pc.CPU["pick"] = secondsPerCall(func() {
		route.Affinity{}.Pick(view, route.Request{Entry: entryName(0), FailureDomain: domainName(0), Prefix: 7, Interactive: true}, now, 1)
	})
}

// measureScrape measures the duration and the size of a scrape of 120 series.
func (pc *PackageCosts) measureScrape() {
	r := prometheus.NewRegistry()
	metricsWithHistory(120, r)
	h := promhttp.HandlerFor(r, promhttp.HandlerOpts{})
	pc.CPU["scrape"] = secondsPerCall(func() {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		n, _ := io.Copy(io.Discard, w.Body)
		pc.Sizes["scrape"] = float64(n)
	})
}

// measureInstanceList measures the size and the decoding of the instance list.
func (pc *PackageCosts) measureInstanceList() error {
	var body struct {
		Instances []instances.Instance `json:"instances"`
	}
	for i := range Target.Peers {
		p := lightPeer{id: peerID(i), address: "10.0.100.100:9001", domain: peerDomain(i)}
		body.Instances = append(body.Instances, p.instance())
	}
	for i := range Target.Workers {
		body.Instances = append(body.Instances, newWorker(i, "10.1.100.100:8000"))
	}
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	pc.Sizes["instance list"] = float64(len(data))
	pc.CPU["list decode"] = secondsPerCall(func() {
		body.Instances = nil
		err = errors.Join(err, json.Unmarshal(data, &body))
	})
	return err
}

// measureJournalShard measures the capacity of a journal shard and the encoding of
// a full one.
func (pc *PackageCosts) measureJournalShard() error {
	s := new(journal.Shard)
	for n := 0; ; n++ {
		// 256 B is an upper estimate of an entry's size without its response body.
		if s.Size()+responseSize+256 > journal.MaxEntriesBytes && pc.Sizes["journal entries with response"] == 0 {
			pc.Sizes["journal entries with response"] = float64(n)
		}
		if !completeCall(s, n) {
			pc.Sizes["journal entries"] = float64(n)
			break
		}
	}
	data, err := peerjournal.Encode(s)
	if err != nil {
		return err
	}
	pc.Sizes["journal shard"] = float64(len(data))
	pc.CPU["journal encode"] = secondsPerCall(func() {
		_, e := peerjournal.Encode(s.Clone())
		err = errors.Join(err, e)
	})
	return err
}

// measureCatalogue measures the sizes and the decoding of the catalogue.
func (pc *PackageCosts) measureCatalogue() error {
	data, err := encodeCatalogue(0, true)
	if err != nil {
		return err
	}
	pc.Sizes["catalogue"] = float64(len(data))
	before := heapBytes()
	c, err := catalogue.Decode(data)
	if err != nil {
		return err
	}
	s := catalogue.NewSnapshot(1, c)
	pc.Sizes["catalogue heap"] = heapBytes() - before
	runtime.KeepAlive(s)
	c.History = nil
	short, err := catalogue.Encode(c)
	pc.Sizes["catalogue without history"] = float64(len(short))
	pc.CPU["catalogue decode"] = secondsPerCall(func() {
		c, e := catalogue.Decode(data)
		if e == nil {
			catalogue.NewSnapshot(1, c)
		}
		err = errors.Join(err, e)
	})
	return err
}
