// Package duty elects, through a lease of the store, the one instance that
// carries out the duties of the fleet.
package duty
