package route

import (
	"fmt"
	"testing"
)

func prompts(n int) Prompt {
	return Prompt{Tokens: 17_000, Total: 17_200, Parts: []Part{{Chain: uint64(n), Tokens: 13_000}, {Chain: uint64(n) + 1<<32, Tokens: 4_000}}}
}

func idle(n int) []Candidate {
	cs := make([]Candidate, n)
	for i := range cs {
		cs[i] = Candidate{ID: fmt.Sprintf("s%d", i), Slots: 64, Local: i%4 == 0}
	}
	return cs
}

// Guards against instances that send requests with one prefix to different
// servers, and against homes that lie on few servers.
func TestPromptsShareAHome(t *testing.T) {
	cs := idle(18)
	other := idle(18)
	for i := range other {
		other[i].Local = i%4 == 1 // another failure domain's view
	}
	homes := make(map[int]int)
	for n := range 1000 {
		a, cached := ChoosePrompt(cs, prompts(n))
		b, _ := ChoosePrompt(other, prompts(n))
		if a != b {
			t.Errorf("prompt %d: got servers %d and %d, want one", n, a, b)
		}
		if cached == 0 {
			t.Errorf("prompt %d: nothing expected to be cached at home", n)
		}
		homes[a]++
	}
	for i := range cs {
		if homes[i] < 20 {
			t.Errorf("server %d: home of %d of 1000 prompts, want at least 20", i, homes[i])
		}
	}
}

// Guards against prompts that wait at their home for longer than another server
// takes to read them, and against suspects that are chosen.
func TestPromptLeavesItsHome(t *testing.T) {
	p := prompts(7)
	cs := idle(6)
	home, _ := ChoosePrompt(cs, p)
	tests := []struct {
		name   string
		change func(c *Candidate)
		leaves bool
	}{
		{"a short wait", func(c *Candidate) { c.Pending = 2_000 }, false},
		{"a long wait", func(c *Candidate) { c.Pending = 40_000 }, true},
		{"suspect", func(c *Candidate) { c.Suspect = true }, true},
	}
	for _, tt := range tests {
		changed := append([]Candidate(nil), cs...)
		tt.change(&changed[home])
		got, _ := ChoosePrompt(changed, p)
		if left := got != home; left != tt.leaves {
			t.Errorf("%s: left the home %v, want %v", tt.name, left, tt.leaves)
		}
	}
	for i := range cs {
		cs[i].Suspect = true
	}
	if got, _ := ChoosePrompt(cs, p); got < 0 {
		t.Error("all suspect: got no server, want one")
	}
	if got, _ := ChoosePrompt(nil, p); got != -1 {
		t.Errorf("no server: got %d, want -1", got)
	}
}

// Guards against plain requests that crowd the local server while others are
// idle.
func TestChooseService(t *testing.T) {
	cs := []Candidate{{ID: "local", Slots: 6, Local: true}, {ID: "remote", Slots: 6}}
	for running, want := range map[int]int{0: 0, 1: 0, 3: 1} {
		cs[0].Running = running
		if got := ChooseService(cs, 1); got != want {
			t.Errorf("%d running at the local server: got %d, want %d", running, got, want)
		}
	}
}
