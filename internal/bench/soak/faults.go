package soak

import (
	"context"
	"net/http"
	"os"
	"syscall"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/metastore"
	"wasabiworks.example/wasabiworks/internal/bench/worker"
)

// settle is the time that instances have before the first fault.
const settle = 3 * time.Second

// disturb injects one fault after the other until ctx ends. Faults overlap: the
// next one comes before the last one is over.
func (r *run) disturb(ctx context.Context) {
	pause(ctx, settle)
	for ctx.Err() == nil {
		r.fault(ctx)
		pause(ctx, time.Duration(200+r.random.IntN(1200))*time.Millisecond)
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// fault injects one fault.
func (r *run) fault(ctx context.Context) {
	i := r.instances[r.random.IntN(len(r.instances))]
	w := r.workers[r.random.IntN(len(r.workers))]
	last := time.Duration(500+r.random.IntN(5000)) * time.Millisecond
	switch r.random.IntN(12) {
	case 0:
		r.restart(i, syscall.SIGKILL)
	case 1:
		r.restart(i, syscall.SIGTERM)
	case 2:
		r.freeze(ctx, i, last)
	case 3, 4:
		r.disturbInstance(i)
		i.link.set([]mode{silent, slow, refuse}[r.random.IntN(3)])
		r.later(ctx, last, func() {
			i.link.set(pass)
			r.disturbInstance(i)
		})
	case 5:
		r.disturbInstance(i)
		i.link.reset()
	case 6:
		faults := []metastore.Faults{{Silent: true}, {Refuse: http.StatusServiceUnavailable}, {Refuse: http.StatusTooManyRequests}, {LoseAnswers: true}}
		r.disturbStore()
		r.store.SetFaults(faults[r.random.IntN(len(faults))])
		r.later(ctx, last, func() {
			r.store.SetFaults(metastore.Faults{})
			r.disturbStore()
		})
	case 7:
		r.disturbStore()
		r.store.Compact()
	case 8, 9:
		faults := []worker.Fault{worker.Reset, worker.Cut, worker.Unsealed, worker.Foreign, worker.Extra, worker.Full, worker.Fail, worker.Hang}
		w.SetFault(faults[r.random.IntN(len(faults))])
		r.later(ctx, last, func() { w.SetFault(worker.None) })
	case 10:
		r.leave(ctx, w)
	case 11:
		r.toggleKey()
	}
}

// later undoes a fault in the background.
func (r *run) later(ctx context.Context, d time.Duration, undo func()) {
	go func() {
		pause(ctx, d)
		undo()
	}()
}

func (r *run) disturbInstance(i *instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i.disturbed = time.Now()
}

func (r *run) disturbStore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbed = time.Now()
}

// restart ends an instance with a signal, waits for its end and starts it again.
func (r *run) restart(i *instance, s os.Signal) {
	r.disturbInstance(i)
	if err := i.cmd.Process.Signal(s); err != nil {
		return // it has ended by itself; check tells
	}
	_ = i.cmd.Wait() // a killed process reports that
	if err := r.launch(i); err != nil {
		r.breaks("instance " + i.name + " does not start: " + err.Error())
	}
	r.disturbInstance(i)
}

// freeze stops an instance for a while.
func (r *run) freeze(ctx context.Context, i *instance, d time.Duration) {
	r.disturbInstance(i)
	if err := i.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return
	}
	pause(ctx, d)
	_ = i.cmd.Process.Signal(syscall.SIGCONT)
	r.disturbInstance(i)
}

// leave lets a server leave and come back.
func (r *run) leave(ctx context.Context, w *server) {
	r.mu.Lock()
	if !w.leaving.IsZero() {
		r.mu.Unlock()
		return
	}
	r.mu.Unlock()
	if r.random.IntN(2) == 0 {
		r.register(w, "draining")
	} else {
		r.store.Remove("servers/" + w.ID)
	}
	r.mu.Lock()
	w.leaving = time.Now()
	r.mu.Unlock()
	r.later(ctx, 2*leaveWithin, func() {
		r.late(w)
		r.store.Remove("servers/" + w.ID)
		r.mu.Lock()
		w.leaving = time.Time{}
		r.mu.Unlock()
		r.register(w, "ready")
	})
}

// late checks the requests that a server ran after it should have got none.
func (r *run) late(w *server) {
	runs := w.Runs()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range runs {
		q, ok := r.requests[v.Request]
		if ok && q.calm && v.At.Sub(w.leaving) > leaveWithin && q.sent.Sub(w.leaving) > leaveWithin && r.disturbed.Before(w.leaving) {
			r.result.Broken = append(r.result.Broken, "server "+w.ID+" ran "+v.Request+" "+v.At.Sub(w.leaving).String()+" after it began to leave")
		}
	}
}

// toggleKey removes the second key or adds it.
func (r *run) toggleKey() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasKey = !r.hasKey
	r.configure()
	r.removed = time.Time{}
	if !r.hasKey {
		r.removed = time.Now()
		go r.watchKey(r.removed)
	}
}

// watchKey checks that a removed key stops working in time, whatever the
// instances and the store go through.
func (r *run) watchKey(removed time.Time) {
	time.Sleep(2 * revokeWithin)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.removed != removed {
		return // it was added again
	}
	for _, w := range r.workers {
		for _, v := range w.Runs() {
			if q, ok := r.requests[v.Request]; ok && q.key == removedKey && q.sent.Sub(removed) > revokeWithin {
				r.result.Broken = append(r.result.Broken, "request "+v.Request+" ran with a key removed "+q.sent.Sub(removed).String()+" before")
			}
		}
	}
}

func (r *run) breaks(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Broken = append(r.result.Broken, what)
}

// check checks what can be told at the end.
func (r *run) check() {
	ran := make(map[string]int)
	for _, w := range r.workers {
		for _, v := range w.Runs() {
			ran[v.Request]++
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, q := range r.requests {
		n := ran[id]
		if n > 1 && !q.repeats {
			r.result.Broken = append(r.result.Broken, "request "+id+" ran more than once")
		}
		if n > 0 && !q.repeats && (q.status == http.StatusTooManyRequests || q.status == http.StatusServiceUnavailable) {
			r.result.Broken = append(r.result.Broken, "request "+id+" ran although its answer says that it did not")
		}
	}
	r.result.Broken = append(r.result.Broken, r.cloud.Broken()...)
	if r.result.Served == 0 {
		r.result.Broken = append(r.result.Broken, "no request was served")
	}
}
