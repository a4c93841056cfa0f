// Package journal decides on the at-most-once journal: whether a call may run,
// what a shard of the journal holds, and how a conflict or a lost answer of
// the store is settled.
package journal
