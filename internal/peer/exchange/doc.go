// Package exchange keeps the entry instances in touch: it serves and calls the
// Peer service, sends heartbeats, and exchanges digests of what changed with
// the peers that package membership chooses.
package exchange
