// Package pool keeps the backend servers that requests are forwarded to, with
// the connections to each and what this instance has seen of it.
package pool
