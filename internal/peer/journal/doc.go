// Package journal ensures that a non-idempotent call runs at most once. A
// reservation is durable in the store before the call leaves the instance. The
// owner of a shard batches the reservations of all instances into one
// compare-and-swap.
package journal
