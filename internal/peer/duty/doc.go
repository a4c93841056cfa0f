// Package duty elects, by a lease in the store, the one instance that performs
// the duties of the fleet.
package duty
