// Package journal implements the decisions of the at-most-once journal: whether a
// call may run, what a shard of the journal holds, and whether a write to the
// store took effect after a conflict or a lost response.
package journal
