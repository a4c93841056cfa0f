package pool

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"wasabiworks.example/wasabiworks/internal/backend/tcp"
	"wasabiworks.example/wasabiworks/internal/decide/coldstart"
	"wasabiworks.example/wasabiworks/internal/decide/evacuation"
	"wasabiworks.example/wasabiworks/internal/decide/speed"
)

// Registration is the registration of one process of a backend server.
type Registration struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Version       string
	// Slots is the number of requests that run concurrently; 0 means unknown.
	Slots int
	// Reclaimable servers may be reclaimed at short notice.
	Reclaimable bool
	// Leaving servers get no new requests.
	Leaving bool
	// Incarnation distinguishes the processes that run under one ID.
	Incarnation int64
	// ColdLeft is for how long the server stays cold, as of when it wrote this. Put
	// reads it; Worker.Cold tells whether the server is cold.
	ColdLeft time.Duration
	// Revision is the revision of the server's entry in the store, or 0 if it is
	// unknown.
	Revision int64
}

const (
	// dialTimeout is the timeout for connecting. A server accepts within
	// milliseconds; one that is partitioned or gone doesn't respond at all.
	dialTimeout = 400 * time.Millisecond
	// silenceTimeout is how long a server with requests of this instance may
	// send nothing before other servers are preferred.
	silenceTimeout = 900 * time.Millisecond
	// minAvoidance is how long a server is avoided after a failure; each further
	// consecutive failure doubles it up to maxAvoidance.
	minAvoidance = 500 * time.Millisecond
	maxAvoidance = 4 * time.Second
)

// Worker is a backend server with this instance's connections to it. Its
// methods are safe for concurrent use.
type Worker struct {
	Registration
	Transport *http.Transport
	// Prompts records the parts of prompts that the server has read.
	Prompts Prompts
	// Speed is the speed of the process relative to the servers of its service.
	Speed speed.Server

	processID string // result of Process

	// coldLimit is the limit for cold servers of the server's service.
	coldLimit atomic.Pointer[coldstart.Limit]

	// Times are read from the clock of package boottime; those stored as integers
	// are in nanoseconds.

	joined        time.Time
	state         *processState
	shared        *sharedState
	retired       atomic.Bool  // no longer in the pool
	running       atomic.Int64 // requests sent and not yet ended
	pendingTokens atomic.Int64 // prompt tokens of requests whose first response event has not arrived
	lastReceived  atomic.Int64 // when data last arrived from the server
	busySince     atomic.Int64 // when running last rose from 0
	failures      atomic.Int64 // consecutive failures
	avoidUntil    atomic.Int64 // set by a failure
	fullUntil     atomic.Int64 // set by a rejection
	// noPlaceUntil is set by a tracker without a free place, and unclaimedUsed is the time up to
	// which this instance has used its part of the requests without a claim.
	noPlaceUntil, unclaimedUsed atomic.Int64
}

func newWorker(s Registration, state *processState, shared *sharedState, now time.Time) *Worker {
	w := &Worker{Registration: s, processID: s.ID + "/" + strconv.FormatInt(s.Incarnation, 10), joined: now, state: state, shared: shared}
	w.setColdLimit()
	w.Transport = tcp.NewTransport(tcp.Config{DialTimeout: dialTimeout, IdleTimeout: idleTimeout})
	return w
}

// idleTimeout is shorter than the time after which servers close idle
// connections, so that a request is rarely sent on one that is being closed.
const idleTimeout = 4 * time.Second

// Usable reports whether the server is registered, not leaving, and not in an
// evacuated failure domain.
func (w *Worker) Usable() bool {
	return !w.retired.Load() && !w.state.leaving.Load() && !w.Evacuated()
}

// newServerPeriod is how long a server counts as new. By then it is assumed to
// have read or fetched the prefixes that are in use.
const newServerPeriod = 10 * time.Second

// RecentlyJoined reports whether the server joined less than newServerPeriod ago, or
// its failure domain has just been returned to service.
func (w *Worker) RecentlyJoined(now time.Time) bool {
	return now.Sub(w.joined) < newServerPeriod || w.shared.domains.Load().Use(w.FailureDomain, now) == evacuation.Returning
}

// Begin records that a request is sent at now, and the number of its prompt
// tokens that the server still has to read.
func (w *Worker) Begin(tokens int64, now time.Time) {
	if w.running.Add(1) == 1 {
		w.busySince.Store(now.UnixNano())
	}
	w.pendingTokens.Add(tokens)
}

// PromptRead removes the prompt tokens that were passed to Begin, once the server has
// read them or the request has ended.
func (w *Worker) PromptRead(tokens int64) { w.pendingTokens.Add(-tokens) }

// End records the end of a request.
func (w *Worker) End() { w.running.Add(-1) }

// Running returns the number of requests of this instance that are running on
// the server.
func (w *Worker) Running() int { return int(w.running.Load()) }

// PendingTokens returns the number of prompt tokens that the server still has to read
// for this instance.
func (w *Worker) PendingTokens() int64 { return w.pendingTokens.Load() }

// Received records that data arrived from the server at now.
func (w *Worker) Received(now time.Time) { w.lastReceived.Store(now.UnixNano()) }

// Succeeded records a complete response.
func (w *Worker) Succeeded(now time.Time) {
	w.Received(now)
	w.failures.Store(0)
	w.avoidUntil.Store(0)
}

// Failed records a failure that the server may have caused.
func (w *Worker) Failed(now time.Time) {
	n := w.failures.Add(1)
	avoidance := maxAvoidance
	if n < 5 {
		avoidance = min(maxAvoidance, minAvoidance<<(n-1))
	}
	w.avoidUntil.Store(now.Add(avoidance).UnixNano())
}

// Rejected records that the server was full at now. Other servers are preferred
// for the duration fullFor.
func (w *Worker) Rejected(now time.Time, fullFor time.Duration) {
	w.Received(now)
	w.fullUntil.Store(now.Add(fullFor).UnixNano())
}

// Avoided reports whether other servers should be preferred because of a failure or a
// rejection.
func (w *Worker) Avoided(now time.Time) bool {
	n := now.UnixNano()
	return n < w.avoidUntil.Load() || n < w.fullUntil.Load()
}

// Suspect reports whether other servers should be preferred, because of a failure, a rejection
// or silence.
func (w *Worker) Suspect(now time.Time) bool {
	if w.Avoided(now) {
		return true
	}
	if w.running.Load() == 0 {
		return false
	}
	since := max(w.lastReceived.Load(), w.busySince.Load())
	return now.UnixNano()-since > int64(silenceTimeout)
}
