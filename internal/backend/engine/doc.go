// Package engine is an HTTP client for model engines. It streams the frames of a
// generation and reports whether a failed attempt may have run.
package engine
