package front

import (
	"context"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/backend/pool"
	"wasabiworks.example/wasabiworks/internal/peer/suspect"
)

const (
	// silencePeriod is how often servers are looked at that may be silent.
	silencePeriod = 200 * time.Millisecond
	// ownTrouble is the part of the servers that this instance waits for from
	// which on it takes its own links to be the cause, and fewSilent the number
	// below which it never does.
	ownTrouble = 0.5
	fewSilent  = 2
)

// watchServers tells the other instances of servers that do not answer, until
// ctx ends.
func (f *Front) watchServers(ctx context.Context) {
	every(ctx, silencePeriod, func() {
		silent, active := f.silentServers()
		if len(silent) > fewSilent && float64(len(silent)) > ownTrouble*float64(active) {
			return
		}
		for _, s := range silent {
			if f.suspects.Found(s.worker.ID, s.worker.Incarnation, s.since) {
				f.config.Log.Info("server does not answer", zap.String("server", s.worker.ID), zap.String("address", s.worker.Address),
					zap.Duration("silent-for", f.now().Sub(s.since)), zap.Int("requests", s.worker.Running()))
			}
		}
	})
}

// silent is a server that does not answer.
type silent struct {
	worker *pool.Worker
	since  time.Time
}

// silentServers returns the servers that do not answer, and the number of those
// that this instance has lately had to do with.
func (f *Front) silentServers() (found []silent, active int) {
	now := f.now()
	for _, ws := range f.pool.Services() {
		for _, w := range ws {
			since, ok := w.Silent(now)
			if ok {
				found = append(found, silent{w, since})
			}
			if ok || w.Running() > 0 || w.HeardWithin(silentWindow, now) {
				active++
			}
		}
	}
	return found, active
}

// silentWindow is how long a server counts as one that this instance has to do
// with after bytes came from it.
const silentWindow = 3 * time.Second

// avoid takes a report on a server, of this instance or another.
func (f *Front) avoid(r suspect.Report) { f.pool.Avoid(r.Server, r.Incarnation, r.Since, r.Until) }
