package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	runsTimeout = 5 * time.Second
	// maxRuns bounds the run counts of a fake in bytes.
	maxRuns = 256 << 20
)

// serviceCall is a finished call of a plain service.
type serviceCall struct {
	request        Request
	planned, ended time.Time
	out            result
	resent         bool
}

// serviceCalls are held back until the run counts of the fakes are known.
type serviceCalls struct {
	mu   sync.Mutex
	list []serviceCall
}

func (s *serviceCalls) add(c serviceCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, c)
}

// judge compares the outcomes with the run counts. If the counts are partial,
// only runs that were seen are judged.
func (s *serviceCalls) judge(runs map[string]int, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rejected := make(map[string]bool)
	for _, c := range s.list {
		all, seen := rejected[c.request.Key]
		rejected[c.request.Key] = (all || !seen) && c.out.outcome == NotRun
	}
	for i := range s.list {
		c := &s.list[i]
		switch n := runs[c.request.Key]; {
		case n > 1:
			c.out.fail(Doubled, "key %s ran %d times", c.request.Key, n)
		case n == 1 && rejected[c.request.Key]:
			c.out.rejectedAndRan = true
			c.out.fail(Wrong, "key %s was rejected as not run and ran", c.request.Key)
		case n == 0 && c.out.outcome == Answered && complete:
			c.out.fail(Wrong, "key %s was answered and did not run", c.request.Key)
		}
	}
}

// unanswered returns the number of keys of which no call was answered.
func (s *serviceCalls) unanswered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	answered := make(map[string]bool)
	for _, c := range s.list {
		answered[c.request.Key] = answered[c.request.Key] || c.out.outcome == Answered
	}
	n := 0
	for _, ok := range answered {
		if !ok {
			n++
		}
	}
	return n
}

// fetchRuns adds up the run counts of fakes. It reports whether all of them
// could be read.
func fetchRuns(ctx context.Context, addresses []string) (runs map[string]int, complete bool) {
	runs, complete = make(map[string]int), true
	for _, a := range addresses {
		var counts map[string]int
		if err := fetch(ctx, a, &counts); err != nil {
			complete = false
			continue
		}
		for key, n := range counts {
			runs[key] += n
		}
	}
	return runs, complete
}

// fetch reads the runs of a fake.
func fetch(ctx context.Context, address string, runs any) error {
	ctx, cancel := context.WithTimeout(ctx, runsTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/runs", nil)
	if err != nil {
		return fmt.Errorf("read runs of %s: %w", address, err)
	}
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("read runs of %s: %w", address, err)
	}
	defer func() { _ = p.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(p.Body, maxRuns)).Decode(runs); err != nil {
		return fmt.Errorf("read runs of %s: %w", address, err)
	}
	return nil
}
