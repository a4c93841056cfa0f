package route

import (
	"fmt"
	"testing"
)

func testPrompt(n int) Prompt {
	return Prompt{Tokens: 17_000, Total: 17_200, Parts: []Part{{Chain: uint64(n), Tokens: 13_000}, {Chain: uint64(n) + 1<<32, Tokens: 4_000}}}
}

func idleCandidates(n int) []Candidate {
	cs := make([]Candidate, n)
	for i := range cs {
		cs[i] = Candidate{ID: fmt.Sprintf("s%d", i), Slots: 64, Local: i%4 == 0}
	}
	return cs
}

// Guards against instances that send requests with one prefix to different
// servers, and against homes that concentrate on a few servers.
func TestInstancesAgreeOnHome(t *testing.T) {
	cs := idleCandidates(18)
	other := idleCandidates(18)
	for i := range other {
		other[i].Local = i%4 == 1 // as seen from another failure domain
	}
	homes := make(map[int]int)
	for n := range 1000 {
		a, b := ChoosePrompt(cs, testPrompt(n)), ChoosePrompt(other, testPrompt(n))
		if a.Index != b.Index {
			t.Errorf("prompt %d: got servers %d and %d, want one", n, a.Index, b.Index)
		}
		if a.Cached == 0 || a.Source >= 0 {
			t.Errorf("prompt %d: got %+v, want the prefix cached at home", n, a)
		}
		homes[a.Index]++
	}
	for i := range cs {
		if homes[i] < 20 {
			t.Errorf("server %d: home of %d of 1000 prompts, want at least 20", i, homes[i])
		}
	}
}

// Guards against prompts that wait at their home for longer than another server
// takes to fetch or process them, and against choosing suspects or fetching
// from them.
func TestPromptLeavesSlowOrSuspectHome(t *testing.T) {
	p := testPrompt(7)
	cs := idleCandidates(6)
	home := ChoosePrompt(cs, p).Index
	tests := []struct {
		name      string
		change    func(c *Candidate)
		wantLeave bool
	}{
		{"a short wait", func(c *Candidate) { c.Pending = 2_000 }, false},
		{"a long wait", func(c *Candidate) { c.Pending = 40_000 }, true},
		{"suspect", func(c *Candidate) { c.Suspect = true }, true},
	}
	for _, tt := range tests {
		changed := append([]Candidate(nil), cs...)
		tt.change(&changed[home])
		got := ChoosePrompt(changed, p)
		if left := got.Index != home; left != tt.wantLeave {
			t.Errorf("%s: left the home %v, want %v", tt.name, left, tt.wantLeave)
		}
		fetches := tt.wantLeave && !changed[home].Suspect
		if fetches != (got.Source == home) || fetches != (got.Fetched > minFetchTokens) {
			t.Errorf("%s: got %+v, want the prefix fetched from home %d: %v", tt.name, got, home, fetches)
		}
	}
	for i := range cs {
		cs[i].Suspect = true
	}
	if got := ChoosePrompt(cs, p); got.Index < 0 || got.Source >= 0 {
		t.Errorf("all suspect: got %+v, want a server that fetches from none", got)
	}
	if got := ChoosePrompt(nil, p); got.Index != -1 {
		t.Errorf("no server: got %+v, want none", got)
	}
}

// Guards against processing prefixes again when servers join or leave although
// those that have processed them are still there.
func TestNewHomeFetchesFromPreviousHome(t *testing.T) {
	p := testPrompt(7)
	cs := idleCandidates(6)
	home := ChoosePrompt(cs, p).Index
	cs[home].Leaving = true
	next := ChoosePrompt(cs, p).Index
	if next == home || next < 0 {
		t.Fatalf("home %d leaves: got server %d", home, next)
	}
	cs[home].Leaving, cs[home].New = false, true
	got := ChoosePrompt(cs, p)
	if got.Index != home || got.Source != next || got.Fetched < minFetchTokens {
		t.Errorf("home %d joined lately: got %+v, want it to fetch from %d", home, got, next)
	}
	cs[next].Leaving = true
	if got := ChoosePrompt(cs, p); got.Index != home || got.Source != next {
		t.Errorf("home before %d leaves: got %+v, want it as the source", next, got)
	}
	cs[home].Cached = 13_000
	if got := ChoosePrompt(cs, p); got.Source >= 0 {
		t.Errorf("prefix is known to be at home: got %+v, want no fetch", got)
	}
	for i := range cs {
		cs[i] = Candidate{ID: cs[i].ID, New: true}
	}
	if got := ChoosePrompt(cs, p); got.Index < 0 || got.Source >= 0 {
		t.Errorf("all joined lately: got %+v, want a server that fetches from none", got)
	}
}

// Guards against requests to plain services that overload the local server
// while others are idle.
func TestChooseService(t *testing.T) {
	cs := []Candidate{{ID: "local", Slots: 6, Local: true}, {ID: "remote", Slots: 6}}
	for running, want := range map[int]int{0: 0, 1: 0, 3: 1} {
		cs[0].Running = running
		if got := ChooseService(cs, 1); got != want {
			t.Errorf("%d running at the local server: got %d, want %d", running, got, want)
		}
	}
}
