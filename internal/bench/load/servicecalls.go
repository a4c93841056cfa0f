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
	// maxRunsBytes limits the size of the response with the runs of a fake.
	maxRunsBytes = 256 << 20
)

// serviceCall is a finished call to a plain service.
type serviceCall struct {
	request        Request
	planned, ended time.Time
	result         result
	resent         bool
}

// serviceCalls collects finished calls, which are recorded only after the run
// counts of the fakes are known.
type serviceCalls struct {
	mu    sync.Mutex
	calls []serviceCall
}

func (s *serviceCalls) add(c serviceCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, c)
}

// compareRuns corrects the outcomes of calls that contradict the run counts. If
// the counts are not complete, a missing run is not treated as a contradiction.
func (s *serviceCalls) compareRuns(runs map[string]int, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A single run contradicts a rejection only if all calls with the key were
	// rejected; otherwise another call may have caused the run.
	allRejected := make(map[string]bool)
	for _, c := range s.calls {
		wasRejected, seen := allRejected[c.request.Key]
		allRejected[c.request.Key] = (wasRejected || !seen) && c.result.outcome == OutcomeNotRun
	}
	for i := range s.calls {
		c := &s.calls[i]
		switch n := runs[c.request.Key]; {
		case n > 1:
			c.result.fail(OutcomeDoubled, "key %s ran %d times", c.request.Key, n)
		case n == 1 && allRejected[c.request.Key]:
			c.result.rejectedAndRan = true
			c.result.fail(OutcomeWrong, "key %s was rejected as not run but ran", c.request.Key)
		case n == 0 && c.result.outcome == OutcomeAnswered && complete:
			c.result.fail(OutcomeWrong, "key %s was answered but did not run", c.request.Key)
		}
	}
}

// unanswered returns the number of idempotency keys for which no call was
// answered.
func (s *serviceCalls) unanswered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	answered := make(map[string]bool)
	for _, c := range s.calls {
		answered[c.request.Key] = answered[c.request.Key] || c.result.outcome == OutcomeAnswered
	}
	n := 0
	for _, ok := range answered {
		if !ok {
			n++
		}
	}
	return n
}

// fetchServiceRuns sums the run counts of service fakes by idempotency key. It
// returns complete as false if any fake could not be read.
func fetchServiceRuns(ctx context.Context, addresses []string) (runs map[string]int, complete bool) {
	runs, complete = make(map[string]int), true
	for _, a := range addresses {
		var counts map[string]int
		if err := fetchRuns(ctx, a, &counts); err != nil {
			complete = false
			continue
		}
		for key, n := range counts {
			runs[key] += n
		}
	}
	return runs, complete
}

// fetchRuns reads the runs of a fake over HTTP and decodes them into runs.
func fetchRuns(ctx context.Context, address string, runs any) error {
	ctx, cancel := context.WithTimeout(ctx, runsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/runs", nil)
	if err != nil {
		return fmt.Errorf("read runs of %s: %w", address, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("read runs of %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxRunsBytes)).Decode(runs); err != nil {
		return fmt.Errorf("read runs of %s: %w", address, err)
	}
	return nil
}
