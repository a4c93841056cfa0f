package gateway

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/caller/forward"
	"wasabiworks.example/wasabiworks/internal/decide/poison"
	"wasabiworks.example/wasabiworks/internal/peer/crash"
)

// crashCheckTimeout bounds the check of whether a server accepts new connections
// after a connection to it was lost.
const crashCheckTimeout = 300 * time.Millisecond

// poisonFilter rejects requests that have crashed several servers, and requests with a
// part of a prompt that has. It implements forward.Poison.
type poisonFilter struct{ instance *Instance }

// Allowed implements forward.Poison.
func (p poisonFilter) Allowed(fingerprint uint64) bool {
	return p.instance.crashes.Set.Verdict(fingerprint, time.Now()) != poison.Poison
}

// CheckParts implements forward.Poison. Only the holder of the duty allows trials, so
// that the fleet does not run one on each instance.
func (p poisonFilter) CheckParts(parts []uint64) forward.PartsVerdict {
	f, now := p.instance, time.Now()
	if !f.partCrashes.Set.Blocked(parts, now) {
		return forward.PartsAllowed
	}
	if _, holder := f.duty.Fence(); !holder || !f.partCrashes.Set.Trial(parts, now) {
		return forward.PartsBlocked
	}
	f.config.Log.Info("request with a blocked part runs as a trial", zap.Uint64s("parts", parts))
	return forward.PartsOnTrial
}

// Completed implements forward.Poison.
func (p poisonFilter) Completed(parts []uint64) {
	if p.instance.partCrashes.Set.Completed(parts) {
		p.instance.exchange.Notify()
	}
}

// ReportLoss implements forward.Poison. It records a crash if the server's address
// refuses a new connection: a server that merely lost one response still accepts
// connections.
func (p poisonFilter) ReportLoss(l forward.Loss) {
	p.instance.crashChecks.Go(func() {
		conn, err := net.DialTimeout("tcp", l.Address, crashCheckTimeout)
		if err == nil {
			_ = conn.Close() // nothing was sent on it
			return
		}
		// A timeout may come from the network, and would then blame innocent requests.
		if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
			p.recordCrash(l)
		}
	})
}

func (p poisonFilter) recordCrash(l forward.Loss) {
	f, now := p.instance, time.Now()
	deadline := now.Add(crash.RecordTTL)
	f.crashes.Set.Crash(l.Server, strconv.FormatInt(l.Incarnation, 10), []uint64{l.Fingerprint}, deadline)
	if !l.Responding {
		f.partCrashes.Set.Crash(fmt.Sprintf("%s/%d", l.Server, l.Incarnation), l.Parts, now.Add(poison.PartRetention), now)
	}
	f.exchange.Notify()
	f.config.Log.Info("server crashed while running a request", zap.String("server", l.Server), zap.Int64("incarnation", l.Incarnation),
		zap.Uint64("fingerprint", l.Fingerprint), zap.Stringer("verdict", f.crashes.Set.Verdict(l.Fingerprint, now)),
		zap.Uint64s("parts", l.Parts), zap.Int("events", l.Events), zap.Bool("responding", l.Responding))
}

// logBlockedParts logs which parts of prompts have been blocked or cleared since
// before was returned, and returns the parts that are blocked now.
func (f *Instance) logBlockedParts(before []uint64) []uint64 {
	now := f.partCrashes.Set.BlockedParts(time.Now())
	for _, part := range now {
		if !slices.Contains(before, part) {
			f.config.Log.Warn("prompt part blocked because servers crashed under it", zap.Uint64("part", part))
		}
	}
	for _, part := range before {
		if !slices.Contains(now, part) {
			f.config.Log.Info("prompt part no longer blocked", zap.Uint64("part", part))
		}
	}
	return now
}

// registerPartMetrics registers the number of blocked parts of prompts.
func (f *Instance) registerPartMetrics() error {
	return f.registry.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "crash_blocked_parts", Help: "Parts of prompts that are blocked because servers crashed under them.",
	}, func() float64 { return float64(len(f.partCrashes.Set.BlockedParts(time.Now()))) }))
}
