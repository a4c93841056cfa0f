// Package matrix is a fault injection test suite over real processes. Each cell
// starts the platform fake, backend servers and entry instances in three failure
// domains, sends a seeded load, injects a fault or a pair of faults, and reports
// which guarantees of the design it checked and which were violated.
package matrix
