package gateway

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/caller/forward"
	"wasabiworks.example/wasabiworks/internal/decide/poison"
)

// crashCheckTimeout bounds the check of whether a server accepts new connections
// after a connection to it was lost.
const crashCheckTimeout = 300 * time.Millisecond

// poisonFilter rejects requests that have crashed several servers, and requests with a
// part of a prompt that has. It implements forward.Poison.
type poisonFilter struct{ instance *Instance }

// Blocked implements forward.Poison.
func (p poisonFilter) Blocked(r poison.Request) poison.Block {
	return p.instance.crashes.Set.Blocked(r, time.Now())
}

// Trial implements forward.Poison. Only the holder of the duty allows trials of parts of
// prompts, so that the fleet does not run one on each instance. A request may never
// reach the holder, so the others allow its trial later, at different times.
func (p poisonFilter) Trial(r poison.Request) bool {
	f, now, patience := p.instance, time.Now(), 0.0
	part := f.crashes.Set.Blocked(r, now) == poison.BlockedPart
	if _, holder := f.duty.Fence(); !holder {
		if part {
			return false
		}
		patience = 1 + f.trialPatience(r.Fingerprint)
	}
	if !f.crashes.Set.Trial(r, patience, now) {
		return false
	}
	message := "request that crashed servers runs as a trial"
	if part {
		message = "request with a blocked part runs as a trial"
	}
	f.config.Log.Info(message, zap.Uint64("fingerprint", r.Fingerprint), zap.Uint64s("parts", r.Parts))
	return true
}

// trialPatience returns a number from 0 to 1 that differs from instance to instance.
func (f *Instance) trialPatience(fingerprint uint64) float64 {
	d := xxhash.New()
	_, _ = d.WriteString(f.config.ID) // never fails
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, fingerprint))
	return float64(d.Sum64()) / math.MaxUint64
}

// Completed implements forward.Poison.
func (p poisonFilter) Completed(r poison.Request) {
	if p.instance.crashes.Set.Completed(r) {
		p.instance.exchange.Notify()
	}
}

// ReportLoss implements forward.Poison. It records a crash if the server's address
// refuses a new connection: a server that merely lost one response still accepts
// connections. While the instance reaches no server, it is the cause.
func (p poisonFilter) ReportLoss(l forward.Loss) {
	p.instance.crashChecks.Go(func() {
		conn, err := net.DialTimeout("tcp", l.Address, crashCheckTimeout)
		if err == nil {
			_ = conn.Close() // nothing was sent on it
			return
		}
		// A timeout may come from the network, and would then blame innocent requests.
		refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
		if refused && !p.instance.handler.Partitioned() {
			p.recordCrash(l)
		}
	})
}

func (p poisonFilter) recordCrash(l forward.Loss) {
	f, now := p.instance, time.Now()
	f.crashes.Set.Crash(fmt.Sprintf("%s/%d", l.Server, l.Incarnation), l.Request, l.Responding, now.Add(poison.CrashRetention), now)
	f.exchange.Notify()
	f.config.Log.Info("server crashed while running a request", zap.String("server", l.Server), zap.Int64("incarnation", l.Incarnation),
		zap.Uint64("fingerprint", l.Request.Fingerprint), zap.Stringer("verdict", f.crashes.Set.Blocked(l.Request, now)),
		zap.Uint64s("parts", l.Request.Parts), zap.Int("events", l.Events), zap.Bool("responding", l.Responding))
}

// logBlockedParts logs which parts of prompts have been blocked or cleared since
// before was returned, and returns the parts that are blocked now.
func (f *Instance) logBlockedParts(before []uint64) []uint64 {
	now := f.crashes.Set.BlockedParts(time.Now())
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
	}, func() float64 { return float64(len(f.crashes.Set.BlockedParts(time.Now()))) }))
}
