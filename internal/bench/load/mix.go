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
	KindChat       Kind = "chat"
	KindCompletion Kind = "completion"
	KindService    Kind = "service"
)

// Class describes one class of requests in a mix.
type Class struct {
	Name string
	// CatalogueEntry is the name of the catalogue entry, a model or a plain service,
	// that the requests address.
	CatalogueEntry string
	Kind           Kind
	// Weight is the relative frequency of the class among the arrivals.
	Weight float64
	Stream bool
	// PrefixWords is the length, in words, of the prefix that prompts share, and
	// PrefixVariants the number of different prefixes.
	PrefixWords, PrefixVariants int
	// MinWords and MaxWords limit the length, in words, of the text after the
	// shared prefix. The text differs between prompts.
	MinWords, MaxWords int
	MaxTokens          int
	// Path is the path of the request at a plain service.
	Path string
	// ResendShare is the share of calls that are sent a second time with the same
	// idempotency key.
	ResendShare float64
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
			{Name: "sack-report", CatalogueEntry: "sack-assist", Kind: KindChat, Weight: 0.35, Stream: true, PrefixWords: 120, PrefixVariants: 1, MinWords: 200, MaxWords: 500, MaxTokens: 400},
			{Name: "ledger-summary", CatalogueEntry: "ledger-desk", Kind: KindCompletion, Weight: 0.2, PrefixWords: 30, PrefixVariants: 1, MinWords: 400, MaxWords: 900, MaxTokens: 160},
			{Name: "counter-question", CatalogueEntry: "sack-assist", Kind: KindChat, Weight: 0.45, Stream: true, PrefixWords: 40, PrefixVariants: 1, MinWords: 8, MaxWords: 30, MaxTokens: 48},
		},
		Workspaces: []Workspace{{"alappuzha-mill", 50}, {"kuttanad-growers", 30}, {"kollam-port", 10}, {"kottayam-depot", 6}, {"quality-lab", 4}},
	},
	"dvorak": {
		Name: "dvorak",
		Classes: []Class{
			{Name: "design-draft", CatalogueEntry: "stetec-ai", Kind: KindChat, Weight: 0.25, Stream: true, PrefixWords: 1500, PrefixVariants: 4, MinWords: 20, MaxWords: 60, MaxTokens: 300},
			{Name: "customer-reply", CatalogueEntry: "stetec-ai", Kind: KindChat, Weight: 0.25, PrefixWords: 80, PrefixVariants: 1, MinWords: 60, MaxWords: 200, MaxTokens: 120},
			{Name: "quick-question", CatalogueEntry: "stetec-ai", Kind: KindChat, Weight: 0.3, Stream: true, PrefixWords: 20, PrefixVariants: 1, MinWords: 5, MaxWords: 20, MaxTokens: 32},
			{Name: "booking", CatalogueEntry: "kalendar-app", Kind: KindService, Weight: 0.2, Path: "/bookings", MinWords: 10, MaxWords: 30, ResendShare: 0.1},
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
		if entry == "" && c.Kind != KindService {
			entry = c.CatalogueEntry
		}
	}
	m.Classes = append(slices.Clone(m.Classes), Class{
		Name: "poison", CatalogueEntry: entry, Kind: KindChat, Weight: total * share / (1 - share), Stream: true,
		PrefixWords: 20, PrefixVariants: 1, MinWords: 5, MaxWords: 20, MaxTokens: 32, Marker: PoisonMarker, Retries: 5,
	})
	return m
}
