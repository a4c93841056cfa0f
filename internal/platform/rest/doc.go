// Package rest is an HTTP client for the platform's APIs that limits the size of
// response bodies and reports whether a failed request may have been sent.
package rest
