package membership

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// The seed is fixed so that every run has the same result; the flags -rapid.seed
// and -rapid.checks extend the search.
func init() { _ = flag.Set("rapid.seed", "1") }

var epoch = time.Unix(1_000_000, 0)

func drawMember(t *rapid.T) Member {
	seconds := rapid.Int64Range(0, 3)
	return Member{
		ID:            "m",
		Incarnation:   rapid.Int64Range(0, 2).Draw(t, "incarnation"),
		FailureDomain: "zlin",
		PeerAddress:   rapid.SampledFrom([]string{"", "127.0.0.1:1", "127.0.0.1:2"}).Draw(t, "address"),
		Leaving:       rapid.Bool().Draw(t, "leaving"),
		Beat:          rapid.Uint64Range(0, 3).Draw(t, "beat"),
		Suspected:     rapid.Bool().Draw(t, "suspected"),
		SuspectAt:     time.Unix(seconds.Draw(t, "suspect"), 0),
		ForgetAt:      time.Unix(seconds.Draw(t, "forget"), 0),
	}
}

// Guards against tables that differ because descriptions arrived in a different
// order or more than once.
func TestJoinIsCommutativeAssociativeIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawMember(t), drawMember(t), drawMember(t)
		if got, want := Join(b, a), Join(a, b); got != want {
			t.Errorf("commutative: Join(%+v, %+v): got %+v, want %+v", b, a, got, want)
		}
		if got, want := Join(Join(a, b), c), Join(a, Join(b, c)); got != want {
			t.Errorf("associative on %+v, %+v, %+v: got %+v, want %+v", a, b, c, got, want)
		}
		if got := Join(a, a); got != a {
			t.Errorf("idempotent: got %+v, want %+v", got, a)
		}
		if got, want := Join(Join(a, b), b), Join(a, b); got != want {
			t.Errorf("repeated: got %+v, want %+v", got, want)
		}
	})
}

// Guards against a table whose content depends on the order or the number of
// deliveries of the lists merged into it.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ms []Member
		for range rapid.IntRange(1, 8).Draw(t, "records") {
			m := drawMember(t)
			m.ID = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			m.FailureDomain = "domain-" + m.ID
			ms = append(ms, m)
		}
		self := Member{ID: "self", Incarnation: 1, FailureDomain: "domain-a"}
		one, other := NewTable(Config{Self: self}), NewTable(Config{Self: self})
		one.Merge(ms, epoch)
		for _, m := range rapid.Permutation(ms).Draw(t, "order") {
			other.Merge([]Member{m, m}, epoch)
		}
		if diff := cmp.Diff(one.Members(), other.Members()); diff != "" {
			t.Errorf("merging %+v in another order (-want +got):\n%s", ms, diff)
		}
	})
}

// newGrid returns domains x size members and the table of the first one, which
// knows the others from the instance list.
func newGrid(domains, size int) (*Table, []Member) {
	var ms []Member
	for d := range domains {
		for n := range size {
			ms = append(ms, Member{ID: fmt.Sprintf("e%d-%d", d, n), Incarnation: 1, FailureDomain: fmt.Sprint("d", d), PeerAddress: "127.0.0.1:1"})
		}
	}
	t := NewTable(Config{Self: ms[0]})
	t.MergeInstanceList(ms, epoch)
	return t, ms
}

// Guards against exchanges with too few or too many members of a failure domain,
// exchanges with suspects, and suspects that are never probed.
func TestLinksAndProbes(t *testing.T) {
	table, ms := newGrid(7, 10)
	count := func(now time.Time) map[string]int {
		n := make(map[string]int)
		for _, id := range table.ExchangePeers(now) {
			m, _ := table.Member(id)
			n[m.FailureDomain]++
		}
		return n
	}
	want := map[string]int{"d0": 9, "d1": 2, "d2": 2, "d3": 2, "d4": 2, "d5": 2, "d6": 2}
	if diff := cmp.Diff(want, count(epoch)); diff != "" {
		t.Errorf("peers without suspects (-want +got):\n%s", diff)
	}
	var failed string
	for _, id := range table.ExchangePeers(epoch) {
		if m, _ := table.Member(id); m.FailureDomain == "d1" {
			failed = id
			break
		}
	}
	table.Missed(failed, epoch)
	if peers := table.ExchangePeers(epoch); slices.Contains(peers, failed) || count(epoch)["d1"] != 2 {
		t.Errorf("after a failed exchange with %s: got peers %v, want two others of d1", failed, peers)
	}
	silent := epoch.Add(SuspectAfter)
	for _, m := range ms[1:3] {
		m.Beat = 9
		table.Heard(m, silent.Add(-time.Second))
	}
	if got := count(silent)["d0"]; got != 2 {
		t.Errorf("peers after 3 s of silence of 7 members: got %d, want 2", got)
	}
	probed := make(map[string]bool)
	for round := range uint64(7) {
		for _, id := range table.Probes(silent, round) {
			probed[id] = true
		}
	}
	for _, m := range ms[3:10] {
		if !probed[m.ID] {
			t.Errorf("suspect %s: not probed within 7 rounds", m.ID)
		}
	}
}

// Guards against a leaving or silent member that still owns keys or holds the
// watch, and against an outdated description that makes it live again.
func TestLiveExcludesLeavingAndSilentMembers(t *testing.T) {
	table, ms := newGrid(2, 3)
	old := ms[1]
	leaving := old
	leaving.Leaving = true
	now := epoch.Add(time.Second)
	for _, m := range ms[1:] {
		table.Heard(m, now)
	}
	table.Merge([]Member{leaving}, now)
	table.Merge([]Member{old}, now)
	if live := table.Live("d0", now); slices.Contains(live, old.ID) {
		t.Errorf("leaving %s: got live members %v, want it excluded", old.ID, live)
	}
	restarted := old
	restarted.Incarnation++
	table.Heard(restarted, now)
	table.Merge([]Member{leaving}, now)
	if live := table.Live("d0", now); !slices.Contains(live, old.ID) {
		t.Errorf("restarted %s: got live members %v, want it included", old.ID, live)
	}
	silent := now.Add(SuspectAfter)
	if live := table.Live("d0", silent); !slices.Equal(live, []string{ms[0].ID}) || table.WatchHolder(silent) != ms[0].ID {
		t.Errorf("after 3 s of silence: got live %v and holder %s, want only %s", live, table.WatchHolder(silent), ms[0].ID)
	}
	if got := len(table.Members()); got != len(ms) {
		t.Errorf("suspects: got %d members, want all %d kept", got, len(ms))
	}
	if table.Expire(now.Add(ForgetAfter + time.Second)); len(table.Members()) != 1 {
		t.Errorf("after the forget deadline: got %d members, want 1", len(table.Members()))
	}
}

// Guards against an instance that does not detect that it is partitioned from most
// failure domains.
func TestIsolated(t *testing.T) {
	for heard, want := range []bool{true, false, false, false} { // index: other failure domains heard from; there are 4 including the instance's own
		table, ms := newGrid(4, 2)
		for d := 1; d <= heard; d++ {
			table.Heard(ms[2*d], epoch)
		}
		if got := table.Isolated(epoch.Add(time.Second)); got != want {
			t.Errorf("%d other domains heard: got isolated %v, want %v", heard, got, want)
		}
		if !table.Isolated(epoch.Add(time.Minute)) {
			t.Errorf("%d other domains heard a minute ago: got not isolated, want isolated", heard)
		}
	}
}

// Guards against keys that move although their owner remains, and against members
// that own too few keys.
func TestOwnerMovesOnlyKeysOfRemovedMember(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e"}
	owned := make(map[string]int)
	for key := range uint64(1000) {
		owner := Owner(key, ids)
		owned[owner]++
		for i, id := range ids {
			rest := slices.Delete(slices.Clone(ids), i, i+1)
			slices.Reverse(rest)
			if got := Owner(key, rest); id != owner && got != owner {
				t.Errorf("key %d without %s: got owner %s, want %s", key, id, got, owner)
			}
		}
	}
	for _, id := range ids {
		if owned[id] < 100 {
			t.Errorf("keys of %s: got %d of 1000, want at least 100", id, owned[id])
		}
	}
}

// Guards against an instance's rate of exchanges that grows with the failure domain,
// and against a suspect timeout that is too short for the longer heartbeat period.
func TestPeriodGrowsWithFailureDomain(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tt := range []struct {
		members int
		period  time.Duration
	}{
		{1, time.Second},
		{33, time.Second},
		{51, 1530 * time.Millisecond},
		{400, 3 * time.Second},
	} {
		table := NewTable(Config{Self: Member{ID: "self", Incarnation: 1, FailureDomain: "a"}})
		for i := 1; i < tt.members; i++ {
			table.Heard(Member{ID: fmt.Sprint("m", i), Incarnation: 1, FailureDomain: "a"}, now)
			table.Heard(Member{ID: fmt.Sprint("r", i), Incarnation: 1, FailureDomain: "b"}, now)
		}
		if got := table.HeartbeatPeriod(); got != tt.period {
			t.Errorf("%d members: got period %v, want %v", tt.members, got, tt.period)
		}
		if tt.members == 1 {
			continue
		}
		last := fmt.Sprint("m", tt.members-1)
		if !slices.Contains(table.Live("a", now.Add(missedBeats*tt.period-1)), last) {
			t.Errorf("%d members: %s is suspected before three periods", tt.members, last)
		}
		if slices.Contains(table.Live("a", now.Add(missedBeats*tt.period+1)), last) {
			t.Errorf("%d members: %s is not suspected after three periods", tt.members, last)
		}
	}
}
