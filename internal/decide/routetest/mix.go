package routetest

import (
	"math"
	"math/rand/v2"
)

// Mix describes the prompts of a workload.
type Mix struct {
	Name string
	// Prefixes is the number of shared prompt prefixes. Their popularity
	// follows Zipf's law with exponent Skew.
	Prefixes int
	Skew     float64
	// PrefixTokens, PromptTokens and OutputTokens are the mean lengths of the
	// shared prefix, of the rest of the prompt and of the response.
	PrefixTokens, PromptTokens, OutputTokens float64
	// Batch is the part of the requests that isn't interactive.
	Batch float64
	// Alone is the part of the requests without a shared prefix.
	Alone float64
}

// The users' mixes.
var (
	// LongPrefixes is reports over long shared documents.
	LongPrefixes = Mix{Name: "long shared prefixes", Prefixes: 300, Skew: 0.8, PrefixTokens: 6000, PromptTokens: 200, OutputTokens: 150, Batch: 0.3}
	// ShortQuestions is short questions under a few system prompts.
	ShortQuestions = Mix{Name: "short questions", Prefixes: 4, Skew: 1, PrefixTokens: 400, PromptTokens: 100, OutputTokens: 80, Alone: 0.3}
)

// popularity returns the cumulated popularity of the prefixes.
func (m Mix) popularity() []float64 {
	cumulated := make([]float64, m.Prefixes)
	sum := 0.0
	for i := range cumulated {
		sum += math.Pow(float64(i+1), -m.Skew)
		cumulated[i] = sum
	}
	for i := range cumulated {
		cumulated[i] /= sum
	}
	return cumulated
}

// around draws a length between half and one and a half of the mean.
func around(r *rand.Rand, mean float64) float64 { return mean * (0.5 + r.Float64()) }
