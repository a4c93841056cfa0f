// Package tcp provides HTTP transports for requests to backend servers, and a
// trace that can prove that no byte of a failed request was sent.
package tcp
