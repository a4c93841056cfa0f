// Package scaling measures how the cost of an entry instance grows with the size
// of the fleet and computes the figures of docs/CAPACITY.md.
//
// One real process is measured against simulated ("light") peers and workers and
// the platform fake, all of which run in the measuring process. A light worker is
// an entry in the instance list with a load report that all light workers share.
// A light peer answers each exchange (heartbeat RPC) with generated state: its
// own, or in another failure domain the sums over that domain. In a bare
// exchange, the light peer answers without load reports, demand and evidence.
// Light peers do not relay state from other peers, so the measured process sends
// as many bytes per exchange as a real node but receives fewer.
package scaling
