// Package propagation distributes the catalogue from the store to every instance and
// ensures that no instance reverts to an older revision.
//
// One instance of each failure domain watches the store. The others pull new
// revisions from peers that have them, and read the store directly if they know
// of no watch holder.
package propagation
