package openai

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"wasabiworks.example/wasabiworks/internal/caller/reply"
	"wasabiworks.example/wasabiworks/internal/operator/catalogue"
)

// readResponse decodes the body of a response, streamed or not. It returns the
// text, the event IDs, and whether the response is complete. It fails the test if
// a stream has events after [DONE].
func readResponse(t testing.TB, body string) (text string, ids []string, done bool) {
	t.Helper()
	var chunk struct {
		Choices []struct {
			Delta   struct{ Content string }
			Message struct{ Content string }
			Text    string
		}
		Error *struct{ Code string }
	}
	add := func(data string) {
		chunk.Choices, chunk.Error = nil, nil
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatalf("event %q: %v", data, err)
		}
		for _, c := range chunk.Choices {
			text += c.Delta.Content + c.Message.Content + c.Text
		}
	}
	if strings.HasPrefix(body, "{") {
		add(body)
		return text, nil, chunk.Error == nil
	}
	for line := range strings.Lines(body) {
		line = strings.TrimSuffix(line, "\n")
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, id)
		}
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
		case done:
			t.Fatalf("event %q after [DONE]", data)
		case data == "[DONE]":
			done = true
		default:
			add(data)
		}
	}
	return text, ids, done
}

// chatBody returns the body of a chat request with one user message.
func chatBody(prompt string, stream bool) string {
	return fmt.Sprintf(`{"model":"sack-assist","stream":%t,"messages":[{"role":"user","content":%q}]}`, stream, prompt)
}

// expectedText returns the complete response to the request of chatBody.
func expectedText(prompt string) string { return responseText("user: " + prompt + "\n") }

// Guards against foreign, repeated, missing or misplaced tokens in a response
// when the first engine is slow, sends wrong frames, rejects attempts or fails.
// Concurrent requests have different prompts, so that a token of another response
// is detected.
func TestEngineFaults(t *testing.T) {
	for _, f := range []struct {
		fault
		attempts, recomputed int
	}{
		{fault{kind: ""}, 1, 0},
		{fault{kind: "", wait: 5 * time.Millisecond}, 1, 0}, // slow tokens
		{fault{kind: "duplicate"}, 1, 0},
		{fault{kind: "reorder"}, 1, 0},
		{fault{kind: "foreign"}, 1, 0},
		{fault{kind: "abort"}, 2, 0},
		{fault{kind: "abort", at: 5}, 2, 5},
		{fault{kind: "abort", at: responseTokens - 1}, 2, responseTokens - 1},
		{fault{kind: "stall", at: 0}, 2, 0},
		{fault{kind: "stall", at: 5}, 2, 5},
		{fault{kind: "reject:leaving"}, 2, 0},
		{fault{kind: "reject:overloaded"}, 2, 0},
		{fault{kind: "reject:version"}, 2, 0},
		{fault{kind: "fail"}, 2, 0},
	} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s-%d-%t", f.kind, f.at, stream), func(t *testing.T) {
				s := newTestServer(t, 2, nil)
				s.engines[0].fault.Store(&f.fault)
				var wg sync.WaitGroup
				for i := range 4 {
					wg.Go(func() {
						prompt := fmt.Sprintf("%s %d %d", f.kind, f.at, i)
						_, b := s.post(t, "/v1/chat/completions", chatBody(prompt, stream))
						if got, _, done := readResponse(t, b); got != expectedText(prompt) || !done {
							t.Errorf("fault %+v: got %q (complete: %t), want %q", f.fault, got, done, expectedText(prompt))
						}
					})
				}
				wg.Wait()
				if d := s.engine.Dropped(); (d.Foreign > 0) != (f.kind == "foreign") || (d.Misplaced > 0) != (f.kind == "duplicate") {
					t.Errorf("fault %+v: got %+v dropped", f.fault, d)
				}
				r := s.lastRequest(t)
				if r.Attempts > f.attempts || r.RecomputedTokens > f.recomputed || r.GeneratedTokens != responseTokens {
					t.Errorf("fault %+v: got %d attempts, %d recomputed and %d generated tokens, want at most %d and %d, and %d", f.fault, r.Attempts, r.RecomputedTokens, r.GeneratedTokens, f.attempts, f.recomputed, responseTokens)
				}
			})
		}
	}
}

// Guards against a truncated response that appears complete, and against the
// outcome not-run for a request that may have run, when no other server is
// available for a retry.
func TestNoServerAvailable(t *testing.T) {
	for _, c := range []struct {
		kind           string
		at             int
		status         int
		outcome        string
		streamedStatus int
	}{
		{"abort", 5, http.StatusBadGateway, reply.OutcomeUnknown, http.StatusOK},
		{"abort", 0, http.StatusBadGateway, reply.OutcomeUnknown, http.StatusBadGateway},
		{"fail", 0, http.StatusBadGateway, reply.OutcomeUnknown, http.StatusBadGateway},
		{"reject:overloaded", 0, http.StatusServiceUnavailable, reply.OutcomeNotRun, http.StatusServiceUnavailable},
		{"reject:poison", 0, http.StatusUnprocessableEntity, reply.OutcomeNotRun, http.StatusUnprocessableEntity},
	} {
		t.Run(c.kind, func(t *testing.T) {
			is := is.New(t)
			s := newTestServer(t, 1, nil)
			s.engines[0].fault.Store(&fault{kind: c.kind, at: c.at})
			res, _ := s.post(t, "/v1/chat/completions", chatBody("a", false))
			is.Equal(res.StatusCode, c.status)
			is.Equal(res.Header.Get(reply.OutcomeHeader), c.outcome)
			is.Equal(res.Header.Get("Retry-After") != "", c.status == http.StatusServiceUnavailable)
			res, b := s.post(t, "/v1/chat/completions", chatBody("b", true))
			is.Equal(res.StatusCode, c.streamedStatus)
			got, _, done := readResponse(t, b)
			is.True(strings.HasPrefix(expectedText("b"), got))
			if res.StatusCode == http.StatusOK {
				is.True(!done) // a failed stream does not end with [DONE]
				is.True(strings.Contains(b, `"outcome":"unknown"`))
			}
			if !strings.HasPrefix(c.kind, "reject") {
				is.Equal(s.engines[0].runs.Load(), int64(2)) // one run for each request
			}
		})
	}
}

// Guards against unlimited retries when servers fail: with an empty retry budget
// a failed request is not retried.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 3, nil)
	s.budget.Store(0)
	s.engines[0].fault.Store(&fault{kind: "fail"})
	res, _ := s.post(t, "/v1/chat/completions", chatBody("a", false))
	is.Equal(res.StatusCode, http.StatusBadGateway)
	is.Equal(s.engines[1].runs.Load()+s.engines[2].runs.Load(), int64(0))
}

// Guards against the rejection of a request whose first server has just stopped,
// while other servers have capacity. The connection is refused, so the retry is
// not charged to the retry budget.
func TestServerStopped(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 3, nil)
	s.budget.Store(0)
	s.engines[0].Close()
	res, b := s.post(t, "/v1/chat/completions", chatBody("a", false))
	is.Equal(res.StatusCode, http.StatusOK)
	is.True(strings.Contains(b, expectedText("a")))
	is.Equal(s.lastRequest(t).Attempts, 2)
}

// Guards against requests that fail because of an announced reclaim. An attempt
// stays on its server while the deadline is more than MigrationMargin away.
// Otherwise it migrates: the KV cache is copied if there is time for that, and the
// tokens are recomputed if there is not. The retry is not charged to the retry
// budget.
func TestAnnouncedReclaim(t *testing.T) {
	for _, c := range []struct {
		name                 string
		notice               time.Duration
		attempts, recomputed int
	}{
		{"finish", time.Minute, 1, 0},
		{"move", 2 * time.Second, 2, 0},
		{"resume", 300 * time.Millisecond, 2, responseTokens - 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestServer(t, 2, func(c *Config) { c.MigrationMargin = 3 * time.Second })
			s.budget.Store(0)
			s.engines[0].fault.Store(&fault{wait: 10 * time.Millisecond})
			go func() {
				for s.engines[0].runs.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(30 * time.Millisecond)
				s.fleet.RecordReclaimNotice("b0", time.Now().Add(c.notice))
			}()
			_, b := s.post(t, "/v1/chat/completions", chatBody("a", true))
			got, _, done := readResponse(t, b)
			is.Equal(got, expectedText("a"))
			is.True(done)
			r := s.lastRequest(t)
			is.Equal(r.Attempts, c.attempts)
			is.True(r.RecomputedTokens <= c.recomputed)
			is.Equal(r.RecomputedTokens > 0, c.recomputed > 0)
			for _, a := range s.attempts {
				is.True(!a.Failed || a.Excused == ExcusedReclaim)
			}
		})
	}
}

// Guards against a request that crashes one server after another: after two
// crashes it is not run again.
func TestPoisonRequest(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 4, nil)
	for _, e := range s.engines {
		e.fault.Store(&fault{kind: "abort"})
	}
	res, _ := s.post(t, "/v1/chat/completions", chatBody("poison", false))
	is.Equal(res.StatusCode, http.StatusUnprocessableEntity)
	is.Equal(res.Header.Get(reply.OutcomeHeader), reply.OutcomeUnknown) // it was run twice
	res, _ = s.post(t, "/v1/chat/completions", chatBody("poison", false))
	is.Equal(res.StatusCode, http.StatusUnprocessableEntity)
	is.Equal(res.Header.Get(reply.OutcomeHeader), reply.OutcomeNotRun)
	runs := int64(0)
	for _, e := range s.engines {
		runs += e.runs.Load()
	}
	is.Equal(runs, int64(2))
}

// Guards against a request that is rejected when a second server crashes, although it was
// answered in full since the first crash (LOST).
func TestCompletedRequestIsNoSuspect(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, 2, nil)
	s.engines[0].fault.Store(&fault{kind: "abort"})
	res, _ := s.post(t, "/v1/chat/completions", chatBody("often asked", false))
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(s.engines[0].runs.Load(), int64(1))
	s.poison.mu.Lock()
	defer s.poison.mu.Unlock()
	is.Equal(len(s.poison.crashes), 0)
}

// Guards against two suspects on the same server, which would both be classified
// as poison if the server crashed, and against a crash that is counted twice for a
// request. Also guards against correlated losses that are reported as crashes: the
// loss of a server is reported unless correlatedServers servers were lost within
// correlatedWithin before.
func TestSuspectIsolationAndCorrelatedLosses(t *testing.T) {
	is := is.New(t)
	var f inFlight
	d := make([]*driver, 7)
	for i := range d {
		d[i] = &driver{}
	}
	now := time.Unix(100, 0)
	is.True(f.add("a", d[0], 1, false))
	is.True(f.add("a", d[1], 2, true))
	is.True(!f.add("a", d[2], 3, true))
	is.True(f.add("b", d[2], 3, true))
	is.Equal(len(f.recordCrash("a", d[0], now)), 2)
	is.True(f.add("a", d[6], 5, false))             // on the restarted server
	is.Equal(len(f.recordCrash("a", d[1], now)), 0) // the same crash
	f.remove("a", d[6], false)
	f.remove("a", d[1], true)
	is.True(f.add("a", d[1], 2, true))
	is.Equal(len(f.recordCrash("a", d[1], now)), 1) // another crash; d[0] has been reported already
	for i, server := range []string{"c", "d", "e"} {
		is.True(f.add(server, d[3+i], 4, false))
	}
	is.Equal(len(f.recordCrash("b", d[2], now)), 1)
	is.Equal(len(f.recordCrash("c", d[3], now)), 1)
	is.Equal(len(f.recordCrash("d", d[4], now.Add(time.Second))), 0) // correlated losses, not a crash by a request
	is.Equal(len(f.recordCrash("e", d[5], now.Add(time.Minute))), 1)
}

// Guards against retries on a version that has been rolled back, and against a
// response whose version changes although no attempt failed.
func TestVersionOfLaterAttempts(t *testing.T) {
	for _, c := range []struct{ kind, want string }{{"fail", "v0"}, {"abort", "v0"}, {"", "v1"}} {
		is := is.New(t)
		var choices atomic.Int64
		s := newTestServer(t, 2, func(cfg *Config) {
			cfg.MigrationMargin = time.Hour
			cfg.Versions = versionsFunc(func() string {
				if choices.Add(1) == 1 {
					return "v1"
				}
				return "v0" // v1 has been rolled back
			})
		})
		s.engines[0].fault.Store(&fault{kind: c.kind, at: 5, wait: 5 * time.Millisecond})
		if c.kind == "" {
			time.AfterFunc(30*time.Millisecond, func() { s.fleet.RecordReclaimNotice("b0", time.Now().Add(time.Second)) })
		}
		_, b := s.post(t, "/v1/chat/completions", chatBody("a", true))
		got, _, done := readResponse(t, b)
		is.Equal(got, expectedText("a"))
		is.True(done)
		r := s.lastRequest(t)
		is.Equal(r.Attempts, 2)
		is.Equal(r.Version, c.want) // version of the last attempt
	}
}

type versionsFunc func() string

func (f versionsFunc) Version(*catalogue.Entry, uint64) (string, string, uint8) {
	return f(), "", 0
}
