// Package slopes measures how the cost of an entry instance grows with the
// fleet and works out the figures of docs/CAPACITY.md.
//
// One real process is measured against light peers, light workers and the
// platform fake, which run in the measuring process. A light peer answers an
// exchange with what a real one would know first hand. Light peers do not pass
// on what other peers sent them, so the bytes that the measured process sends
// are those of a real node, and the bytes that it receives are fewer.
package slopes
