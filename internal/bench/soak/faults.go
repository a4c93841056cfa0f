package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/metastore"
	"wasabiworks.example/wasabiworks/internal/bench/worker"
)

// startupTime is the time between the start of the instances and the first fault.
const startupTime = 3 * time.Second

// injectFaults injects faults until ctx is done. Faults can overlap: the next one
// may start before the previous one ends.
func (r *soakRun) injectFaults(ctx context.Context) {
	sleep(ctx, startupTime)
	for ctx.Err() == nil {
		r.injectFault(ctx)
		sleep(ctx, time.Duration(200+r.random.IntN(1200))*time.Millisecond)
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// injectFault injects a random fault.
func (r *soakRun) injectFault(ctx context.Context) {
	i := r.instances[r.random.IntN(len(r.instances))]
	s := r.servers[r.random.IntN(len(r.servers))]
	duration := time.Duration(500+r.random.IntN(5000)) * time.Millisecond
	switch r.random.IntN(15) {
	case 0:
		r.restart(i, syscall.SIGKILL)
	case 1:
		r.restart(i, syscall.SIGTERM)
	case 2:
		r.freeze(ctx, i, duration)
	case 3, 4:
		r.recordInstanceFault(i)
		i.storeProxy.setMode([]mode{modeSilent, modeSlow, modeRefuse}[r.random.IntN(3)])
		r.undoAfter(ctx, duration, func() {
			i.storeProxy.setMode(modePass)
			r.recordInstanceFault(i)
		})
	case 5:
		r.recordInstanceFault(i)
		i.storeProxy.resetConnections()
	case 6:
		faults := []metastore.Faults{{NoResponse: true}, {RejectStatus: http.StatusServiceUnavailable}, {RejectStatus: http.StatusTooManyRequests}, {LoseResponses: true}}
		r.recordStoreFault()
		r.store.SetFaults(faults[r.random.IntN(len(faults))])
		r.undoAfter(ctx, duration, func() {
			r.store.SetFaults(metastore.Faults{})
			r.recordStoreFault()
		})
	case 7:
		r.recordStoreFault()
		r.store.Compact()
	case 8, 9:
		faults := []worker.Fault{worker.FaultReset, worker.FaultCutOff, worker.FaultNoSeal, worker.FaultWrongAttempt, worker.FaultDuplicateResponse, worker.FaultFull, worker.FaultForeignRefusal, worker.FaultServerError, worker.FaultHang}
		s.SetRetryAfter(time.Duration(r.random.IntN(3)) * time.Second)
		s.SetFault(faults[r.random.IntN(len(faults))])
		r.undoAfter(ctx, duration, func() { s.SetFault(worker.FaultNone) })
	case 10:
		r.removeServer(ctx, s)
	case 11:
		r.toggleKey()
	case 12:
		r.addOddEntry(ctx, s, duration)
	case 13, 14:
		s.SetFault(worker.FaultPause)
		r.undoAfter(ctx, duration, func() { s.SetFault(worker.FaultNone) })
	}
}

// undoAfter calls undo in the background after d, or earlier if ctx is done.
func (r *soakRun) undoAfter(ctx context.Context, d time.Duration, undo func()) {
	go func() {
		sleep(ctx, d)
		undo()
	}()
}

// recordInstanceFault records that a fault of an instance starts or ends now.
func (r *soakRun) recordInstanceFault(i *instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i.lastFaultAt = time.Now()
}

// recordInstanceStop records that a restart or freeze of an instance starts or ends
// now.
func (r *soakRun) recordInstanceStop(i *instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i.lastFaultAt = time.Now()
	i.stops = append(i.stops, i.lastFaultAt)
}

// recordStoreFault records that a fault of the store starts or ends now.
func (r *soakRun) recordStoreFault() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeLastFaultAt = time.Now()
}

// restart ends an instance with a signal, waits until it has ended and starts it
// again.
func (r *soakRun) restart(i *instance, s os.Signal) {
	r.recordInstanceStop(i)
	r.signal(i, s)
	<-i.ended
	if err := r.startInstance(i); err != nil {
		r.addViolation("instance " + i.name + " did not start: " + err.Error())
	}
	r.recordInstanceStop(i)
}

// signal sends an instance a signal that ends it.
func (r *soakRun) signal(i *instance, s os.Signal) {
	r.mu.Lock()
	i.stopping = true
	r.mu.Unlock()
	_ = i.cmd.Process.Signal(s) // an error means that the instance has ended
}

// freeze stops an instance with SIGSTOP for d or until ctx is done.
func (r *soakRun) freeze(ctx context.Context, i *instance, d time.Duration) {
	r.recordInstanceStop(i)
	if err := i.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return
	}
	sleep(ctx, d)
	_ = i.cmd.Process.Signal(syscall.SIGCONT)
	r.recordInstanceStop(i)
}

// removeServer marks a server as draining, deletes it from the store, only makes it
// say in its answers that it leaves, or overwrites its entry with an odd one. After
// 2*leaveWithin it registers the server as a new process.
func (r *soakRun) removeServer(ctx context.Context, s *server) {
	r.mu.Lock()
	leaving := !s.leavingSince.IsZero()
	r.mu.Unlock()
	if leaving {
		return
	}
	variant := r.random.IntN(4)
	s.SetLeaving(variant == 2 || r.random.IntN(2) == 0)
	switch variant {
	case 0:
		r.register(s, "draining")
	case 1:
		r.store.Remove("servers/" + s.ID)
	case 3:
		r.store.Put("servers/"+s.ID, r.oddEntry(s))
	}
	r.mu.Lock()
	s.leavingSince, s.saysLeavingOnly = time.Now(), variant == 2
	r.mu.Unlock()
	r.undoAfter(ctx, 2*leaveWithin, func() {
		r.checkLeavingServer(s)
		r.checkLeavingNotices(s)
		r.store.Remove("servers/" + s.ID)
		s.SetLeaving(false)
		r.mu.Lock()
		s.leavingSince = time.Time{}
		s.starts = append(s.starts, time.Now())
		s.returnCold()
		r.mu.Unlock()
		r.register(s, "ready")
	})
}

// checkLeavingServer checks that a server ran no request that was sent and run
// more than leaveWithin after the server started to leave. It checks only requests
// that are faultFree, and only if the store has had no fault since the server
// started to leave.
func (r *soakRun) checkLeavingServer(s *server) {
	executions := s.Runs()
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.saysLeavingOnly {
		return // checkLeavingNotices checks what it said
	}
	for _, execution := range executions {
		q, ok := r.requests[execution.AttemptID]
		if ok && q.faultFree && execution.At.Sub(s.leavingSince) > leaveWithin && q.sent.Sub(s.leavingSince) > leaveWithin && r.storeLastFaultAt.Before(s.leavingSince) {
			r.result.Violations = append(r.result.Violations, "server "+s.ID+" ran "+execution.AttemptID+" "+execution.At.Sub(s.leavingSince).String()+" after it started to leave")
		}
	}
}

// toggleKey removes secondKey from the configuration, or adds it again.
func (r *soakRun) toggleKey() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.secondKeyActive = !r.secondKeyActive
	r.configure()
	r.keyRemovedAt = time.Time{}
	if !r.secondKeyActive {
		r.keyRemovedAt = time.Now()
		go r.checkRemovedKey(r.keyRemovedAt)
	}
}

// checkRemovedKey checks that a removed key is rejected after revokeWithin, also
// during faults of the instances and of the store.
func (r *soakRun) checkRemovedKey(removed time.Time) {
	time.Sleep(2 * revokeWithin)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.keyRemovedAt != removed {
		return // the key has been added again
	}
	for _, s := range r.servers {
		for _, execution := range s.Runs() {
			if q, ok := r.requests[execution.AttemptID]; ok && q.key == secondKey && q.sent.Sub(removed) > revokeWithin {
				r.result.Violations = append(r.result.Violations, "request "+execution.AttemptID+" ran with a key that was removed "+q.sent.Sub(removed).String()+" earlier")
			}
		}
	}
}

// addViolation records a violation.
func (r *soakRun) addViolation(violation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Violations = append(r.result.Violations, violation)
}

// checkResult makes the checks that need all requests of the run.
func (r *soakRun) checkResult() {
	r.mu.Lock()
	defer r.mu.Unlock()
	executions := make(map[string]int)
	for _, s := range r.servers {
		r.checkRefusals(s)
		r.checkEvacuations(s)
		if s.service == "plain" {
			r.checkColdReturns(s)
		}
		for _, execution := range s.Runs() {
			executions[execution.AttemptID]++
		}
	}
	for _, s := range r.servers {
		if n := s.Misdirections(); n > 0 {
			r.result.Violations = append(r.result.Violations, fmt.Sprintf("server %s got %d requests by odd entries", s.ID, n))
		}
		for _, a := range s.Abandoned() {
			if q, ok := r.requests[a.AttemptID]; ok && q.undisturbed && a.At.Sub(q.sent) < deadline {
				r.result.Violations = append(r.result.Violations, "response of "+s.ID+" to "+q.kind+" request "+a.AttemptID+" was abandoned although the server only paused")
			}
		}
	}
	for id, q := range r.requests {
		n := executions[id]
		if n > 1 && !q.repeatable {
			r.result.Violations = append(r.result.Violations, "request "+id+" ran more than once")
		}
		if n > 0 && !q.repeatable && (q.status == http.StatusTooManyRequests || q.status == http.StatusServiceUnavailable) {
			r.result.Violations = append(r.result.Violations, "request "+id+" ran although its response says that it did not")
		}
	}
	r.result.Violations = append(r.result.Violations, r.cloud.Violations()...)
	if r.result.Served == 0 {
		r.result.Violations = append(r.result.Violations, "no request was served")
	}
}
