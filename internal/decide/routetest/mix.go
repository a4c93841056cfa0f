package routetest

import (
	"math"
	"math/rand/v2"
)

// Mix describes the requests of a workload.
type Mix struct {
	Name string
	// Prefixes is the number of shared prompt prefixes. Their popularity
	// follows Zipf's law with exponent Skew.
	Prefixes int
	Skew     float64
	// PrefixTokens, PromptTokens and OutputTokens are the mean lengths of the
	// shared prefix, the rest of the prompt and the response.
	PrefixTokens, PromptTokens, OutputTokens float64
	// BatchShare is the fraction of the requests that are not interactive.
	BatchShare float64
	// UnsharedShare is the fraction of the requests without a shared prefix.
	UnsharedShare float64
}

// Mixes of the users' workloads.
var (
	// LongPrefixes models reports on long shared documents.
	LongPrefixes = Mix{Name: "long shared prefixes", Prefixes: 300, Skew: 0.8, PrefixTokens: 6000, PromptTokens: 200, OutputTokens: 150, BatchShare: 0.3}
	// ShortQuestions models short questions under a few system prompts.
	ShortQuestions = Mix{Name: "short questions", Prefixes: 4, Skew: 1, PrefixTokens: 400, PromptTokens: 100, OutputTokens: 80, UnsharedShare: 0.3}
)

// popularity returns the cumulative distribution of requests over the prefixes.
func (m Mix) popularity() []float64 {
	cumulative := make([]float64, m.Prefixes)
	sum := 0.0
	for i := range cumulative {
		sum += math.Pow(float64(i+1), -m.Skew)
		cumulative[i] = sum
	}
	for i := range cumulative {
		cumulative[i] /= sum
	}
	return cumulative
}

// drawLength draws a length uniformly between 0.5 and 1.5 times the mean.
func drawLength(r *rand.Rand, mean float64) float64 { return mean * (0.5 + r.Float64()) }
