package poison

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Parts in the tests below.
const (
	guilty = iota + 1
	companion
	frequent
	rare
)

// lastFingerprint is the fingerprint of the latest prompt.
var lastFingerprint atomic.Uint64

// prompt returns a request with the given parts that is like no other.
func prompt(parts ...uint64) Request {
	return Request{Fingerprint: lastFingerprint.Add(1), Parts: parts}
}

// crashUnder records crashes of n processes under prompts with the given parts.
func crashUnder(s *CauseSet, first, n int, now time.Time, parts ...uint64) {
	for i := range n {
		crashOf(s, first+i, now, prompt(parts...))
	}
}

// crashOf records the crash of a process under r.
func crashOf(s *CauseSet, process int, now time.Time, r Request) {
	s.Crash(fmt.Sprintf("server/%d", process), r, false, now.Add(CrashRetention), now)
}

// Guards against a guilty part that is not blocked with its usual companion or with
// another, and against a block of the companion alone.
func TestOnlyTheGuiltyPartIsBlocked(t *testing.T) {
	is := is.New(t)
	var s CauseSet
	crashUnder(&s, 0, accusingPartCrashes-1, epoch, companion, guilty)
	is.Equal(NotBlocked, s.Blocked(prompt(companion, guilty), epoch.Add(time.Minute)))
	crashUnder(&s, accusingPartCrashes-1, 1, epoch, companion, guilty)
	crashUnder(&s, 100, 1, epoch, companion) // a crash of another cause
	is.Equal(NotBlocked, s.Blocked(prompt(companion, guilty), epoch.Add(settleTime-1)))
	now := epoch.Add(settleTime)
	is.Equal(BlockedPart, s.Blocked(prompt(companion, guilty), now))
	is.Equal(BlockedPart, s.Blocked(prompt(rare, companion, guilty), now))
	is.Equal(NotBlocked, s.Blocked(prompt(companion, rare), now))
	crashUnder(&s, 200, unexplainedCrashes, now, rare, guilty)
	is.Equal(BlockedPart, s.Blocked(prompt(rare, guilty), now))
	is.Equal(NotBlocked, s.Blocked(prompt(rare), now))
	is.Equal(NotBlocked, s.Blocked(prompt(companion, rare), now))
}

// Guards against a block of the companion of a guilty part that has crashed fewer
// servers than accuse it, after a crash of another cause under the companion alone.
func TestCompanionIsNotBlockedBeforeTheGuiltyPart(t *testing.T) {
	is := is.New(t)
	var s CauseSet
	crashUnder(&s, 0, accusingPartCrashes-1, epoch, companion, guilty)
	crashUnder(&s, 100, 1, epoch, companion)
	now := epoch.Add(settleTime)
	is.Equal(NotBlocked, s.Blocked(prompt(companion, rare), now))
	is.Equal(BlockedPart, s.Blocked(prompt(companion, guilty), now))
}

// Guards against an instance that has just started, learns of earlier crashes from its
// peers, and crashes further servers before it blocks the part.
func TestEarlierCrashesBlockAtOnce(t *testing.T) {
	is := is.New(t)
	var s, started CauseSet
	crashUnder(&s, 0, accusingPartCrashes, epoch, guilty)
	now := epoch.Add(time.Minute)
	reports, _ := s.Since(0, 0)
	started.Merge(reports, now)
	is.Equal(BlockedPart, started.Blocked(prompt(guilty), now))
}

// Guards against a trial by each of several holders of the duty, one after the other.
func TestCrashInATrialPostponesTheTrialsOfOtherInstances(t *testing.T) {
	is := is.New(t)
	var s CauseSet
	crashUnder(&s, 0, accusingPartCrashes, epoch, guilty)
	now := epoch.Add(settleTime + firstPartTrialDelay)
	crashUnder(&s, 100, 1, now, guilty) // in another instance's trial
	is.True(!s.Trial(prompt(guilty), 0, now.Add(time.Minute)))
	is.True(s.Trial(prompt(guilty), 0, epoch.Add(settleTime+trialDelayFactor*firstPartTrialDelay)))
}

// Guards against an innocent part that stays blocked although servers complete
// responses to prompts with it, and against a guilty part that is cleared with it.
func TestCompletedResponseClearsParts(t *testing.T) {
	is := is.New(t)
	var s, peer CauseSet
	crashUnder(&s, 0, accusingPartCrashes, epoch, guilty, frequent)
	now := epoch.Add(settleTime)
	is.Equal(s.BlockedParts(now), []uint64{guilty, frequent})
	is.True(s.Completed(prompt(companion, frequent)))
	is.True(!s.Completed(prompt(companion, frequent)))
	is.Equal(s.BlockedParts(now), []uint64{guilty})
	crashUnder(&peer, 0, accusingPartCrashes, epoch, guilty, frequent)
	reports, _ := s.Since(0, 0)
	is.Equal(peer.Merge(reports, now), accusingPartCrashes)
	is.Equal(peer.Merge(reports, now), 0)
	is.Equal(peer.BlockedParts(now), []uint64{guilty})
}

// Guards against a part that is blocked for good because nothing can clear it, and
// against trials that crash many servers.
func TestTrialsAreFew(t *testing.T) {
	is := is.New(t)
	var s CauseSet
	crashUnder(&s, 0, accusingPartCrashes, epoch, guilty)
	trials := 0
	for now := epoch; now.Before(epoch.Add(10 * time.Minute)); now = now.Add(100 * time.Millisecond) {
		if s.Trial(prompt(companion, guilty), 0, now) {
			trials++
			crashUnder(&s, 100+trials, 1, now, companion, guilty)
		}
	}
	is.Equal(trials, 2)
	is.True(!s.Trial(prompt(companion), 0, epoch.Add(time.Hour)))
	s.Completed(prompt(guilty))
	is.Equal(NotBlocked, s.Blocked(prompt(guilty), epoch.Add(10*time.Minute)))
}

// Guards against memory that peers can make a set use without limit, and against
// reports that are never removed.
func TestCauseSetIsBounded(t *testing.T) {
	is := is.New(t)
	var s CauseSet
	for n := range 2 * maxCrashes {
		ids := make([]uint64, 2*maxCausesPerCrash)
		for i := range ids {
			ids[i] = uint64(n*len(ids) + i)
		}
		s.Merge([]CrashReport{{Process: fmt.Sprint("server/", n), Requests: ids, Parts: ids, Deadline: epoch.Add(time.Duration(n+1) * time.Second)}}, epoch)
	}
	is.Equal(len(s.crashes), maxCrashes)
	is.Equal(len(s.suspects), 2*maxCrashes*maxCausesPerCrash)
	s.Expire(epoch.Add(time.Hour))
	is.Equal(len(s.crashes)+len(s.suspects)+len(s.accused), 0)
}

func drawReports(t *rapid.T, label string) (reports []CrashReport) {
	part := rapid.Uint64Range(1, 3)
	for range rapid.IntRange(0, 8).Draw(t, label) {
		reports = append(reports, CrashReport{
			Process:         fmt.Sprint("server/", rapid.IntRange(0, 5).Draw(t, "process")),
			Requests:        rapid.SliceOfN(part, 0, 3).Draw(t, "requests"),
			ClearedRequests: rapid.SliceOfN(part, 0, 1).Draw(t, "cleared requests"),
			Parts:           rapid.SliceOfN(part, 1, 3).Draw(t, "parts"),
			ClearedParts:    rapid.SliceOfN(part, 0, 1).Draw(t, "cleared"),
			Deadline:        epoch.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "deadline")) * time.Minute),
		})
	}
	return reports
}

func mergedReports(groups ...[]CrashReport) []CrashReport {
	var s CauseSet
	for _, g := range groups {
		s.Merge(g, epoch)
	}
	reports, _ := s.Since(0, 0)
	for _, r := range reports {
		slices.Sort(r.Parts)
		slices.Sort(r.ClearedParts)
		slices.Sort(r.Requests)
		slices.Sort(r.ClearedRequests)
	}
	slices.SortFunc(reports, func(a, b CrashReport) int { return cmp.Compare(a.Process, b.Process) })
	return reports
}

// Guards against instances that block different parts because they merged the same
// reports in another order, grouping or number.
func TestCrashReportsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawReports(t, "a"), drawReports(t, "b"), drawReports(t, "c")
		want := mergedReports(a, b, c)
		for name, got := range map[string][]CrashReport{
			"commutative": mergedReports(c, b, a), "idempotent": mergedReports(a, b, b, c, a), "associative": mergedReports(mergedReports(b, c), a),
		} {
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("merge is not %s: got %v, want %v", name, got, want)
			}
		}
	})
}

// crashesAfter returns how many crashes came later than d after the nth.
func crashesAfter(crashedAt []time.Time, n int, d time.Duration) (late int) {
	for i, at := range crashedAt {
		if i >= n && at.Sub(crashedAt[n-1]) > d {
			late++
		}
	}
	return late
}

// promptRun is a prompt on a simulated server.
type promptRun struct {
	request Request
	end     time.Time // when the response is complete
}

// Guards against a guilty part that crashes more servers than the rules allow, and
// against innocent parts that stay blocked, in random schedules on instances that
// exchange their reports with a delay, while other servers crash by themselves.
func TestGuiltyPartCrashesFewServersInRandomSchedules(t *testing.T) {
	const (
		instances, servers = 3, 12
		step, gossipPeriod = 50 * time.Millisecond, 500 * time.Millisecond
		contactTime        = 3 * time.Second
		// allowedCrashes is how many may follow later than contactTime after the fifth.
		allowedCrashes = 3
	)
	prompts := [][]uint64{{companion, guilty}, {frequent}, {frequent, 100}, {companion}, {rare}, {companion, 101}}
	rapid.Check(t, func(t *rapid.T) {
		sets := make([]CauseSet, instances)
		running := make([][]promptRun, servers)
		incarnation := 0
		var crashedAt []time.Time // under the guilty part
		crash := func(server int, now time.Time) {
			incarnation++
			for n, run := range running[server] {
				sets[n%instances].Crash(fmt.Sprintf("%d/%d", server, incarnation), run.request, false, now.Add(CrashRetention), now)
			}
			running[server] = nil
		}
		now := epoch
		refused := 0 // the last requests with innocent parts
		for range 400 {
			now = now.Add(step)
			if now.Sub(epoch)%gossipPeriod == 0 {
				for i := range sets {
					reports, _ := sets[i].Since(0, 0)
					sets[(i+1)%instances].Merge(reports, now)
					sets[(i+2)%instances].Merge(reports, now)
				}
			}
			for server := range running {
				running[server] = slices.DeleteFunc(running[server], func(r promptRun) bool {
					done := !r.end.After(now)
					if done {
						sets[server%instances].Completed(r.request)
					}
					return done
				})
			}
			if rapid.IntRange(0, 99).Draw(t, "own crash") == 0 {
				crash(rapid.IntRange(0, servers-1).Draw(t, "crashed server"), now)
			}
			parts := prompts[rapid.SampledFrom([]int{0, 0, 1, 1, 1, 2, 2, 3, 4, 5}).Draw(t, "prompt")]
			instance, server := rapid.IntRange(0, instances-1).Draw(t, "instance"), rapid.IntRange(0, servers-1).Draw(t, "server")
			request := prompt(parts...)
			switch blocked := sets[instance].Blocked(request, now) != NotBlocked; {
			case blocked && slices.Contains(parts, guilty):
			case blocked:
				refused++
			case slices.Contains(parts, guilty):
				running[server] = append(running[server], promptRun{request: request})
				crash(server, now)
				crashedAt = append(crashedAt, now)
			default:
				refused = 0
				running[server] = append(running[server], promptRun{request, now.Add(200 * time.Millisecond)})
			}
		}
		if late := crashesAfter(crashedAt, 5, contactTime); late > allowedCrashes {
			t.Fatalf("%d crashes later than %v after the fifth, want at most %d; all: %v", late, contactTime, allowedCrashes, crashedAt)
		}
		if refused > 20 {
			t.Fatalf("the last %d requests without the guilty part were refused", refused)
		}
	})
}
