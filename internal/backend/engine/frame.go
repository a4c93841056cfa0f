package engine

// Usage is what an attempt cost, in tokens.
type Usage struct {
	Prompt     int `json:"prompt"`
	Cached     int `json:"cached"`
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
}
