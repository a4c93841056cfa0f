package poison

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a request that crashes one server after another, and against the
// rejection of another one that was in flight at one of the crashes only.
func TestRequestIsBlockedAfterTwoCrashes(t *testing.T) {
	is := is.New(t)
	var s CauseSet
	poison, beside := Request{Fingerprint: 1, Parts: []uint64{frequent}}, Request{Fingerprint: 2, Parts: []uint64{rare}}
	crashOf(&s, 0, epoch, poison)
	crashOf(&s, 0, epoch, beside)
	is.Equal(s.Blocked(poison, epoch), NotBlocked)
	crashOf(&s, 1, epoch, poison)
	is.Equal(s.Blocked(poison, epoch), BlockedRequest)
	is.Equal(s.Blocked(beside, epoch), NotBlocked)
}

// Guards against the rejection of a sound request that is sent often, because it was in
// flight at the crashes under a part of other prompts (LOST).
func TestPartExplainsCrashesUnderARequest(t *testing.T) {
	is := is.New(t)
	var s CauseSet
	sound := Request{Fingerprint: 1}
	for process := range 6 {
		crashOf(&s, process, epoch, prompt(companion, guilty))
		if process%2 == 0 {
			crashOf(&s, process, epoch, sound)
		}
	}
	now := epoch.Add(settleTime)
	is.Equal(s.Blocked(sound, now), NotBlocked)
	is.Equal(s.Blocked(prompt(companion, guilty), now), BlockedPart)
	crashOf(&s, 100, now, sound) // a crash of another cause
	is.Equal(s.Blocked(sound, now), NotBlocked)
	crashOf(&s, 101, now, sound)
	is.Equal(s.Blocked(sound, now), BlockedRequest)
}

// Guards against requests that stay in flight at each crash under a part, and thereby
// keep it from being blocked (BUDGET).
func TestRequestDoesNotExplainCrashesUnderAPart(t *testing.T) {
	is := is.New(t)
	var s CauseSet
	for process := range accusingPartCrashes {
		crashOf(&s, process, epoch, prompt(guilty))
		crashOf(&s, process, epoch, Request{Fingerprint: 1})
	}
	is.Equal(s.Blocked(prompt(guilty), epoch.Add(settleTime)), BlockedPart)
}

// Guards against a request that stays blocked here or on peers although a server
// completed a response to it, and against earlier reports that block it again.
func TestCompletedResponseClearsRequest(t *testing.T) {
	is := is.New(t)
	var s, peer CauseSet
	r := Request{Fingerprint: 1}
	crashOf(&s, 0, epoch, r)
	crashOf(&s, 1, epoch, r)
	earlier, _ := s.Since(0, 0)
	peer.Merge(earlier, epoch)
	is.Equal(peer.Blocked(r, epoch), BlockedRequest)
	is.True(s.Completed(r))
	is.True(!s.Completed(r))
	is.Equal(s.Blocked(r, epoch), NotBlocked)
	later, _ := s.Since(0, 0)
	is.Equal(peer.Merge(later, epoch), 2)
	is.Equal(peer.Merge(earlier, epoch), 0)
	is.Equal(peer.Blocked(r, epoch), NotBlocked)
	crashOf(&s, 2, epoch, r)
	is.Equal(s.Blocked(r, epoch), NotBlocked)
}

// Guards against a sound request that is rejected for an hour after two crashes of other
// causes, with no response in flight that could clear it.
func TestTrialClearsRequest(t *testing.T) {
	is := is.New(t)
	var s CauseSet
	r := Request{Fingerprint: 1}
	crashOf(&s, 0, epoch, r)
	crashOf(&s, 1, epoch, r)
	due := epoch.Add(firstRequestTrialDelay)
	is.True(!s.Trial(r, 0, due.Add(-1)))
	is.True(!s.Trial(r, 1, due)) // a set with more patience leaves the first trial to others
	is.True(s.Trial(r, 0, due))
	is.True(!s.Trial(r, 0, due))
	is.True(s.Trial(r, 0, due.Add(firstRequestTrialDelay))) // the request was not sent
	s.Completed(r)
	is.Equal(s.Blocked(r, due), NotBlocked)
}

// Guards against a request that crashes more servers than the rules allow in its trials:
// three later than 3 s after the third crash.
func TestTrialsOfARequestAreFew(t *testing.T) {
	is := is.New(t)
	sets := make([]CauseSet, 3)
	r := Request{Fingerprint: 1}
	crashOf(&sets[0], 0, epoch, r)
	crashOf(&sets[0], 1, epoch, r)
	crashes := 2
	for now := epoch; now.Before(epoch.Add(CrashRetention)); now = now.Add(100 * time.Millisecond) {
		for i := range sets {
			reports, _ := sets[i].Since(0, 0)
			sets[(i+1)%len(sets)].Merge(reports, now)
		}
		for i := range sets {
			if sets[i].Blocked(r, now) == NotBlocked || sets[i].Trial(r, float64(i), now) {
				crashes++
				crashOf(&sets[i], crashes, now, r)
			}
		}
	}
	is.True(crashes <= 3+3)
}

// Guards against a request that crashes many servers, and against innocent requests that
// stay blocked for longer than the crashes under them call for, in random schedules in
// which all of them are sent again and again while servers crash by themselves.
func TestPoisonRequestCrashesFewServersInRandomSchedules(t *testing.T) {
	const (
		servers, requests, poison = 6, 8, 0
		step                      = 50 * time.Millisecond
		contactTime               = 3 * time.Second
		// allowedCrashes is how many may follow later than contactTime after the third.
		allowedCrashes = 3
	)
	rapid.Check(t, func(t *rapid.T) {
		var s CauseSet
		running := make([][]promptRun, servers)
		incarnation := 0
		crashes := make([]int, requests) // under each request since it was last completed
		crash := func(server int, now time.Time) {
			incarnation++
			for _, run := range running[server] {
				s.Crash(fmt.Sprintf("%d/%d", server, incarnation), run.request, false, now.Add(CrashRetention), now)
				crashes[run.request.Fingerprint]++
			}
			running[server] = nil
		}
		now := epoch
		blockedSince := make([]time.Time, requests)
		var crashedAt []time.Time // under the poison request
		for range 400 {
			now = now.Add(step)
			for server := range running {
				running[server] = slices.DeleteFunc(running[server], func(run promptRun) bool {
					done := !run.end.After(now)
					if done {
						s.Completed(run.request)
						crashes[run.request.Fingerprint] = 0
					}
					return done
				})
			}
			if rapid.IntRange(0, 39).Draw(t, "own crash") == 0 {
				crash(rapid.IntRange(0, servers-1).Draw(t, "crashed server"), now)
			}
			fp, server := rapid.IntRange(0, requests-1).Draw(t, "request"), rapid.IntRange(0, servers-1).Draw(t, "server")
			r := Request{Fingerprint: uint64(fp)}
			if s.Blocked(r, now) != NotBlocked && !s.Trial(r, 0, now) {
				if blockedSince[fp].IsZero() {
					blockedSince[fp] = now
				}
				longest := firstRequestTrialDelay * time.Duration(math.Pow(trialDelayFactor, float64(max(0, crashes[fp]-accusingRequestCrashes))))
				if blocked := now.Sub(blockedSince[fp]); fp != poison && blocked > longest {
					t.Fatalf("innocent request %d has been blocked for %v after %d crashes under it, want at most %v", fp, blocked, crashes[fp], longest)
				}
				continue
			}
			blockedSince[fp] = time.Time{}
			running[server] = append(running[server], promptRun{r, now.Add(200 * time.Millisecond)})
			if fp == poison {
				crash(server, now)
				crashedAt = append(crashedAt, now)
			}
		}
		if late := crashesAfter(crashedAt, 3, contactTime); late > allowedCrashes {
			t.Fatalf("%d crashes later than %v after the third, want at most %d; all: %v", late, contactTime, allowedCrashes, crashedAt)
		}
	})
}
