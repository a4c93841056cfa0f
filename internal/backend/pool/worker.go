package pool

import (
	"net/http"
	"sync/atomic"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/tcp"
)

// Server describes one lifetime of a backend server as it registered itself.
type Server struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Version       string
	// Slots is the number of requests that run at once; 0 is unknown.
	Slots int
	// Reclaimable servers may be taken away at short notice.
	Reclaimable bool
	// Leaving servers get no new requests.
	Leaving bool
	// Incarnation tells two lifetimes under one ID apart.
	Incarnation int64
}

const (
	// dialTimeout bounds connecting. A server accepts within milliseconds; one
	// that is cut off or gone doesn't answer at all.
	dialTimeout = 400 * time.Millisecond
	// silenceAfter is how long a server with requests of this instance may send
	// nothing before others are preferred.
	silenceAfter = 900 * time.Millisecond
	// avoidFirst is how long a server is avoided after a failure; each further
	// failure in a row doubles it up to avoidMost.
	avoidFirst = 500 * time.Millisecond
	avoidMost  = 4 * time.Second
)

// Worker is a backend server with this instance's connections to it. Its
// methods are safe for concurrent use.
type Worker struct {
	Server
	Transport *http.Transport
	// Prompts are the parts of prompts that the server has read.
	Prompts Prompts

	joined  time.Time // on the boot clock
	leaving atomic.Bool
	running atomic.Int64 // requests sent and not ended
	pending atomic.Int64 // prompt tokens sent and not answered by an event
	heard   atomic.Int64 // nanoseconds on the boot clock
	idle    atomic.Int64 // when the first of the running requests was sent
	failed  atomic.Int64 // failures in a row
	avoid   atomic.Int64 // nanoseconds on the boot clock
	full    atomic.Int64 // rejected requests until then
}

func newWorker(s Server, now time.Time) *Worker {
	w := &Worker{Server: s, joined: now}
	w.Transport = tcp.NewTransport(tcp.Config{DialTimeout: dialTimeout, IdleTimeout: idleTimeout})
	w.leaving.Store(s.Leaving)
	return w
}

// idleTimeout is below the time after which servers close idle connections, so
// that a request rarely meets a closing one.
const idleTimeout = 4 * time.Second

// Usable reports whether the server may be sent new requests.
func (w *Worker) Usable() bool { return !w.leaving.Load() }

// newFor is how long a server counts as new: then it has read, or fetched, the
// prefixes that are in use.
const newFor = 10 * time.Second

// New reports whether the server joined lately.
func (w *Worker) New(now time.Time) bool { return now.Sub(w.joined) < newFor }

// Begin records a request with prompt tokens that is sent at now.
func (w *Worker) Begin(tokens int64, now time.Time) {
	if w.running.Add(1) == 1 {
		w.idle.Store(now.UnixNano())
	}
	w.pending.Add(tokens)
}

// Read records that the server has read the tokens of a request.
func (w *Worker) Read(tokens int64) { w.pending.Add(-tokens) }

// End records the end of a request.
func (w *Worker) End() { w.running.Add(-1) }

// Running returns the requests of this instance that the server works on.
func (w *Worker) Running() int { return int(w.running.Load()) }

// Pending returns the prompt tokens that the server still has to read for this
// instance.
func (w *Worker) Pending() int64 { return w.pending.Load() }

// Heard records that bytes came from the server at now.
func (w *Worker) Heard(now time.Time) { w.heard.Store(now.UnixNano()) }

// Succeeded records a complete answer.
func (w *Worker) Succeeded(now time.Time) {
	w.Heard(now)
	w.failed.Store(0)
	w.avoid.Store(0)
}

// Failed records a failure for which the server may be to blame.
func (w *Worker) Failed(now time.Time) {
	n := w.failed.Add(1)
	pause := avoidMost
	if n < 5 {
		pause = min(avoidMost, avoidFirst<<(n-1))
	}
	w.avoid.Store(now.Add(pause).UnixNano())
}

// Rejected records that the server was full at now.
func (w *Worker) Rejected(now time.Time, pause time.Duration) {
	w.Heard(now)
	w.full.Store(now.Add(pause).UnixNano())
}

// Suspect reports whether other servers are to be preferred.
func (w *Worker) Suspect(now time.Time) bool {
	n := now.UnixNano()
	if n < w.avoid.Load() || n < w.full.Load() {
		return true
	}
	if w.running.Load() == 0 {
		return false
	}
	since := max(w.heard.Load(), w.idle.Load())
	return n-since > int64(silenceAfter)
}
