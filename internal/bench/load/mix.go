package load

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Kind is the interface that a class of requests uses.
type Kind string

// Kinds of requests.
const (
	Chat       Kind = "chat"
	Completion Kind = "completion"
	Service    Kind = "service"
)

// Class describes one kind of work of a mix.
type Class struct {
	Name  string
	Entry string
	Kind  Kind
	// Weight is the class's part of the arrivals.
	Weight float64
	Stream bool
	// Shared is the length in words of the beginning that prompts have in
	// common, and Variants the number of different beginnings.
	Shared, Variants int
	// MinWords and MaxWords bound the words that differ between prompts.
	MinWords, MaxWords int
	MaxTokens          int
	// Path is the path at a plain service.
	Path string
	// Resent is the share of calls that are sent a second time with the same
	// idempotency key.
	Resent float64
	// Marker is a text in each prompt.
	Marker string
	// Retries is how often a caller repeats a request that is not answered.
	Retries int
}

// Workspace is a caller of a mix.
type Workspace struct {
	Name string
	// Weight is the workspace's part of the arrivals.
	Weight float64
}

// Token returns the workspace's bearer token. It is derived from the name, so
// that catalogues for tests can be written without a list of tokens.
func (w Workspace) Token() string {
	return "token-" + w.Name
}

// Mix is the workload of one user.
type Mix struct {
	Name       string
	Classes    []Class
	Workspaces []Workspace
}

// mixes are modelled on the users' descriptions: few large workspaces, long
// reports at Kuttanad, long shared prefixes and bookings at Dvořák. The weights
// are estimates.
var mixes = map[string]Mix{
	"kuttanad": {
		Name: "kuttanad",
		Classes: []Class{
			{Name: "sack-report", Entry: "sack-assist", Kind: Chat, Weight: 0.35, Stream: true, Shared: 120, Variants: 1, MinWords: 200, MaxWords: 500, MaxTokens: 400},
			{Name: "ledger-summary", Entry: "ledger-desk", Kind: Completion, Weight: 0.2, Shared: 30, Variants: 1, MinWords: 400, MaxWords: 900, MaxTokens: 160},
			{Name: "counter-question", Entry: "sack-assist", Kind: Chat, Weight: 0.45, Stream: true, Shared: 40, Variants: 1, MinWords: 8, MaxWords: 30, MaxTokens: 48},
		},
		Workspaces: []Workspace{{"alappuzha-mill", 50}, {"kuttanad-growers", 30}, {"kollam-port", 10}, {"kottayam-depot", 6}, {"quality-lab", 4}},
	},
	"dvorak": {
		Name: "dvorak",
		Classes: []Class{
			{Name: "design-draft", Entry: "stetec-ai", Kind: Chat, Weight: 0.25, Stream: true, Shared: 1500, Variants: 4, MinWords: 20, MaxWords: 60, MaxTokens: 300},
			{Name: "customer-reply", Entry: "stetec-ai", Kind: Chat, Weight: 0.25, Shared: 80, Variants: 1, MinWords: 60, MaxWords: 200, MaxTokens: 120},
			{Name: "quick-question", Entry: "stetec-ai", Kind: Chat, Weight: 0.3, Stream: true, Shared: 20, Variants: 1, MinWords: 5, MaxWords: 20, MaxTokens: 32},
			{Name: "booking", Entry: "kalendar-app", Kind: Service, Weight: 0.2, Path: "/bookings", MinWords: 10, MaxWords: 30, Resent: 0.1},
		},
		Workspaces: []Workspace{{"brno-studio", 50}, {"olomouc-studio", 30}, {"zlin-studio", 10}, {"web-shop", 6}, {"back-office", 4}},
	},
}

// MixNamed returns a mix: "kuttanad" or "dvorak".
func MixNamed(name string) (Mix, error) {
	m, ok := mixes[name]
	if !ok {
		return Mix{}, fmt.Errorf("mix %q is not one of %s", name, strings.Join(slices.Sorted(maps.Keys(mixes)), ", "))
	}
	return m, nil
}

// PoisonMarker is in the prompts of the class "poison". Engine fakes exit on it
// if they have the fault crash-on with this value.
const PoisonMarker = "poison-marker"

// WithPoison returns the mix with a class of requests that crash engines and
// that their callers retry. It uses the first language entry of the mix and
// makes up the given share of arrivals.
func (m Mix) WithPoison(share float64) Mix {
	total, entry := 0.0, ""
	for _, c := range m.Classes {
		total += c.Weight
		if entry == "" && c.Kind != Service {
			entry = c.Entry
		}
	}
	m.Classes = append(slices.Clone(m.Classes), Class{
		Name: "poison", Entry: entry, Kind: Chat, Weight: total * share / (1 - share), Stream: true,
		Shared: 20, Variants: 1, MinWords: 5, MaxWords: 20, MaxTokens: 32, Marker: PoisonMarker, Retries: 5,
	})
	return m
}
