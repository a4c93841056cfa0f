// Package soak runs instances of wasabiworks forward as separate processes
// against stand-ins, injects seeded faults from outside, and checks what clients
// and servers see.
package soak
