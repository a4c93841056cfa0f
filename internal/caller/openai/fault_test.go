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

// read returns the text of a response, streamed or not, and the IDs of its
// events. It fails if a stream has events after its end.
func read(t testing.TB, body string) (text string, ids []string, done bool) {
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

func body(prompt string, stream bool) string {
	return fmt.Sprintf(`{"model":"sack-assist","stream":%t,"messages":[{"role":"user","content":%q}]}`, stream, prompt)
}

func expected(prompt string) string { return text("user: " + prompt + "\n") }

// Guards against foreign, repeated, missing or misplaced tokens, whatever the
// first engine does. The prompts differ and run at the same time, so that a
// token of another response shows.
func TestFaultMatrix(t *testing.T) {
	for _, f := range []struct {
		fault
		attempts, recomputed int
	}{
		{fault{kind: ""}, 1, 0},
		{fault{kind: "", wait: 5 * time.Millisecond}, 1, 0}, // late
		{fault{kind: "twice"}, 1, 0},
		{fault{kind: "order"}, 1, 0},
		{fault{kind: "foreign"}, 1, 0},
		{fault{kind: "die"}, 2, 0},
		{fault{kind: "die", at: 5}, 2, 5},
		{fault{kind: "die", at: testLength - 1}, 2, testLength - 1},
		{fault{kind: "stall", at: 0}, 2, 0},
		{fault{kind: "stall", at: 5}, 2, 5},
		{fault{kind: "reject:leaving"}, 2, 0},
		{fault{kind: "reject:overloaded"}, 2, 0},
		{fault{kind: "reject:version"}, 2, 0},
		{fault{kind: "fail"}, 2, 0},
	} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s-%d-%t", f.kind, f.at, stream), func(t *testing.T) {
				s := newSystem(t, 2, nil)
				s.engines[0].fault.Store(&f.fault)
				var wg sync.WaitGroup
				for i := range 4 {
					wg.Go(func() {
						prompt := fmt.Sprintf("%s %d %d", f.kind, f.at, i)
						_, b := s.post(t, "/v1/chat/completions", body(prompt, stream))
						if got, _, done := read(t, b); got != expected(prompt) || !done {
							t.Errorf("fault %+v: got %q (complete: %t), want %q", f.fault, got, done, expected(prompt))
						}
					})
				}
				wg.Wait()
				if d := s.engine.Dropped(); (d.Foreign > 0) != (f.kind == "foreign") || (d.Misplaced > 0) != (f.kind == "twice") {
					t.Errorf("fault %+v: got %+v dropped", f.fault, d)
				}
				r := s.lastRequest(t)
				if r.Attempts > f.attempts || r.Recomputed > f.recomputed || r.Generated != testLength {
					t.Errorf("fault %+v: got %d attempts, %d recomputed and %d generated tokens, want at most %d and %d, and %d", f.fault, r.Attempts, r.Recomputed, r.Generated, f.attempts, f.recomputed, testLength)
				}
			})
		}
	}
}

// Guards against a truncated response that looks complete, and against a
// not-run that may have run.
func TestNoServerLeft(t *testing.T) {
	for _, c := range []struct {
		kind           string
		at             int
		status         int
		outcome        string
		streamedStatus int
	}{
		{"die", 5, http.StatusBadGateway, reply.Unknown, http.StatusOK},
		{"die", 0, http.StatusBadGateway, reply.Unknown, http.StatusBadGateway},
		{"fail", 0, http.StatusBadGateway, reply.Unknown, http.StatusBadGateway},
		{"reject:overloaded", 0, http.StatusServiceUnavailable, reply.NotRun, http.StatusServiceUnavailable},
		{"reject:poison", 0, http.StatusUnprocessableEntity, reply.NotRun, http.StatusUnprocessableEntity},
	} {
		t.Run(c.kind, func(t *testing.T) {
			is := is.New(t)
			s := newSystem(t, 1, nil)
			s.engines[0].fault.Store(&fault{kind: c.kind, at: c.at})
			res, _ := s.post(t, "/v1/chat/completions", body("a", false))
			is.Equal(res.StatusCode, c.status)
			is.Equal(res.Header.Get(reply.OutcomeHeader), c.outcome)
			is.Equal(res.Header.Get("Retry-After") != "", c.status == http.StatusServiceUnavailable)
			res, b := s.post(t, "/v1/chat/completions", body("b", true))
			is.Equal(res.StatusCode, c.streamedStatus)
			got, _, done := read(t, b)
			is.True(strings.HasPrefix(expected("b"), got))
			if res.StatusCode == http.StatusOK {
				is.True(!done) // a stream that failed has no [DONE]
				is.True(strings.Contains(b, `"outcome":"unknown"`))
			}
			if !strings.HasPrefix(c.kind, "reject") {
				is.Equal(s.engines[0].runs.Load(), int64(2)) // one for each request
			}
		})
	}
}

// Guards against retries without bound when servers fail.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 3, nil)
	s.budget.Store(0)
	s.engines[0].fault.Store(&fault{kind: "fail"})
	res, _ := s.post(t, "/v1/chat/completions", body("a", false))
	is.Equal(res.StatusCode, http.StatusBadGateway)
	is.Equal(s.engines[1].runs.Load()+s.engines[2].runs.Load(), int64(0))
}

// Guards against a request that is rejected because the server that it was
// sent to had just ended, while others have capacity.
func TestServerEnded(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 3, nil)
	s.budget.Store(0)
	s.engines[0].Close()
	res, b := s.post(t, "/v1/chat/completions", body("a", false))
	is.Equal(res.StatusCode, http.StatusOK)
	is.True(strings.Contains(b, expected("a")))
	is.Equal(s.lastRequest(t).Attempts, 2)
}

// Guards against an announced reclaim that fails a request: with time the KV
// cache is moved, without it the response is resumed, and a short rest is
// finished where it is. None is charged to the retry budget.
func TestAnnouncedReclaim(t *testing.T) {
	for _, c := range []struct {
		name                 string
		notice               time.Duration
		attempts, recomputed int
	}{
		{"finish", time.Minute, 1, 0},
		{"move", 2 * time.Second, 2, 0},
		{"resume", 300 * time.Millisecond, 2, testLength - 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSystem(t, 2, func(c *Config) { c.MoveMargin = 3 * time.Second })
			s.budget.Store(0)
			s.engines[0].fault.Store(&fault{wait: 10 * time.Millisecond})
			go func() {
				for s.engines[0].runs.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(30 * time.Millisecond)
				s.fleet.Notice("b0", time.Now().Add(c.notice))
			}()
			_, b := s.post(t, "/v1/chat/completions", body("a", true))
			got, _, done := read(t, b)
			is.Equal(got, expected("a"))
			is.True(done)
			r := s.lastRequest(t)
			is.Equal(r.Attempts, c.attempts)
			is.True(r.Recomputed <= c.recomputed)
			is.Equal(r.Recomputed > 0, c.recomputed > 0)
			for _, a := range s.attempts {
				is.True(!a.Failed || a.Excused == ExcusedReclaim)
			}
		})
	}
}

// Guards against a request that takes down server after server.
func TestPoison(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 4, nil)
	for _, e := range s.engines {
		e.fault.Store(&fault{kind: "die"})
	}
	res, _ := s.post(t, "/v1/chat/completions", body("poison", false))
	is.Equal(res.StatusCode, http.StatusUnprocessableEntity)
	is.Equal(res.Header.Get(reply.OutcomeHeader), reply.Unknown) // it ran twice
	res, _ = s.post(t, "/v1/chat/completions", body("poison", false))
	is.Equal(res.StatusCode, http.StatusUnprocessableEntity)
	is.Equal(res.Header.Get(reply.OutcomeHeader), reply.NotRun)
	runs := int64(0)
	for _, e := range s.engines {
		runs += e.runs.Load()
	}
	is.Equal(runs, int64(2))
}

// Guards against two suspects on one server, which would both be taken for
// poison if it crashed, and against one crash that counts twice for a request.
func TestSuspectsRunApart(t *testing.T) {
	is := is.New(t)
	var f inFlight
	r := make([]*run, 7)
	for i := range r {
		r[i] = &run{}
	}
	now := time.Unix(100, 0)
	is.True(f.begin("a", r[0], 1, false))
	is.True(f.begin("a", r[1], 2, true))
	is.True(!f.begin("a", r[2], 3, true))
	is.True(f.begin("b", r[2], 3, true))
	is.Equal(len(f.crashed("a", r[0], now)), 2)
	is.True(f.begin("a", r[6], 5, false))       // on the new process
	is.Equal(len(f.crashed("a", r[1], now)), 0) // the same crash
	f.end("a", r[6], false)
	f.end("a", r[1], true)
	is.True(f.begin("a", r[1], 2, true))
	is.Equal(len(f.crashed("a", r[1], now)), 1) // another crash, without the request of the first
	for i, server := range []string{"c", "d", "e"} {
		is.True(f.begin(server, r[3+i], 4, false))
	}
	is.Equal(len(f.crashed("b", r[2], now)), 1)
	is.Equal(len(f.crashed("c", r[3], now)), 1)
	is.Equal(len(f.crashed("d", r[4], now.Add(time.Second))), 0) // a wave, not a request
	is.Equal(len(f.crashed("e", r[5], now.Add(time.Minute))), 1)
}

// Guards against attempts on a version that has been rolled back, and against
// a response whose version changes although nothing failed.
func TestVersionOfLaterAttempts(t *testing.T) {
	for _, c := range []struct{ kind, want string }{{"fail", "v0"}, {"die", "v0"}, {"", "v1"}} {
		is := is.New(t)
		var choices atomic.Int64
		s := newSystem(t, 2, func(cfg *Config) {
			cfg.MoveMargin = time.Hour
			cfg.Versions = versionsFunc(func() string {
				if choices.Add(1) == 1 {
					return "v1"
				}
				return "v0" // v1 has been rolled back
			})
		})
		s.engines[0].fault.Store(&fault{kind: c.kind, at: 5, wait: 5 * time.Millisecond})
		if c.kind == "" {
			time.AfterFunc(30*time.Millisecond, func() { s.fleet.Notice("b0", time.Now().Add(time.Second)) })
		}
		_, b := s.post(t, "/v1/chat/completions", body("a", true))
		got, _, done := read(t, b)
		is.Equal(got, expected("a"))
		is.True(done)
		r := s.lastRequest(t)
		is.Equal(r.Attempts, 2)
		is.Equal(r.Version, c.want) // after fault c.kind
	}
}

type versionsFunc func() string

func (f versionsFunc) Version(*catalogue.Entry, uint64) (string, string, uint8) {
	return f(), "", 0
}
