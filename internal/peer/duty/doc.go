// Package duty elects a leader among the entry instances, the holder of the duty,
// by a lease in the store. The holder alone reports usage, orders servers, and
// records moves and their outcomes.
package duty
