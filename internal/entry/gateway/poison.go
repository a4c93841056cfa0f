package gateway

import (
	"net"
	"strconv"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/caller/forward"
	"wasabiworks.example/wasabiworks/internal/decide/poison"
	"wasabiworks.example/wasabiworks/internal/peer/crash"
)

// crashCheckTimeout bounds the check of whether a server accepts new connections
// after a connection to it was lost.
const crashCheckTimeout = 300 * time.Millisecond

// poisonFilter rejects requests that have crashed several servers. It implements
// forward.Poison.
type poisonFilter struct{ instance *Instance }

// Allowed implements forward.Poison.
func (p poisonFilter) Allowed(fingerprint uint64) bool {
	return p.instance.crashes.Set.Verdict(fingerprint, time.Now()) != poison.Poison
}

// ReportLoss implements forward.Poison. It records a crash unless the server accepts a
// new connection: a server that merely lost one response still accepts
// connections, and a crashed server does not.
func (p poisonFilter) ReportLoss(l forward.Loss) {
	p.instance.crashChecks.Go(func() {
		conn, err := net.DialTimeout("tcp", l.Address, crashCheckTimeout)
		if err == nil {
			_ = conn.Close() // nothing was sent on it
			return
		}
		f := p.instance
		f.crashes.Set.Crash(l.Server, strconv.FormatInt(l.Incarnation, 10), []uint64{l.Fingerprint}, time.Now().Add(crash.RecordTTL))
		f.exchange.Notify()
		f.config.Log.Info("server crashed while running a request", zap.String("server", l.Server), zap.Int64("incarnation", l.Incarnation),
			zap.Uint64("fingerprint", l.Fingerprint), zap.Uint64s("parts", l.Parts), zap.Int("events", l.Events),
			zap.Stringer("verdict", f.crashes.Set.Verdict(l.Fingerprint, time.Now())))
	})
}
