package engine

import "time"

// Usage is the token usage of an attempt as its engine reports it.
type Usage struct {
	// Prompt is the number of tokens of the prompt.
	Prompt int `json:"prompt"`
	// Cached is the number of prompt tokens whose KV cache the engine had already.
	Cached int `json:"cached"`
	// Recomputed is the number of tokens of the prompt and of Attempt.Prefix
	// that the engine had to compute. Only for an attempt that follows an
	// interrupted one were they computed before.
	Recomputed int `json:"recomputed"`
}

// Frame is one line of an engine's response.
type Frame struct {
	Attempt string `json:"attempt"`
	Index   int    `json:"index"`
	Token   string `json:"token"`
	// Finish is set on the last frame: "stop" or "length".
	Finish string `json:"finish,omitempty"`
	Usage  *Usage `json:"usage,omitempty"`
	// More is true if the next frame has already been received, so that
	// the receiver can delay flushing its output.
	More bool `json:"-"`
}

// Attempt is one run of a request on one engine.
type Attempt struct {
	ID, Address string
	// Request is the request ID, passed on for the engine's logs.
	Request, Entry, Version, Prompt string
	Priority                        string
	// MaxTokens is the maximum length of the whole response, counted from
	// token 0.
	MaxTokens int
	// From is the index of the first token to generate; Prefix holds the
	// tokens before it.
	From   int
	Prefix []string
	// Import is the ID of the attempt whose KV cache was copied to the engine,
	// or empty.
	Import string
}

// LoadReport is an engine's load report.
type LoadReport struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Capacity is the number of requests that the engine runs concurrently.
	Capacity int      `json:"capacity"`
	Versions []string `json:"versions"`
	// State is "live" or "leaving".
	State   string `json:"state"`
	Crashes int    `json:"crashes"`
	// Incarnation changes when the process restarts. Engines that do not
	// report it only count their crashes.
	Incarnation string `json:"incarnation"`
	// At is the time, by the engine's clock, at which the report was true.
	At time.Time `json:"at"`
}
