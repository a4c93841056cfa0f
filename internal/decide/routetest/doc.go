// Package routetest measures routing policies on a simulation of backend servers
// with prompt-prefix caches, slots and queues, whose load reports lag.
package routetest
