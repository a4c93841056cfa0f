package poison

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// Guards against verdicts that count one process twice, ignore the restart of a
// process or remain after the deadline.
func TestVerdict(t *testing.T) {
	is := is.New(t)
	var s Set
	later := epoch.Add(time.Hour)
	s.Crash("a", "1", []uint64{7, 8}, later)
	s.Crash("a", "1", []uint64{7}, later)
	is.Equal(s.Verdict(7, epoch), Suspect)
	s.Crash("a", "2", []uint64{7}, later.Add(time.Minute))
	is.Equal(s.Verdict(7, epoch), Poison)
	is.Equal(s.Verdict(8, epoch), Suspect)
	is.Equal(s.Verdict(9, epoch), Clear)
	is.Equal(s.Verdict(7, later), Suspect)
	var other Set
	rs, _ := s.Since(0, 0)
	is.Equal(other.Merge(rs), 3)
	is.Equal(other.Merge(rs), 0)
	is.Equal(other.Verdict(7, epoch), Poison)
}

func drawRecords(t *rapid.T, label string) (rs []Record) {
	for range rapid.IntRange(0, 12).Draw(t, label) {
		rs = append(rs, Record{
			Fingerprint: rapid.Uint64Range(1, 2).Draw(t, "fingerprint"),
			Process:     rapid.SampledFrom([]string{"a/1", "a/2", "b/1", "c/1"}).Draw(t, "process"),
			Deadline:    epoch.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "deadline")) * time.Minute),
			Cleared:     rapid.Bool().Draw(t, "cleared"),
		})
	}
	return rs
}

func uncleared(rs []Record) []Record {
	rs = slices.Clone(rs)
	for i := range rs {
		rs[i].Cleared = false
	}
	return rs
}

func mergedCrashes(rss ...[]Record) map[uint64][2]crash {
	var s Set
	for _, rs := range rss {
		s.Merge(rs)
	}
	crashes := make(map[uint64][2]crash)
	for fp, r := range s.requests {
		crashes[fp] = r.crashes
	}
	return crashes
}

// Guards against verdicts that depend on the order, grouping or number of
// deliveries, or that become weaker with a merge that clears nothing.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecords(t, "a"), drawRecords(t, "b"), drawRecords(t, "c")
		want := mergedCrashes(a, b, c)
		var bc, partial, all Set
		bc.Merge(b)
		bc.Merge(c)
		rs, _ := bc.Since(0, 0)
		for name, got := range map[string]map[uint64][2]crash{
			"commutative": mergedCrashes(c, b, a), "idempotent": mergedCrashes(a, b, b, c, a), "associative": mergedCrashes(rs, a),
		} {
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("merge is not %s: got %v, want %v", name, got, want)
			}
		}
		partial.Merge(uncleared(a))
		all.Merge(uncleared(a))
		all.Merge(uncleared(rs))
		for minute := range 6 {
			now := epoch.Add(time.Duration(minute) * time.Minute)
			for fp := range uint64(3) {
				if all.Verdict(fp, now) < partial.Verdict(fp, now) {
					t.Fatalf("merge weakened the verdict on %d at minute %d", fp, minute)
				}
			}
		}
	})
}

// server is a backend server in the random schedules below.
type server struct {
	incarnation int
	running     []uint64
}

// Guards against a poison request that crashes more than two processes, and
// against innocent requests that get the verdict Poison with it, in random
// schedules in which clients resend every request after a crash.
func TestPoisonCrashesAtMostTwoProcesses(t *testing.T) {
	const poison = 0
	rapid.Check(t, func(t *rapid.T) {
		var s Set
		servers := make([]server, 4)
		crashes := 0
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			i := rapid.IntRange(0, len(servers)-1).Draw(t, "server")
			srv := &servers[i]
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0: // the newest request ends, unless it is the poison request
				if n := len(srv.running); n > 0 && srv.running[n-1] != poison {
					srv.running = srv.running[:n-1]
				}
			case 1: // the server crashes if it runs the poison request
				if slices.Contains(srv.running, poison) {
					crashes++
					s.Crash(fmt.Sprint(i), fmt.Sprint(srv.incarnation), srv.running, epoch.Add(time.Hour))
					*srv = server{incarnation: srv.incarnation + 1}
				}
			default:
				fp := uint64(rapid.IntRange(0, 6).Draw(t, "request"))
				if !inFlight(servers, fp) && Allowed(s.Verdict(fp, epoch), countSuspects(&s, srv.running)) {
					srv.running = append(srv.running, fp)
				}
			}
			if crashes > 2 {
				t.Fatalf("the poison request crashed %d processes, want at most 2", crashes)
			}
			for fp := uint64(1); fp <= 6; fp++ {
				if s.Verdict(fp, epoch) == Poison {
					t.Fatalf("innocent request %d has the verdict poison", fp)
				}
			}
		}
	})
}

func inFlight(servers []server, fp uint64) bool {
	return slices.ContainsFunc(servers, func(s server) bool { return slices.Contains(s.running, fp) })
}

func countSuspects(s *Set, running []uint64) (n int) {
	for _, fp := range running {
		if s.Verdict(fp, epoch) != Clear {
			n++
		}
	}
	return n
}

// Guards against a request that stays rejected here or on peers although a server
// completed a response to it (LOST), and against earlier records that undo that.
func TestCompletedResponseClearsRecords(t *testing.T) {
	is := is.New(t)
	var s, peer Set
	later := epoch.Add(time.Hour)
	s.Crash("a", "1", []uint64{7}, later)
	s.Crash("b", "1", []uint64{7, 8}, later)
	earlier, _ := s.Since(0, 0)
	peer.Merge(earlier)
	is.Equal(peer.Verdict(7, epoch), Poison)
	is.True(s.Completed(7))
	is.True(!s.Completed(7))
	is.Equal(s.Verdict(7, epoch), Clear)
	is.Equal(s.Verdict(8, epoch), Suspect)
	is.Equal(s.Suspects(epoch, epoch), []uint64{8})
	rs, _ := s.Since(0, 0)
	peer.Merge(rs)
	is.Equal(peer.Merge(earlier), 0)
	is.Equal(peer.Verdict(7, epoch), Clear)
	s.Crash("c", "1", []uint64{7}, later.Add(time.Second))
	is.Equal(s.Verdict(7, epoch), Suspect)
}

// Guards against records that are never removed.
func TestExpire(t *testing.T) {
	is := is.New(t)
	var s Set
	s.Crash("a", "1", []uint64{7}, epoch)
	s.Crash("a", "1", []uint64{8}, epoch.Add(time.Hour))
	s.Expire(epoch.Add(time.Minute))
	is.Equal(len(s.requests), 1)
	is.Equal(s.Verdict(8, epoch), Suspect)
}

// Guards against suspects of one crash that run on the same server because they
// are on different instances, and against suspects that are assigned no server.
func TestPartsKeepSuspectsApart(t *testing.T) {
	servers := []string{"a", "b", "c", "d", "e"}
	for n := 1; n <= len(servers); n++ {
		var suspects []uint64
		for i := range n {
			suspects = append(suspects, uint64(i*i+3))
		}
		assigned := make(map[string]uint64)
		for _, fp := range suspects {
			part := AssignedServers(fp, suspects, servers)
			if len(part) == 0 {
				t.Errorf("%d suspects: no server is assigned to suspect %d", n, fp)
			}
			for _, id := range part {
				if other, ok := assigned[id]; ok {
					t.Errorf("%d suspects: server %s is assigned to both %d and %d", n, id, other, fp)
				}
				assigned[id] = fp
			}
		}
		if len(assigned) != len(servers) {
			t.Errorf("%d suspects: %d of %d servers are assigned", n, len(assigned), len(servers))
		}
	}
	if got := AssignedServers(1, []uint64{2, 3}, servers); len(got) != len(servers) {
		t.Errorf("no suspect: got %v, want all servers", got)
	}
	if got := AssignedServers(2, []uint64{1, 2}, nil); len(got) != 0 {
		t.Errorf("no server: got %v, want none", got)
	}
}

// Guards against suspects of earlier crashes that reduce the servers available
// to the suspects of recent crashes.
func TestSuspectsOnlyOfRecentCrashes(t *testing.T) {
	now := time.Unix(1000, 0)
	var s Set
	s.Crash("a", "1", []uint64{9, 4}, now.Add(time.Hour))
	s.Crash("b", "1", []uint64{4, 7}, now.Add(time.Hour)) // 4 is poison
	s.Crash("c", "1", []uint64{5}, now.Add(time.Minute))
	got := s.Suspects(now, now.Add(time.Hour-time.Second))
	if want := []uint64{7, 9}; !slices.Equal(got, want) {
		t.Errorf("got suspects %v, want %v", got, want)
	}
}
