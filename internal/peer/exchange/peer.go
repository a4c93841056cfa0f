package exchange

import (
	"sync"
	"time"

	"google.golang.org/grpc"

	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
)

// peer is what the node keeps about one member: the connection, the schedule
// and the versions that the member is known to have.
type peer struct {
	mu      sync.Mutex
	closed  bool
	address string
	conn    *grpc.ClientConn
	clients clients

	incarnation int64
	// delivered holds, per source, the version up to which the member has
	// everything.
	delivered []uint64
	// replied is what the last reply held; the member's next request confirms
	// it by its sequence.
	replied  []uint64
	sequence uint64
	// received is the sequence of the last reply received from the member.
	received uint64

	last  time.Time // start of the last exchange, in either direction
	busy  bool      // a call is in progress
	again bool      // another call is due as soon as it ends
}

// restarted resets the versions if the member has a new incarnation: it has
// lost everything that it was sent.
func (p *peer) restarted(incarnation int64) {
	if incarnation == p.incarnation {
		return
	}
	p.incarnation = incarnation
	p.delivered, p.replied, p.sequence, p.received = nil, nil, 0, 0
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

// answered records the reply to a digest that was computed when the member's
// incarnation was base (0 if unknown) and that held versions. If another
// incarnation has answered, the digest lacked what earlier ones held, and
// everything is sent again.
func (p *peer) answered(base int64, versions []uint64, reply *peerpb.Digest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	incarnation := reply.Sender.GetIncarnation()
	if incarnation < p.incarnation {
		return
	}
	p.restarted(incarnation)
	if base == 0 || base == incarnation {
		p.confirm(versions)
		p.received = reply.Sequence
	}
}

// begin claims the right to call the member. If a call is in progress, another
// one follows it when urgent.
func (p *peer) begin(now time.Time, urgent bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy {
		p.again = p.again || urgent
		return false
	}
	p.busy, p.again, p.last = true, false, now
	return true
}

// end gives the right back and reports whether another call is due.
func (p *peer) end() (again bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	again, p.busy, p.again = p.again, false, false
	return again
}

// due reports whether the period since the last exchange has passed.
func (p *peer) due(now time.Time, period time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.busy && now.Sub(p.last) >= period
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.conn != nil {
		_ = p.conn.Close() // nothing depends on how a discarded connection ends
		p.conn = nil
	}
}
