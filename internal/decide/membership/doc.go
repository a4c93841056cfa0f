// Package membership keeps the table of entry instances and decides from it
// which peers to exchange with, who owns a key, who holds the store's watch
// and whether the instance is isolated.
package membership
