// Package soak is a randomized fault injection test of wasabiworks forward. It
// runs instances as separate processes against stand-ins, injects seeded faults
// from outside, and checks the responses to clients and the requests that servers
// receive.
package soak
