package exchange

import (
	"sync"
	"time"

	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// peer is the state that the node keeps for one member: the connection, the
// schedule and the versions that the member has confirmed.
type peer struct {
	mu         sync.Mutex
	closed     bool
	connection *connection // nil before the first call
	replacing  *connection // the silent connection that is being replaced, or nil

	incarnation int64
	// delivered holds, per source, the version up to which the member has
	// all changes.
	delivered []uint64
	// repliedVersions are the versions of the last reply to the member. The
	// member's next request confirms them by acknowledging replySequence.
	repliedVersions []uint64
	replySequence   uint64
	// receivedSequence is the sequence of the last reply received from the member.
	receivedSequence uint64
	// sent is the state of this instance in the last digest that the member
	// replied to.
	sent senderState

	lastExchange time.Time // start of the last exchange, in either direction
	calling      bool      // a call is in progress
	callAgain    bool      // another call must follow the one in progress
}

// senderState is what a digest tells of its sender besides the sources' changes.
type senderState struct {
	revision          int64
	watching, leaving bool
}

func stateOf(d *peerpb.Digest) senderState {
	return senderState{d.GetCatalogueRevision(), d.GetWatching(), d.GetSender().GetLeaving()}
}

// resetIfRestarted resets the versions if the member has a new incarnation,
// which has lost everything that was sent to the previous one.
func (p *peer) resetIfRestarted(incarnation int64) {
	if incarnation == p.incarnation {
		return
	}
	p.incarnation = incarnation
	p.delivered, p.repliedVersions, p.replySequence, p.receivedSequence, p.sent = nil, nil, 0, 0, senderState{}
}

// confirm raises the delivered versions to vs.
func (p *peer) confirm(vs []uint64) {
	for len(p.delivered) < len(vs) {
		p.delivered = append(p.delivered, 0)
	}
	for i, v := range vs {
		p.delivered[i] = max(p.delivered[i], v)
	}
}

// recordReply records the reply to a digest that brings the member to versions and
// told it sent, and that was built when the member's incarnation was
// knownIncarnation (0 if unknown). If another incarnation replied, the digest lacked the changes
// delivered earlier, and everything is sent again.
func (p *peer) recordReply(knownIncarnation int64, versions []uint64, reply *peerpb.Digest, sent senderState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	incarnation := reply.Sender.GetIncarnation()
	if incarnation < p.incarnation {
		return
	}
	p.resetIfRestarted(incarnation)
	if knownIncarnation == 0 || knownIncarnation == incarnation {
		p.confirm(versions)
		p.receivedSequence, p.sent = reply.Sequence, sent
	}
}

// beginCall claims the right to call the member. If a call is in progress and
// urgent is true, another call will follow it.
func (p *peer) beginCall(urgent bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calling {
		p.callAgain = p.callAgain || urgent
		return false
	}
	p.calling, p.callAgain = true, false
	return true
}

// endCall releases the right to call and reports whether another call must
// follow.
func (p *peer) endCall() (callAgain bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	callAgain, p.calling, p.callAgain = p.callAgain, false, false
	return callAgain
}

// due reports whether no call is in progress and the period since the last
// exchange has passed.
func (p *peer) due(now time.Time, period time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.calling && now.Sub(p.lastExchange) >= period
}

// release records the end of a call on a connection.
func (p *peer) release(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.calls--
	p.closeUnused(c)
}

// retire closes a connection that is no longer used for new calls, once those in progress
// have ended. The caller holds p.mu.
func (p *peer) retire(c *connection) {
	c.retired = true
	p.closeUnused(c)
}

// closeUnused closes a connection that is retired and has no calls. The caller holds p.mu.
func (p *peer) closeUnused(c *connection) {
	if c.retired && c.calls == 0 {
		_ = c.conn.Close() // a failed close of a discarded connection has no effect
	}
}

// uses reports whether calls use a connection.
func (p *peer) uses(c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && p.connection == c
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.connection != nil {
		_ = p.connection.conn.Close() // a failed close of a discarded connection has no effect
		p.connection = nil
	}
}
