package engine

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against slots that are leaked or granted twice when a caller's context
// ends at the moment at which the slot is granted.
func TestSchedulerSlotsAfterCancellation(t *testing.T) {
	const slots = 3
	s := &scheduler{slots: slots, queueLimit: 50}
	var running atomic.Int32
	var calls sync.WaitGroup
	for i := range 200 {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i*37%300)*time.Microsecond)
			defer cancel()
			if s.acquire(ctx, i%3) != nil {
				return
			}
			if n := running.Add(1); n > slots {
				t.Errorf("%d attempts run in %d slots", n, slots)
			}
			running.Add(-1)
			s.release()
		})
	}
	calls.Wait()
	if r, q := s.load(); r != 0 || q != 0 {
		t.Errorf("%d slots and %d queue entries are still held", r, q)
	}
}

// Guards against batch work that runs before interactive work.
func TestSchedulerPriorityOrder(t *testing.T) {
	is := is.New(t)
	s := &scheduler{slots: 1, queueLimit: 3}
	is.NoErr(s.acquire(t.Context(), 0))
	var waiters []*waiter
	for _, priority := range []int{0, 1, 1} {
		w, err := s.acquireOrEnqueue(priority)
		is.NoErr(err)
		waiters = append(waiters, w)
	}
	_, err := s.acquireOrEnqueue(2)
	is.True(errors.Is(err, errOverloaded))
	for _, i := range []int{1, 2, 0} {
		s.release()
		select {
		case err := <-waiters[i].result:
			is.NoErr(err)
		default:
			t.Errorf("waiter %d is not next", i)
		}
	}
}
