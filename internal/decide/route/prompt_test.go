package route

import (
	"fmt"
	"testing"
)

func testPrompt(n int) Prompt {
	return Prompt{Tokens: 17_000, MaxTotalTokens: 17_200, Parts: []Part{{Chain: uint64(n), Tokens: 13_000}, {Chain: uint64(n) + 1<<32, Tokens: 4_000}}}
}

func idleCandidates(n int) []Candidate {
	cs := make([]Candidate, n)
	for i := range cs {
		cs[i] = Candidate{ID: fmt.Sprintf("s%d", i), Slots: 64, Local: i%4 == 0}
	}
	return cs
}

// Guards against instances that send requests with one prefix to different
// servers, and against a few servers that are preferred for most prompts.
func TestInstancesAgreeOnPreferredServer(t *testing.T) {
	cs := idleCandidates(18)
	other := idleCandidates(18)
	for i := range other {
		other[i].Local = i%4 == 1 // as seen from another failure domain
	}
	picked := make(map[int]int)
	for n := range 1000 {
		a, b := ChoosePrompt(cs, testPrompt(n)), ChoosePrompt(other, testPrompt(n))
		if a.Index != b.Index {
			t.Errorf("prompt %d: got servers %d and %d, want the same server", n, a.Index, b.Index)
		}
		if a.CachedTokens == 0 || a.Source >= 0 {
			t.Errorf("prompt %d: got %+v, want the prefix cached at the preferred server", n, a)
		}
		picked[a.Index]++
	}
	for i := range cs {
		if picked[i] < 20 {
			t.Errorf("server %d: preferred for %d of 1000 prompts, want at least 20", i, picked[i])
		}
	}
}

// Guards against prompts that wait at their preferred server for longer than
// another server takes to fetch or process them, and against choosing suspects
// or fetching from them.
func TestPromptAvoidsSlowOrSuspectPreferredServer(t *testing.T) {
	p := testPrompt(7)
	cs := idleCandidates(6)
	preferred := ChoosePrompt(cs, p).Index
	tests := []struct {
		name      string
		change    func(c *Candidate)
		wantOther bool
	}{
		{"a short wait", func(c *Candidate) { c.PendingTokens = 2_000 }, false},
		{"a long wait", func(c *Candidate) { c.PendingTokens = 40_000 }, true},
		{"suspect", func(c *Candidate) { c.Suspect = true }, true},
	}
	for _, tt := range tests {
		changed := append([]Candidate(nil), cs...)
		tt.change(&changed[preferred])
		got := ChoosePrompt(changed, p)
		if other := got.Index != preferred; other != tt.wantOther {
			t.Errorf("%s: another server chosen: %v, want %v", tt.name, other, tt.wantOther)
		}
		fetches := tt.wantOther && !changed[preferred].Suspect
		if fetches != (got.Source == preferred) || fetches != (got.TokensToFetch > minFetchTokens) {
			t.Errorf("%s: got %+v, want a fetch from server %d: %v", tt.name, got, preferred, fetches)
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
func TestNewPreferredServerFetchesFromPrevious(t *testing.T) {
	p := testPrompt(7)
	cs := idleCandidates(6)
	preferred := ChoosePrompt(cs, p).Index
	cs[preferred].Excluded = true
	next := ChoosePrompt(cs, p).Index
	if next == preferred || next < 0 {
		t.Fatalf("preferred server %d leaves: got server %d", preferred, next)
	}
	cs[preferred].Excluded, cs[preferred].New = false, true
	got := ChoosePrompt(cs, p)
	if got.Index != preferred || got.Source != next || got.TokensToFetch < minFetchTokens {
		t.Errorf("preferred server %d joined recently: got %+v, want it to fetch from %d", preferred, got, next)
	}
	cs[next].Excluded = true
	if got := ChoosePrompt(cs, p); got.Index != preferred || got.Source != next {
		t.Errorf("previous server %d leaves: got %+v, want it as the source", next, got)
	}
	cs[preferred].CachedTokens = 13_000
	if got := ChoosePrompt(cs, p); got.Source >= 0 {
		t.Errorf("prefix is known to be cached at the preferred server: got %+v, want no fetch", got)
	}
	for i := range cs {
		cs[i] = Candidate{ID: cs[i].ID, New: true}
	}
	if got := ChoosePrompt(cs, p); got.Index < 0 || got.Source >= 0 {
		t.Errorf("all joined recently: got %+v, want a server that fetches from none", got)
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

// Guards against a server that is left because of a wait that is shorter than processing
// its prefix elsewhere, and against one that is kept whatever waits there.
func TestMaxPendingIsTheWaitUpToWhichTheServerIsBest(t *testing.T) {
	cs := []Candidate{{ID: "a", Known: true, CachedTokens: 10_000}, {ID: "b"}}
	p := Prompt{Tracked: true, Tokens: 11_000, Parts: []Part{{ID: 1, Chain: 1, Tokens: 10_000}, {ID: 2, Chain: 2, Tokens: 1000}}}
	cs[1].Uncached = true
	best := ChoosePrompt(cs, p)
	if best.Index != 0 || best.MaxPending < 1000 {
		t.Fatalf("idle servers: got %+v, want the one with the prefix", best)
	}
	for pending, want := range map[float64]int{best.MaxPending * 0.99: 0, best.MaxPending * 1.01: 1} {
		cs[0].PendingTokens = pending
		if got := ChoosePrompt(cs, p).Index; got != want {
			t.Errorf("%.0f tokens pending with %.0f allowed: got server %d, want %d", pending, best.MaxPending, got, want)
		}
	}
}
