// Package exchange implements the gossip protocol between entry instances. It
// serves and calls the Peer service, sends heartbeats, and exchanges digests of
// changes with the peers that package membership selects.
package exchange
