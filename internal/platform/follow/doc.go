// Package follow keeps a copy of a store's keys up to date through listings and
// watches, and knows how old the copy is.
package follow
