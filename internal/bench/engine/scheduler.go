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

// scheduler hands out slots by priority, then in order of arrival.
type scheduler struct {
	slots, queue int
	changed      func(running, queued int)

	mu      sync.Mutex
	running int
	leaving bool
	waiting []*waiter
}

type waiter struct {
	priority int
	// granted receives nil or the reason why no slot is granted.
	granted chan error
}

// acquire returns errOverloaded, errLeaving or the context's error if it gets
// no slot.
func (s *scheduler) acquire(ctx context.Context, priority int) error {
	w, err := s.enter(priority)
	if w == nil {
		return err
	}
	select {
	case err := <-w.granted:
		return err
	case <-ctx.Done():
	}
	if !s.withdraw(w) {
		// A slot was granted at the same time.
		if err := <-w.granted; err != nil {
			return err
		}
		s.release()
	}
	return ctx.Err()
}

// enter takes a free slot or joins the queue, in which case it returns a
// waiter.
func (s *scheduler) enter(priority int) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.leaving:
		return nil, errLeaving
	case s.running < s.slots:
		s.running++
		s.report()
		return nil, nil
	case len(s.waiting) >= s.queue:
		return nil, errOverloaded
	}
	w := &waiter{priority: priority, granted: make(chan error, 1)}
	i := len(s.waiting)
	for i > 0 && s.waiting[i-1].priority < priority {
		i--
	}
	s.waiting = slices.Insert(s.waiting, i, w)
	s.report()
	return w, nil
}

func (s *scheduler) withdraw(w *waiter) bool {
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
		s.waiting[0].granted <- nil
		s.waiting = slices.Delete(s.waiting, 0, 1)
	} else {
		s.running--
	}
	s.report()
}

// leave rejects waiting and new requests; running ones finish.
func (s *scheduler) leave(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving == on {
		return
	}
	s.leaving = on
	if on {
		for _, w := range s.waiting {
			w.granted <- errLeaving
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
	if s.changed != nil {
		s.changed(s.running, len(s.waiting))
	}
}
