package engine

import (
	"slices"
	"sync"
)

// maxRuns bounds the log of attempts; when it is exceeded, the older half of
// the log is dropped.
const maxRuns = 200000

// Run counts how often an attempt was received and how often it ran.
type Run struct {
	Request string `json:"request"`
	Attempt string `json:"attempt"`
	// Prompt is the hash of the prompt.
	Prompt   uint64 `json:"prompt,string"`
	Version  string `json:"version"`
	From     int    `json:"from"`
	Received int    `json:"received"`
	Ran      int    `json:"ran"`
}

// Totals counts the attempts that ran, and their tokens, since the start of the
// process. If Config.Exit returns, the counts continue after the simulated
// restart.
type Totals struct {
	// Incarnation changes when the process restarts, also on a simulated
	// restart.
	Incarnation string `json:"incarnation"`
	Ran         int    `json:"ran"`
	Prompt      int    `json:"prompt"`
	Cached      int    `json:"cached"`
	Recomputed  int    `json:"recomputed"`
	Generated   int    `json:"generated"`
}

// runLog is the log of attempts in order of arrival.
type runLog struct {
	mu   sync.Mutex
	list []*Run
	byID map[string]*Run
	sums Totals
}

func (l *runLog) countReceived(a *attempt) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byID == nil {
		l.byID = make(map[string]*Run)
	}
	b := a.body
	id := b.Request + "\x00" + a.id
	r := l.byID[id]
	if r == nil {
		r = &Run{Request: b.Request, Attempt: a.id, Prompt: a.promptHash, Version: b.Version, From: b.From}
		l.byID[id] = r
		l.list = append(l.list, r)
		l.trim()
	}
	r.Received++
	return r
}

func (l *runLog) trim() {
	if len(l.list) <= maxRuns {
		return
	}
	for _, r := range l.list[:maxRuns/2] {
		delete(l.byID, r.Request+"\x00"+r.Attempt)
	}
	l.list = slices.Clone(l.list[maxRuns/2:])
}

func (l *runLog) countRun(r *Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Ran++
	l.sums.Ran++
}

// countPrompt counts the tokens of an attempt's prompt.
func (l *runLog) countPrompt(u usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sums.Prompt += u.Prompt
	l.sums.Cached += u.Cached
	l.sums.Recomputed += u.Recomputed
}

// countGenerated counts the tokens that an attempt generated.
func (l *runLog) countGenerated(generated int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sums.Generated += generated
}

func (l *runLog) totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sums
}

func (l *runLog) all() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Run, len(l.list))
	for i, r := range l.list {
		out[i] = *r
	}
	return out
}
