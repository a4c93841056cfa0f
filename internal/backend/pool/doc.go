// Package pool holds the backend servers that requests are forwarded to, with
// the connections to each and its load and health as this instance observes them.
package pool
