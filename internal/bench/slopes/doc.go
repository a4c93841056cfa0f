// Package slopes measures how the cost of an entry instance grows with the size
// of the fleet and computes the figures of docs/CAPACITY.md.
//
// One real process is measured against light peers, light workers and the
// platform fake, all of which run in the measuring process. A light peer answers
// an exchange with the state that a real peer would originate itself. Light
// peers do not relay state from other peers, so the measured process sends as
// many bytes per exchange as a real node but receives fewer.
package slopes
