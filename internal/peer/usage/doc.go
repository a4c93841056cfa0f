// Package usage counts what workspaces ask of servers in windows of the wall
// clock, and reports the sums over all instances.
//
// Each instance counts for itself and sends its counts to the holder of the
// duty, which writes the sums to the store before it reports them, so that a
// successor reports the same.
package usage
