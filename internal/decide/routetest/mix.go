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
	// PrefixTokens, SuffixTokens and OutputTokens are the mean lengths of the
	// shared prefix, the rest of the prompt and the response.
	PrefixTokens, SuffixTokens, OutputTokens float64
	// BatchFraction is the fraction of the requests that are not interactive.
	BatchFraction float64
	// NoPrefixFraction is the fraction of the requests without a shared prefix.
	NoPrefixFraction float64
}

// Mixes of the users' workloads.
var (
	// LongPrefixes models reports on long shared documents.
	LongPrefixes = Mix{Name: "long shared prefixes", Prefixes: 300, Skew: 0.8, PrefixTokens: 6000, SuffixTokens: 200, OutputTokens: 150, BatchFraction: 0.3}
	// ShortQuestions models short questions under a few system prompts.
	ShortQuestions = Mix{Name: "short questions", Prefixes: 4, Skew: 1, PrefixTokens: 400, SuffixTokens: 100, OutputTokens: 80, NoPrefixFraction: 0.3}
)

// cumulativePopularity returns the cumulative distribution of requests over the
// prefixes.
func (m Mix) cumulativePopularity() []float64 {
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
