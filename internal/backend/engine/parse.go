package engine

import "encoding/json"

// parseFrame parses a line into f, reusing the attempt's ID where it matches.
func parseFrame(line []byte, _ string, f *Frame) error {
	*f = Frame{}
	return json.Unmarshal(line, f)
}
