package route

import (
	"math"
	"testing"
)

// speeds are those of the servers in unequalCandidates, in turn.
var speeds = []float64{0.5, 0.63, 0.79, 1, 1.26}

func unequalCandidates(n int) []Candidate {
	cs := idleCandidates(n)
	for i := range cs {
		cs[i].Speed, cs[i].Local = speeds[i%len(speeds)], true
	}
	return cs
}

// Guards against slow servers that get as many requests as fast ones, and against fast
// ones that get more than they can run.
func TestLoadIsInProportionToSpeed(t *testing.T) {
	const requests = 30_000
	choices := map[string]func(cs []Candidate, n int) int{
		"prompts":   func(cs []Candidate, n int) int { return ChoosePrompt(cs, testPrompt(n)).Index },
		"short":     func(cs []Candidate, n int) int { return ChoosePrompt(cs, shortPrompt(n)).Index },
		"no prompt": func(cs []Candidate, n int) int { return ChooseService(cs, uint64(n)*0x9e3779b97f4a7c15) },
	}
	for name, choose := range choices {
		cs := unequalCandidates(20)
		sum := 0.0
		for i := range cs {
			sum += cs[i].Speed
		}
		got := make(map[float64]float64)
		for n := range requests {
			got[cs[choose(cs, n)].Speed]++
		}
		for _, speed := range speeds {
			want := requests * speed / sum * float64(len(cs)/len(speeds))
			if math.Abs(got[speed]-want) > 0.1*want {
				t.Errorf("%s: servers of speed %.2f got %.0f requests, want about %.0f", name, speed, got[speed], want)
			}
		}
	}
}

// shortPrompt returns a prompt whose shared part is hardly worth a preference.
func shortPrompt(n int) Prompt {
	return Prompt{Tokens: 1_460, Parts: []Part{{Chain: uint64(n), Tokens: 350}, {Chain: uint64(n) + 1<<32, Tokens: 1_110}}}
}

// Guards against speeds that change the choice among equal servers, and against a
// changed speed that moves the prefixes of other servers.
func TestEqualSpeedsChangeNothing(t *testing.T) {
	plain, equal, changed := idleCandidates(20), idleCandidates(20), idleCandidates(20)
	for i := range equal {
		plain[i].PendingTokens, plain[i].Running = float64(i%3)*4_000, i%5
		equal[i].PendingTokens, equal[i].Running, equal[i].Speed = plain[i].PendingTokens, plain[i].Running, 1
	}
	changed[7].Speed = 0.5
	moved, stayed := 0, 0
	for n := range 2_000 {
		if a, b := ChoosePrompt(plain, testPrompt(n)), ChoosePrompt(equal, testPrompt(n)); a != b {
			t.Fatalf("prompt %d: got %+v without speeds and %+v with equal ones", n, a, b)
		}
		if a, b := ChooseService(plain, uint64(n)), ChooseService(equal, uint64(n)); a != b {
			t.Fatalf("request %d: got %d without speeds and %d with equal ones", n, a, b)
		}
		before, after := ChoosePrompt(idleCandidates(20), testPrompt(n)).Index, ChoosePrompt(changed, testPrompt(n)).Index
		switch {
		case before != 7 && before != after:
			t.Fatalf("prompt %d: moved from server %d to %d, although only server 7 became slower", n, before, after)
		case before == 7 && after == 7:
			stayed++
		case before == 7:
			moved++
		}
	}
	if stayed == 0 || moved == 0 {
		t.Errorf("server 7 at half speed: %d prefixes moved and %d stayed, want both", moved, stayed)
	}
}

// Guards against a wait at a slow server that is taken for the wait at a fast one.
func TestWaitDependsOnSpeed(t *testing.T) {
	p := testPrompt(7)
	cs := idleCandidates(6)
	preferred := ChoosePrompt(cs, p).Index
	cs[preferred].PendingTokens = 3_000
	if got := ChoosePrompt(cs, p).Index; got != preferred {
		t.Fatalf("at mean speed: got server %d, want the preferred server %d", got, preferred)
	}
	for i := range cs {
		cs[i].Speed = 0.3 // the preference is unchanged
	}
	if got := ChoosePrompt(cs, p).Index; got == preferred {
		t.Errorf("at 0.3 of the mean speed: got the preferred server, want another one")
	}
	plain := []Candidate{{ID: "a", Slots: 6, Running: 1, Speed: 0.3}, {ID: "b", Slots: 6, Running: 2}}
	if got := ChooseService(plain, 1); got != 1 {
		t.Errorf("plain service: got server %d, want the faster one", got)
	}
}
