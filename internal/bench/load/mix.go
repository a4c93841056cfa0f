package load

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Kind is the API that a class of requests uses.
type Kind string

// Kinds of requests.
const (
	Chat       Kind = "chat"
	Completion Kind = "completion"
	Service    Kind = "service"
)

// Class describes one class of requests in a mix.
type Class struct {
	Name string
	// Entry is the name of the catalogue entry, a model or a plain service,
	// that the requests address.
	Entry string
	Kind  Kind
	// Weight is the relative frequency of the class among the arrivals.
	Weight float64
	Stream bool
	// Shared is the length, in words, of the prefix that prompts share, and
	// Variants the number of different prefixes.
	Shared, Variants int
	// MinWords and MaxWords limit the length, in words, of the text after the
	// shared prefix. The text differs between prompts.
	MinWords, MaxWords int
	MaxTokens          int
	// Path is the path of the request at a plain service.
	Path string
	// Resent is the share of calls that are sent a second time with the same
	// idempotency key.
	Resent float64
	// Marker is a text that is added to each prompt; empty for none.
	Marker string
	// Retries is the maximum number of times that a caller retries a request
	// that is not answered.
	Retries int
}

// Workspace is a workspace that sends requests of a mix.
type Workspace struct {
	Name string
	// Weight is the relative frequency of the workspace among the arrivals.
	Weight float64
}

// Token returns the bearer token of the workspace. It is derived from the name,
// so that catalogues for tests do not need a list of tokens.
func (w Workspace) Token() string {
	return "token-" + w.Name
}

// Mix is a workload: the classes of requests and the workspaces that send them.
type Mix struct {
	Name       string
	Classes    []Class
	Workspaces []Workspace
}

// mixes are modelled on the workloads described by the two organisations that use
// the system, Kuttanad and Dvořák. At both, a few of the workspaces send most of
// the requests; Kuttanad has long reports, Dvořák long shared prefixes and
// bookings. The weights are estimates.
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

// MixNamed returns the mix with the given name, "kuttanad" or "dvorak".
func MixNamed(name string) (Mix, error) {
	m, ok := mixes[name]
	if !ok {
		return Mix{}, fmt.Errorf("mix %q is not one of %s", name, strings.Join(slices.Sorted(maps.Keys(mixes)), ", "))
	}
	return m, nil
}

// PoisonMarker is the marker in the prompts of the class "poison". Engine fakes
// with the fault crash-on and this value exit when they receive it.
const PoisonMarker = "poison-marker"

// WithPoison returns the mix with an added class of requests that crash engines
// and are retried by their callers. The class uses the first catalogue entry
// in the mix that is a model and makes up the given share of arrivals, which must
// be below 1.
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
