package front

import (
	"net"
	"strconv"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/decide/poison"
	"wasabiworks.example/wasabiworks/internal/peer/crash"
)

// crashCheck bounds the check of whether a server that broke off still accepts
// connections.
const crashCheck = 300 * time.Millisecond

// poisons implements forward.Poison.
type poisons struct{ front *Front }

// Allowed implements forward.Poison.
func (p poisons) Allowed(fingerprint uint64) bool {
	return p.front.crashes.Set.Verdict(fingerprint, time.Now()) != poison.Poison
}

// Lost implements forward.Poison. A server that lost one answer still accepts
// connections; one that has crashed does not.
func (p poisons) Lost(server, address string, incarnation int64, fingerprint uint64) {
	p.front.checks.Go(func() {
		conn, err := net.DialTimeout("tcp", address, crashCheck)
		if err == nil {
			_ = conn.Close() // nothing was sent on it
			return
		}
		f := p.front
		f.crashes.Set.Crash(server, strconv.FormatInt(incarnation, 10), []uint64{fingerprint}, time.Now().Add(crash.Kept))
		f.exchange.Notify()
		f.config.Log.Info("server crashed while it ran a request", zap.String("server", server), zap.Uint64("fingerprint", fingerprint),
			zap.Stringer("verdict", f.crashes.Set.Verdict(fingerprint, time.Now())))
	})
}
