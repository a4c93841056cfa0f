// Package soak is a randomized fault injection test of wasabiworks forward. It
// runs instances as separate processes against fakes of the store, the cloud and
// the servers, injects seeded faults from outside, and checks the responses to
// clients and the requests that servers receive.
package soak
