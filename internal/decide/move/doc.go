// Package move decides the share of traffic that a new version receives and
// whether a move is rolled back.
package move
