// Package matrix checks the guarantees of the design over real processes while
// faults are injected. Each cell starts the platform fake, backend servers and
// entry instances in three failure domains, drives them with a seeded load and
// reports which guarantees it checked and which were broken.
package matrix
