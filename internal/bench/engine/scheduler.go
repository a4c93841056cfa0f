package engine

import (
	"context"
	"errors"
	"slices"
	"sync"
)

var (
	errOverloaded = errors.New("overloaded")
	errLeaving    = errors.New("leaving")
)

// scheduler grants slots by priority, then in order of arrival.
type scheduler struct {
	slots, queueLimit int
	// onChange, if not nil, is called after each change with mu held. It must
	// not call methods of the scheduler. Server.recordLoad locks Server.mu, so
	// mu must not be locked while Server.mu is held.
	onChange func(running, queued int)

	mu      sync.Mutex
	running int
	leaving bool
	waiting []*waiter
}

type waiter struct {
	priority int
	// result receives nil if a slot is granted, or the reason why none is.
	result chan error
}

// acquire waits for a slot. It returns errOverloaded, errLeaving or the
// context's error if it gets none.
func (s *scheduler) acquire(ctx context.Context, priority int) error {
	w, err := s.acquireOrEnqueue(priority)
	if w == nil {
		return err
	}
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
	}
	if !s.removeWaiter(w) {
		// The scheduler granted a slot or rejected the waiter at the same time.
		if err := <-w.result; err != nil {
			return err
		}
		s.release()
	}
	return ctx.Err()
}

// acquireOrEnqueue takes a free slot or, if there is none, adds a waiter to the
// queue. It returns a nil waiter if it took a slot or failed.
func (s *scheduler) acquireOrEnqueue(priority int) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.leaving:
		return nil, errLeaving
	case s.running < s.slots:
		s.running++
		s.report()
		return nil, nil
	case len(s.waiting) >= s.queueLimit:
		return nil, errOverloaded
	}
	w := &waiter{priority: priority, result: make(chan error, 1)}
	i := len(s.waiting)
	for i > 0 && s.waiting[i-1].priority < priority {
		i--
	}
	s.waiting = slices.Insert(s.waiting, i, w)
	s.report()
	return w, nil
}

// removeWaiter removes w from the queue and reports whether w was still waiting.
func (s *scheduler) removeWaiter(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.waiting, w)
	if i < 0 {
		return false
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	s.report()
	return true
}

func (s *scheduler) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) > 0 {
		s.waiting[0].result <- nil
		s.waiting = slices.Delete(s.waiting, 0, 1)
	} else {
		s.running--
	}
	s.report()
}

// setLeaving sets whether new requests are rejected. When leaving becomes true,
// waiting requests are rejected too; running ones finish.
func (s *scheduler) setLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving == leaving {
		return
	}
	s.leaving = leaving
	if leaving {
		for _, w := range s.waiting {
			w.result <- errLeaving
		}
		s.waiting = nil
	}
	s.report()
}

func (s *scheduler) load() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting)
}

func (s *scheduler) report() {
	if s.onChange != nil {
		s.onChange(s.running, len(s.waiting))
	}
}
