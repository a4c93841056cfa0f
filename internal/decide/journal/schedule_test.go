package journal

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	schedules = 100_000
	steps     = 180
)

// model simulates one shard: a store, the writers of several instances, which
// batch operations, calls that clients repeat through other instances, and a
// network that delays and reorders writes and loses responses.
type model struct {
	random     *rand.Rand
	now        time.Time
	value      *Shard
	revision   int64
	outage     bool
	writers    [3]writer
	inFlight   []*write
	calls      []*call
	runs       [2]int
	ranAttempt [2]string // attempt that ran, by key
	violation  string
}

// writer simulates how one instance batches the operations on the shard and writes
// it to the store.
type writer struct {
	incarnation int
	paused      bool
	cache       *Shard
	revision    int64
	batch       uint64
	queue       []request
	inProgress  []request // batch being written
	results     []Result
	sent        *write
}

type request struct {
	op       Op
	call     *call // nil for a background operation, whose result has no receiver
	location Location
}

// write is a compare-and-swap in transit. It can reach the store long after its
// writer stopped waiting for it.
type write struct {
	next       *Shard
	ifRevision int64
	reply      int // 0: none yet, 1: done, 2: conflict
	revision   int64
}

type call struct {
	key            int
	attempt        string
	origin         int
	incarnation    int
	location       Location
	state          state
	reportedNotRun bool // the client was informed that the attempt did not run
}

type state int

const (
	waiting state = iota
	reserved
	ran
	finished
	notRun
)

// oneIn returns true with probability 1/n.
func (m *model) oneIn(n int) bool { return m.random.IntN(n) == 0 }

func keyOf(n int) Key { return Key{byte(n + 1)} }

// step performs one random event: an action of a call, a writer or the network,
// or a fault.
func (m *model) step() {
	switch n := m.random.IntN(32); {
	case n < 3 && len(m.calls) < 8:
		m.startCall()
	case n < 16:
		m.advanceWriter(m.random.IntN(len(m.writers)))
	case n < 22 && len(m.inFlight) > 0:
		m.deliverWrite(m.random.IntN(len(m.inFlight)))
	case n < 29 && len(m.calls) > 0:
		m.advanceCall(m.calls[m.random.IntN(len(m.calls))])
	case n == 29:
		m.outage = m.oneIn(3)
	case n == 30:
		m.writers[m.random.IntN(len(m.writers))].paused = m.oneIn(2)
		m.now = m.now.Add(time.Duration(m.random.IntN(60)) * time.Second)
	case n == 31 && m.oneIn(3):
		i := m.random.IntN(len(m.writers))
		m.writers[i] = writer{incarnation: m.writers[i].incarnation + 1}
	}
}

// startCall starts an attempt at a random instance. The owner is random as well,
// because instances may disagree about the owner of a shard.
func (m *model) startCall() {
	c := &call{key: m.random.IntN(len(m.runs)), attempt: fmt.Sprint("a", len(m.calls)), origin: m.random.IntN(len(m.writers))}
	c.incarnation = m.writers[c.origin].incarnation
	m.calls = append(m.calls, c)
	owner := m.random.IntN(len(m.writers))
	if owner == c.origin {
		c.location = AtSelf
	}
	m.reserve(owner, c)
}

func (m *model) reserve(instance int, c *call) {
	m.enqueue(instance, request{op: Op{Kind: Reserve, Key: keyOf(c.key), Attempt: c.attempt, Fingerprint: 1}, call: c, location: c.location})
}

func (m *model) enqueue(instance int, r request) {
	m.writers[instance].queue = append(m.writers[instance].queue, r)
}

// advanceWriter performs the next step of writer i, if it has one.
func (m *model) advanceWriter(i int) {
	w := &m.writers[i]
	switch {
	case w.paused:
	case w.sent != nil && w.sent.reply == 1 && !m.oneIn(6):
		w.cache, w.revision = w.sent.next, w.sent.revision
		m.finishBatch(w, true)
	case w.sent != nil && (w.sent.reply == 2 || m.oneIn(3)): // conflict, or the response is lost
		m.readBack(i, w)
	case w.sent != nil:
	case w.inProgress != nil:
		m.sendBatch(i, w)
	case len(w.queue) > 0:
		w.inProgress, w.queue = w.queue, nil
		m.sendBatch(i, w)
	}
}

// sendBatch applies the batch of writer i to its cached value and sends the write
// if the value changed.
func (m *model) sendBatch(i int, w *writer) {
	if w.cache == nil && !m.read(w) {
		m.finishBatch(w, false)
		return
	}
	ops := make([]Op, len(w.inProgress))
	for j, r := range w.inProgress {
		ops[j] = r.op
	}
	w.batch++
	next, results, changed := Apply(w.cache, ops, fmt.Sprint(i, "/", w.incarnation), w.batch, m.now)
	w.results = results
	if !changed {
		m.finishBatch(w, true)
		return
	}
	w.sent = &write{next: next, ifRevision: w.revision}
	m.inFlight = append(m.inFlight, w.sent)
}

func (m *model) read(w *writer) bool {
	if m.outage {
		return false
	}
	w.cache, w.revision = m.value, m.revision
	return true
}

func (m *model) readBack(i int, w *writer) {
	sent := w.sent
	w.sent, w.cache = nil, nil
	if !m.read(w) {
		m.finishBatch(w, false)
		return
	}
	if ResolveWrite(w.cache, sent.next.Writer, sent.next.Batch) == TookEffect {
		m.finishBatch(w, true)
		return
	}
	m.sendBatch(i, w)
}

// finishBatch delivers the results of a batch. Background operations that failed
// are queued again.
func (m *model) finishBatch(w *writer, ok bool) {
	ops, results := w.inProgress, w.results
	w.inProgress, w.results, w.sent = nil, nil, nil
	if !ok {
		w.cache = nil
	}
	for j, r := range ops {
		switch {
		case r.call == nil && !ok:
			w.queue = append(w.queue, r)
		case r.call == nil || r.location == AtOwner && m.oneIn(6): // the result is lost on its way to a peer
		case ok:
			m.handleResult(r.call, r.location, true, results[j])
		default:
			m.handleResult(r.call, r.location, false, Result{})
		}
	}
}

func (m *model) deliverWrite(i int) {
	f := m.inFlight[i]
	m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
	if m.outage {
		return // lost before it took effect; the writer receives no response
	}
	f.reply = 2
	if f.ifRevision == m.revision {
		m.revision++
		m.value = f.next
		f.reply, f.revision = 1, m.revision
	}
}

// originRunning reports whether the instance that received c is still running. It
// is false after a restart of the instance.
func (m *model) originRunning(c *call) bool { return m.writers[c.origin].incarnation == c.incarnation }

// handleResult simulates how the instance that received call c acts on the result
// of a reservation.
func (m *model) handleResult(c *call, location Location, answered bool, r Result) {
	if c.state != waiting || c.location != location || !m.originRunning(c) {
		return
	}
	switch NextAction(location, answered, r.Status) {
	case UseResult:
		m.useResult(c, r)
	case TrySelf:
		c.location = AtSelf
		m.reserve(c.origin, c)
	case Reject:
		c.state, c.reportedNotRun = notRun, true
	case RejectAndRemove:
		c.state, c.reportedNotRun = notRun, true
		m.enqueue(c.origin, request{op: Op{Kind: Remove, Key: keyOf(c.key), Attempt: c.attempt}})
	}
}

func (m *model) useResult(c *call, r Result) {
	c.state = finished
	switch r.Status {
	case Reserved:
		c.state = reserved
	case Unavailable, Full:
		m.violation = fmt.Sprintf("%s: action UseResult for status %v, want a rejection", c.attempt, r.Status)
	case Done:
		if m.runs[c.key] == 0 || string(r.Response.Body) != m.ranAttempt[c.key] {
			m.violation = fmt.Sprintf("%s got the response of %q, want that of the attempt that ran, %q", c.attempt, r.Response.Body, m.ranAttempt[c.key])
		}
	}
}

// advanceCall performs the next step of a call: its deadline passes, it runs, or
// it is completed.
func (m *model) advanceCall(c *call) {
	if !m.originRunning(c) {
		return
	}
	switch c.state {
	case waiting:
		if m.oneIn(4) {
			m.handleResult(c, c.location, false, Result{})
		}
	case reserved:
		if m.oneIn(4) { // the backend server proves that the call did not run
			c.state, c.reportedNotRun = notRun, true
			m.enqueue(m.random.IntN(len(m.writers)), request{op: Op{Kind: Remove, Key: keyOf(c.key), Attempt: c.attempt}})
			return
		}
		c.state = ran
		m.runs[c.key]++
		m.ranAttempt[c.key] = c.attempt
		if c.reportedNotRun {
			m.violation = fmt.Sprintf("%s ran after its client was informed that it did not run", c.attempt)
		}
		if m.runs[c.key] > 1 {
			m.violation = fmt.Sprintf("key %d: got %d runs, want at most 1; the last by %s", c.key, m.runs[c.key], c.attempt)
		}
	case ran:
		c.state = finished
		response := &Response{Status: 200, Body: []byte(c.attempt)}
		m.enqueue(m.random.IntN(len(m.writers)), request{op: Op{Kind: Complete, Key: keyOf(c.key), Attempt: c.attempt, Response: response}})
	}
}

func runSchedule(seed uint64) (m *model) {
	m = &model{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), value: new(Shard)}
	for range steps {
		if m.step(); m.violation != "" {
			return m
		}
	}
	return m
}

// Guards against a second run of a key and against a response from a different
// run, under crashes, pauses, lost responses, delayed writes, calls repeated
// through other instances, and store outages. Runs seeds 1 to 100,000; a failure
// message contains the seed.
func TestAtMostOneRunOnRandomSchedules(t *testing.T) {
	var next, ran, done atomic.Uint64
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for !t.Failed() {
				seed := next.Add(1)
				if seed > schedules {
					return
				}
				m := runSchedule(seed)
				if m.violation != "" {
					t.Errorf("seed %d: %s", seed, m.violation)
				}
				for k, n := range m.runs {
					ran.Add(uint64(n))
					if e, ok := m.value.Entries[keyOf(k)]; ok && e.Done {
						done.Add(1)
					}
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d schedules, %d runs, %d of them recorded as done", schedules, ran.Load(), done.Load())
	if ran.Load() < schedules/2 {
		t.Errorf("too few calls ran for the schedules to be meaningful: got %d runs, want at least %d", ran.Load(), schedules/2)
	}
}
