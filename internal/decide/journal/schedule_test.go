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

// world is a model of one shard: a store, writers that batch, calls that
// clients resend through other instances, and a network that delays writes,
// loses answers and reorders.
type world struct {
	random   *rand.Rand
	now      time.Time
	value    *Shard
	revision int64
	outage   bool
	nodes    [3]writer
	flight   []*write
	calls    []*call
	runs     [2]int
	ran      [2]string // the attempt that ran
	fault    string
}

// writer models the writer of one instance.
type writer struct {
	incarnation int
	paused      bool
	cache       *Shard
	revision    int64
	batch       uint64
	queue       []request
	ops         []request // the batch in progress
	results     []Result
	sent        *write
}

type request struct {
	op    Op
	call  *call // nil if nobody waits
	where Where
}

// write is a compare-and-swap on its way; it can arrive long after the writer
// has given up on it.
type write struct {
	next       *Shard
	ifRevision int64
	answer     int // 0 none yet, 1 done, 2 conflict
	revision   int64
}

type call struct {
	key         int
	attempt     string
	origin      int
	incarnation int
	where       Where
	state       state
	told        bool // the client was told that the attempt did not run
}

type state int

const (
	waiting state = iota
	reserved
	ran
	closed
	notRun
)

func (w *world) chance(n int) bool { return w.random.IntN(n) == 0 }

func keyOf(n int) Key { return Key{byte(n + 1)} }

// step lets one actor do one thing.
func (w *world) step() {
	switch n := w.random.IntN(32); {
	case n < 3 && len(w.calls) < 8:
		w.arrive()
	case n < 16:
		w.work(w.random.IntN(len(w.nodes)))
	case n < 22 && len(w.flight) > 0:
		w.deliver(w.random.IntN(len(w.flight)))
	case n < 29 && len(w.calls) > 0:
		w.proceed(w.calls[w.random.IntN(len(w.calls))])
	case n == 29:
		w.outage = w.chance(3)
	case n == 30:
		w.nodes[w.random.IntN(len(w.nodes))].paused = w.chance(2)
		w.now = w.now.Add(time.Duration(w.random.IntN(60)) * time.Second)
	case n == 31 && w.chance(3):
		i := w.random.IntN(len(w.nodes))
		w.nodes[i] = writer{incarnation: w.nodes[i].incarnation + 1}
	}
}

// arrive starts an attempt at any instance; each believes in any owner.
func (w *world) arrive() {
	c := &call{key: w.random.IntN(len(w.runs)), attempt: fmt.Sprint("a", len(w.calls)), origin: w.random.IntN(len(w.nodes))}
	c.incarnation = w.nodes[c.origin].incarnation
	w.calls = append(w.calls, c)
	owner := w.random.IntN(len(w.nodes))
	if owner == c.origin {
		c.where = AtSelf
	}
	w.reserve(owner, c)
}

func (w *world) reserve(node int, c *call) {
	w.enqueue(node, request{op: Op{Kind: Reserve, Key: keyOf(c.key), Attempt: c.attempt, Fingerprint: 1}, call: c, where: c.where})
}

func (w *world) enqueue(node int, r request) {
	w.nodes[node].queue = append(w.nodes[node].queue, r)
}

// work advances a writer.
func (w *world) work(i int) {
	n := &w.nodes[i]
	switch {
	case n.paused:
	case n.sent != nil && n.sent.answer == 1 && !w.chance(6):
		n.cache, n.revision = n.sent.next, n.sent.revision
		w.finish(n, true)
	case n.sent != nil && (n.sent.answer == 2 || w.chance(3)): // conflict, or the answer is lost
		w.readBack(i, n)
	case n.sent != nil:
	case n.ops != nil:
		w.begin(i, n)
	case len(n.queue) > 0:
		n.ops, n.queue = n.queue, nil
		w.begin(i, n)
	}
}

// begin applies the batch to the cached value and sends the write.
func (w *world) begin(i int, n *writer) {
	if n.cache == nil && !w.read(n) {
		w.finish(n, false)
		return
	}
	ops := make([]Op, len(n.ops))
	for j, r := range n.ops {
		ops[j] = r.op
	}
	n.batch++
	next, results, changed := Apply(n.cache, ops, fmt.Sprint(i, "/", n.incarnation), n.batch, w.now)
	n.results = results
	if !changed {
		w.finish(n, true)
		return
	}
	n.sent = &write{next: next, ifRevision: n.revision}
	w.flight = append(w.flight, n.sent)
}

func (w *world) read(n *writer) bool {
	if w.outage {
		return false
	}
	n.cache, n.revision = w.value, w.revision
	return true
}

func (w *world) readBack(i int, n *writer) {
	sent := n.sent
	n.sent, n.cache = nil, nil
	if !w.read(n) {
		w.finish(n, false)
		return
	}
	if Settle(n.cache, sent.next.Writer, sent.next.Batch) == Landed {
		w.finish(n, true)
		return
	}
	w.begin(i, n)
}

// finish answers the batch; operations that nobody waits for are repeated.
func (w *world) finish(n *writer, ok bool) {
	ops, results := n.ops, n.results
	n.ops, n.results, n.sent = nil, nil, nil
	if !ok {
		n.cache = nil
	}
	for j, r := range ops {
		switch {
		case r.call == nil && !ok:
			n.queue = append(n.queue, r)
		case r.call == nil || r.where == AtOwner && w.chance(6): // answer to a peer is lost
		case ok:
			w.answer(r.call, r.where, true, results[j])
		default:
			w.answer(r.call, r.where, false, Result{})
		}
	}
}

func (w *world) deliver(i int) {
	f := w.flight[i]
	w.flight = append(w.flight[:i], w.flight[i+1:]...)
	if w.outage {
		return // lost before it took effect; the writer only sees no answer
	}
	f.answer = 2
	if f.ifRevision == w.revision {
		w.revision++
		w.value = f.next
		f.answer, f.revision = 1, w.revision
	}
}

func (w *world) alive(c *call) bool { return w.nodes[c.origin].incarnation == c.incarnation }

// answer is what the instance that received the call does.
func (w *world) answer(c *call, where Where, answered bool, r Result) {
	if c.state != waiting || c.where != where || !w.alive(c) {
		return
	}
	switch Next(where, answered, r.Status) {
	case Use:
		w.use(c, r)
	case TrySelf:
		c.where = AtSelf
		w.reserve(c.origin, c)
	case Reject:
		c.state, c.told = notRun, true
	case RejectAndRemove:
		c.state, c.told = notRun, true
		w.enqueue(c.origin, request{op: Op{Kind: Remove, Key: keyOf(c.key), Attempt: c.attempt}})
	}
}

func (w *world) use(c *call, r Result) {
	c.state = closed
	switch r.Status {
	case Reserved:
		c.state = reserved
	case Unavailable, Full:
		w.fault = fmt.Sprintf("%s: got answer %v to use, want it rejected as not run", c.attempt, r.Status)
	case Done:
		if w.runs[c.key] == 0 || string(r.Response.Body) != w.ran[c.key] {
			w.fault = fmt.Sprintf("%s got the response of %q, want that of the attempt that ran, %q", c.attempt, r.Response.Body, w.ran[c.key])
		}
	}
}

// proceed advances a call: a deadline passes, it runs, or it is completed.
func (w *world) proceed(c *call) {
	if !w.alive(c) {
		return
	}
	switch c.state {
	case waiting:
		if w.chance(4) {
			w.answer(c, c.where, false, Result{})
		}
	case reserved:
		if w.chance(4) { // the backend server proves that it did not run it
			c.state, c.told = notRun, true
			w.enqueue(w.random.IntN(len(w.nodes)), request{op: Op{Kind: Remove, Key: keyOf(c.key), Attempt: c.attempt}})
			return
		}
		c.state = ran
		w.runs[c.key]++
		w.ran[c.key] = c.attempt
		if c.told {
			w.fault = fmt.Sprintf("%s ran after its client was told not-run", c.attempt)
		}
		if w.runs[c.key] > 1 {
			w.fault = fmt.Sprintf("key %d: got %d runs, want at most 1; the last by %s", c.key, w.runs[c.key], c.attempt)
		}
	case ran:
		c.state = closed
		response := &Response{Status: 200, Body: []byte(c.attempt)}
		w.enqueue(w.random.IntN(len(w.nodes)), request{op: Op{Kind: Complete, Key: keyOf(c.key), Attempt: c.attempt, Response: response}})
	}
}

func runSchedule(seed uint64) (w *world) {
	w = &world{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), value: new(Shard)}
	for range steps {
		if w.step(); w.fault != "" {
			return w
		}
	}
	return w
}

// Guards against a second run of a key and against a response of another run,
// under crashes, pauses, lost answers, delayed writes, resends through other
// instances and outages. Runs on seeds 1 to 100,000; a failure names its seed.
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
				w := runSchedule(seed)
				if w.fault != "" {
					t.Errorf("seed %d: %s", seed, w.fault)
				}
				for k, n := range w.runs {
					ran.Add(uint64(n))
					if e, ok := w.value.Entries[keyOf(k)]; ok && e.Done {
						done.Add(1)
					}
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d schedules, %d runs, %d of them recorded as done", schedules, ran.Load(), done.Load())
	if ran.Load() < schedules/2 {
		t.Errorf("schedules are too unlucky to show anything: got %d runs, want at least %d", ran.Load(), schedules/2)
	}
}
