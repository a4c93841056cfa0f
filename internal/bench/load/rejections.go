package load

import (
	"context"
	"sync"

	"wasabiworks.example/wasabiworks/internal/bench/engine"
)

// promptRuns counts the runs of prompts by engine address (or run log) and prompt
// hash.
type promptRuns map[string]map[uint64]int

// rejections collects the requests to engines that were rejected as not run, to
// compare them with the runs that the engine fakes logged.
type rejections struct {
	// baseline holds the runs before the first request. They are subtracted,
	// because two runs of the load tool send the same prompts.
	baseline promptRuns

	mu       sync.Mutex
	requests []Request
}

// add stores a rejected request. Requests of classes with retries are not
// stored, because a retry may have run.
func (r *rejections) add(req Request) {
	if req.Class.Retries > 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, req)
}

// ran returns the rejected requests whose prompts ran since the baseline, i.e.
// have a higher count in finalRuns, which holds the runs after the last response.
func (r *rejections) ran(finalRuns promptRuns) []Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	ran := make(map[uint64]bool)
	for address, counts := range finalRuns {
		for hash, n := range counts {
			// Only a count above the baseline shows that the prompt ran. A
			// lower count comes from an engine that restarted or truncated
			// its log; it does not show whether the prompt ran.
			if n > r.baseline[address][hash] {
				ran[hash] = true
			}
		}
	}
	var out []Request
	for _, req := range r.requests {
		if ran[engine.PromptHash(req.Prompt)] {
			out = append(out, req)
		}
	}
	return out
}

// fetchPromptRuns reads the run logs of engine fakes over HTTP. It returns
// complete as false if any log could not be read.
func fetchPromptRuns(ctx context.Context, addresses []string) (runs promptRuns, complete bool) {
	runs, complete = make(promptRuns), true
	for _, a := range addresses {
		var log struct {
			Runs []engine.Run `json:"runs"`
		}
		if err := fetchRuns(ctx, a, &log); err != nil {
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
