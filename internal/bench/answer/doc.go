// Package answer derives the expected tokens of a response from its request.
package answer
