package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/admission"
	"wasabiworks.example/wasabiworks/internal/operator/routes"
)

const (
	// recheckInterval is the time between two checks of whether a waiting request can be
	// sent, in addition to those that events cause. Not all reasons for which a server
	// becomes usable have an event.
	recheckInterval = 20 * time.Millisecond
	// maxExamineTime is the time after which another request is examined although the
	// current one has neither been sent nor returned to the queue.
	maxExamineTime = 20 * time.Millisecond
	// waitingRequestBytes is the memory of a waiting request besides a large body: its
	// goroutine, its buffers and a small body.
	waitingRequestBytes = 64 << 10
	// minWaiting is the number of requests that may always wait for a service.
	minWaiting = 64
)

// queueEntry is a request in the queue of a service.
type queueEntry = admission.Entry[chan signal]

// signal tells a waiting request that it has left the queue.
type signal uint8

const (
	examine signal = iota // the request is to be examined: a server may take it, or it may have to be refused
	refuse                // the request has waited for as long as it may, or was shed
)

// waitersConfig configures waiters.
type waitersConfig struct {
	Limits admission.Config
	// UsableAt returns the time from which on a server of a service may get requests, or
	// the zero time if it is unknown.
	UsableAt func(service string, now time.Time) time.Time
	// Table returns the current table, and Stopping whether a planned stop refuses
	// requests that were not sent yet.
	Table    func() *routes.Table
	Stopping func() bool
	Now      func() time.Time
}

// waiters holds the requests that wait for a server. It examines them one after another,
// so that each choice of a server takes the ones before into account.
type waiters struct {
	config waitersConfig
	count  atomic.Int64 // of requests in the queues

	mu     sync.Mutex // never held during a call of config
	queues map[string]*serviceQueue
}

// serviceQueue holds the waiting requests of a service.
type serviceQueue struct {
	requests *admission.Queue[chan signal]
	// current is the request that is being examined, until examineUntil; nil if there
	// is none.
	current      *queueEntry
	examineUntil time.Time
	checked      sendConditions // as of the last check
	timer        *time.Timer
}

// sendConditions are what requests are validated against before they are sent. All waiting
// requests are examined when they change.
type sendConditions struct {
	table    *routes.Table
	stopping bool
}

func (c *waitersConfig) conditions() sendConditions {
	return sendConditions{c.Table(), c.Stopping()}
}

func newWaiters(c waitersConfig) *waiters {
	return &waiters{config: c, queues: make(map[string]*serviceQueue)}
}

// queue returns the queue of a service. The caller holds the lock.
func (w *waiters) queue(service string) *serviceQueue {
	q, ok := w.queues[service]
	if !ok {
		q = &serviceQueue{requests: admission.NewQueue[chan signal](w.config.Limits)}
		q.timer = time.AfterFunc(time.Hour, func() { w.check(service) })
		q.timer.Stop()
		w.queues[service] = q
	}
	return q
}

// offer adds a request to the queue of a service, and returns its entry and its position.
func (w *waiters) offer(service string, r admission.Request, holdUntil time.Time) (e *queueEntry, position int) {
	now, current := w.config.Now(), w.config.conditions()
	w.mu.Lock()
	q := w.queue(service)
	if q.requests.Len() == 0 {
		q.checked = current
	}
	position = q.requests.Position(&r, now)
	e, shed := q.requests.Offer(r, make(chan signal, 1), holdUntil, now)
	for _, other := range shed {
		other.Value <- refuse
	}
	w.count.Add(1 - int64(len(shed)))
	w.mu.Unlock()
	w.check(service)
	return e, position
}

// resume returns a request to the queue of a service that could not be sent.
func (w *waiters) resume(service string, e *queueEntry, holdUntil time.Time) {
	w.mu.Lock()
	w.queue(service).requests.Return(e, holdUntil)
	w.count.Add(1)
	w.mu.Unlock()
	w.endExamination(service, e, false)
}

// remove takes a request out of the queue of a service, if it is still in it.
func (w *waiters) remove(service string, e *queueEntry) {
	w.mu.Lock()
	if w.queue(service).requests.Remove(e) {
		w.count.Add(-1)
	}
	w.mu.Unlock()
}

// endExamination ends the examination of a request, and begins that of the next one. sent
// reports whether the request was sent.
func (w *waiters) endExamination(service string, e *queueEntry, sent bool) {
	now := w.config.Now()
	w.mu.Lock()
	q := w.queue(service)
	if q.current == e {
		q.current = nil
	}
	if sent {
		q.requests.Sent(e, now)
	}
	w.mu.Unlock()
	w.check(service)
}

// hasMoreUrgent reports whether requests for a service wait that are more urgent than
// urgency.
func (w *waiters) hasMoreUrgent(service string, urgency int) bool {
	if w.count.Load() == 0 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	q, ok := w.queues[service]
	return ok && q.requests.Ahead(urgency) > 0
}

// length returns the number of waiting requests of an urgency.
func (w *waiters) length(urgency int) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, q := range w.queues {
		n += q.requests.LenOf(urgency)
	}
	return n
}

// checkAll checks the queues of all services.
func (w *waiters) checkAll() {
	if w.count.Load() == 0 {
		return
	}
	w.mu.Lock()
	services := make([]string, 0, len(w.queues))
	for name, q := range w.queues {
		if q.requests.Len() > 0 {
			services = append(services, name)
		}
	}
	w.mu.Unlock()
	for _, name := range services {
		w.check(name)
	}
}

// check refuses the requests of a service that may wait no longer, and lets the next one
// be examined if a server may take it. All of them are examined if the conditions have
// changed.
func (w *waiters) check(service string) {
	if w.count.Load() == 0 {
		return
	}
	now := w.config.Now()
	usableAt, current := w.config.UsableAt(service, now), w.config.conditions()
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.queue(service)
	before := q.requests.Len()
	if current != q.checked {
		q.checked = current
		q.examineAll()
	}
	for _, e := range q.requests.Expire(now) {
		e.Value <- refuse
	}
	if q.current != nil && now.After(q.examineUntil) {
		q.current = nil
	}
	if !usableAt.IsZero() && !usableAt.After(now) && q.current == nil {
		q.examineNext(now)
	}
	w.count.Add(int64(q.requests.Len() - before))
	q.schedule(usableAt, now)
}

// examineAll lets all requests be examined.
func (q *serviceQueue) examineAll() {
	for _, e := range q.requests.Drain() {
		e.Value <- examine
	}
}

// examineNext lets the next request be examined, if one is ready.
func (q *serviceQueue) examineNext(now time.Time) {
	if e := q.requests.Next(now); e != nil {
		q.current, q.examineUntil = e, now.Add(maxExamineTime)
		e.Value <- examine
	}
}

// schedule sets the timer for the next check.
func (q *serviceQueue) schedule(usableAt, now time.Time) {
	if q.requests.Len() == 0 {
		q.timer.Stop()
		return
	}
	pause := min(recheckInterval, q.requests.Wake(now).Sub(now))
	if usableAt.After(now) {
		pause = min(pause, usableAt.Sub(now))
	}
	q.timer.Reset(pause)
}
