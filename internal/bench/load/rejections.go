package load

import (
	"context"
	"sync"

	"wasabiworks.example/wasabiworks/internal/bench/engine"
)

// promptRuns counts the runs of prompts by engine address and prompt hash.
type promptRuns map[string]map[uint64]int

// rejections are the requests to engines that were rejected as not run. They
// are compared with the runs that the engine fakes logged. As two runs of the
// load tool send the same prompts, earlier runs are subtracted.
type rejections struct {
	before promptRuns

	mu   sync.Mutex
	list []Request
}

// add keeps a rejected request. One that its caller repeats is left out,
// because another call may have run.
func (s *rejections) add(q Request) {
	if q.Class.Retries > 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, q)
}

// ran returns the rejected requests that ran.
func (s *rejections) ran(after promptRuns) []Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	ran := make(map[uint64]bool)
	for address, counts := range after {
		for hash, n := range counts {
			// A lower count than before is one of an engine that restarted
			// or shortened its log; it proves nothing.
			if n > s.before[address][hash] {
				ran[hash] = true
			}
		}
	}
	var out []Request
	for _, q := range s.list {
		if ran[engine.PromptHash(q.Prompt)] {
			out = append(out, q)
		}
	}
	return out
}

// fetchPrompts reads the logs of engine fakes. It reports whether all of them
// could be read.
func fetchPrompts(ctx context.Context, addresses []string) (runs promptRuns, complete bool) {
	runs, complete = make(promptRuns), true
	for _, a := range addresses {
		var log struct {
			Runs []engine.Run `json:"runs"`
		}
		if err := fetch(ctx, a, &log); err != nil {
			complete = false
			continue
		}
		runs[a] = make(map[uint64]int)
		for _, r := range log.Runs {
			if r.Ran > 0 {
				runs[a][r.Prompt] += r.Ran
			}
		}
	}
	return runs, complete
}
