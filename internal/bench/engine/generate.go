package engine

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabiworks.example/wasabiworks/internal/bench/answer"
)

// body is the body of a generate request.
type body struct {
	Request      string   `json:"request"`
	Entry        string   `json:"entry"`
	Version      string   `json:"version"`
	Prompt       string   `json:"prompt"`
	MaxTokens    int      `json:"max-tokens"`
	From         int      `json:"from"`
	PrefixTokens []string `json:"prefix-tokens"`
	Import       string   `json:"import"`
}

// usage counts the tokens of an attempt: those of the prompt, those found in a
// cache, and those recomputed before the first token is sent.
type usage struct {
	Prompt     int `json:"prompt"`
	Cached     int `json:"cached"`
	Recomputed int `json:"recomputed"`
}

// frame is a line of a response.
type frame struct {
	Attempt string `json:"attempt"`
	Index   int    `json:"index"`
	Token   string `json:"token"`
	Finish  string `json:"finish,omitempty"`
	Usage   *usage `json:"usage,omitempty"`
}

// attempt is a valid generate request.
type attempt struct {
	id         string
	body       body
	promptHash uint64
	response   answer.Response
	cancel     context.CancelCauseFunc
	// next is the index of the next token.
	next atomic.Int64
}

// PromptHash returns the hash that identifies a prompt in the log of attempts.
func PromptHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt)
}

func (a *attempt) kvCache() kvCache {
	return kvCache{Attempt: a.id, Prompt: a.promptHash, Tokens: int(a.next.Load())}
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	a, ok := s.decode(w, r)
	if !ok {
		return
	}
	w.Header().Set("Attempt", a.id)
	run := s.runs.countReceived(a)
	s.applyLeave()
	if !s.serves(a.body.Entry, a.body.Version) {
		reject(w, http.StatusServiceUnavailable, "version")
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	a.cancel = cancel
	if !s.registerAttempt(a) {
		http.Error(w, "attempt is already running", http.StatusBadRequest)
		return
	}
	defer s.unregisterAttempt(a)
	if err := s.scheduler.acquire(ctx, priority(r)); err != nil {
		s.rejectUnscheduled(ctx, w, err)
		return
	}
	defer s.scheduler.release()
	s.runs.countRun(run)
	if s.config.OnRun != nil {
		s.config.OnRun(a.promptHash)
	}
	s.run(ctx, w, a)
}

func (s *Server) decode(w http.ResponseWriter, r *http.Request) (*attempt, bool) {
	a := &attempt{id: r.Header.Get("Attempt")}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(&a.body); err != nil {
		http.Error(w, "invalid request: "+err.Error(), http.StatusBadRequest)
		return nil, false
	}
	a.response = answer.Expected(a.body.Prompt)
	a.promptHash = PromptHash(a.body.Prompt)
	if err := a.check(); err != nil {
		http.Error(w, "invalid request: "+err.Error(), http.StatusBadRequest)
		return nil, false
	}
	a.next.Store(int64(a.body.From))
	return a, true
}

func (a *attempt) check() error {
	switch n := len(a.body.PrefixTokens); {
	case a.id == "":
		return errors.New("the header Attempt is missing")
	case a.body.From < 0 || a.body.From > a.response.Length(a.body.MaxTokens):
		return errors.New("from is outside the response")
	case n > 0 && n != a.body.From:
		return errors.New("prefix-tokens does not have from elements")
	}
	for i, t := range a.body.PrefixTokens {
		if t != a.response.Token(i) {
			return errors.New("prefix-tokens differs at index " + strconv.Itoa(i))
		}
	}
	return nil
}

// priority returns the priority of a request: the number in the header Priority,
// 1 for "interactive" and 0 for anything else. Requests with a higher priority
// are served first.
func priority(r *http.Request) int {
	p := r.Header.Get("Priority")
	if p == "interactive" {
		return 1
	}
	n, err := strconv.Atoi(p)
	if err != nil {
		return 0
	}
	return n
}

// registerAttempt registers an attempt. It returns false if an attempt with the
// same ID is running.
func (s *Server) registerAttempt(a *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts[a.id] != nil {
		return false
	}
	s.attempts[a.id] = a
	return true
}

// unregisterAttempt unregisters an attempt and keeps its KV cache for export.
func (s *Server) unregisterAttempt(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, a.id)
	s.exports.put(a.id, a.kvCache())
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	a := s.attempts[r.PathValue("attempt")]
	s.mu.Unlock()
	if a == nil {
		http.Error(w, "no such attempt", http.StatusNotFound)
		return
	}
	a.cancel(context.Canceled)
	w.WriteHeader(http.StatusNoContent)
}

// rejectUnscheduled rejects an attempt that got no slot, or breaks its
// connection if the process crashed.
func (s *Server) rejectUnscheduled(ctx context.Context, w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errLeaving):
		reject(w, http.StatusServiceUnavailable, "leaving")
	case errors.Is(err, errOverloaded):
		reject(w, http.StatusTooManyRequests, "overloaded")
	case errors.Is(context.Cause(ctx), errCrashed):
		panic(http.ErrAbortHandler)
	default:
		// The attempt was cancelled while it waited for a slot.
		reject(w, http.StatusServiceUnavailable, "overloaded")
	}
}

func reject(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Not-Run", reason)
	http.Error(w, reason, status)
}

// run generates the response of an attempt that holds a slot.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, a *attempt) {
	if s.isPoison(a) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	if s.shouldFail(a) {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	u := s.accessCaches(a)
	s.runs.countPrompt(u)
	defer func() { s.runs.countGenerated(int(a.next.Load()) - a.body.From) }()
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := newFrameWriter(w, s, a)
	if out.flush() != nil {
		return
	}
	delay := s.config.FirstToken + time.Duration(u.Recomputed)*s.config.PerPromptToken
	// Unless the process crashed, an error means that the client disconnected
	// or cancelled the attempt.
	if err := s.sendTokens(ctx, a, out, delay, u); err != nil && errors.Is(context.Cause(ctx), errCrashed) {
		panic(http.ErrAbortHandler)
	}
}

// sendTokens sends the frames of an attempt. Tokens are sent on a fixed
// schedule, so that the delays of timers do not accumulate.
func (s *Server) sendTokens(ctx context.Context, a *attempt, out *frameWriter, delay time.Duration, u usage) error {
	length := a.response.Length(a.body.MaxTokens)
	due := s.config.Now()
	for i := a.body.From; ; i++ {
		f := frame{Attempt: a.id, Index: i}
		if i < length {
			f.Token = a.response.Token(i)
		}
		if i >= length-1 {
			f.Finish, f.Usage = a.response.FinishReason(a.body.MaxTokens), &u
		}
		due = due.Add(time.Duration(float64(delay) * s.faults.DelayFactor(a.body.Version)))
		if err := s.config.Wait(ctx, due.Sub(s.config.Now())); err != nil {
			return err
		}
		if err := s.faults.AwaitStall(ctx, a.body.Version, i); err != nil {
			return err
		}
		a.next.Store(int64(min(i+1, length)))
		if err := out.send(f); err != nil {
			return err
		}
		if f.Finish != "" {
			return nil
		}
		delay = s.config.BetweenTokens
	}
}
