package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"

	"wasabiworks.example/wasabiworks/internal/bench/answer"
	"wasabiworks.example/wasabiworks/internal/bench/fault"
)

// result is a complete response of the engine.
type result struct {
	status           int
	notRun           string
	frames           []frame
	connectionBroken bool
}

// testEngine is an engine that is called over HTTP. With startStepping, each
// token waits until the test sends to or closes step.
type testEngine struct {
	*Server
	url  string
	step chan struct{}
}

func start(t *testing.T, config Config) *testEngine {
	x := &testEngine{step: make(chan struct{})}
	if config.Wait == nil {
		close(x.step)
		config.Wait = func(context.Context, time.Duration) error { return nil }
	}
	x.Server = New(config)
	h := httptest.NewServer(x.Server)
	t.Cleanup(h.Close)
	x.url = h.URL
	return x
}

// startStepping starts an engine that sends a token each time it receives from
// step.
func startStepping(t *testing.T, config Config) *testEngine {
	step := make(chan struct{})
	config.Wait = func(ctx context.Context, _ time.Duration) error {
		select {
		case <-step:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	x := start(t, config)
	x.step = step
	return x
}

func (x *testEngine) generate(t *testing.T, attempt string, b body) result {
	data, err := json.Marshal(map[string]any{
		"request": b.Request, "version": b.Version, "prompt": b.Prompt, "max-tokens": b.MaxTokens,
		"from": b.From, "prefix-tokens": b.PrefixTokens, "import": b.Import,
	})
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, x.url+"/generate", bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Attempt", attempt)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{connectionBroken: true}
	}
	defer func() { _ = resp.Body.Close() }()
	out := result{status: resp.StatusCode, notRun: resp.Header.Get("Not-Run")}
	lines := bufio.NewScanner(resp.Body)
	for resp.StatusCode == http.StatusOK && lines.Scan() {
		var f frame
		if err := json.Unmarshal(lines.Bytes(), &f); err != nil {
			t.Fatalf("invalid frame %q: %v", lines.Bytes(), err)
		}
		out.frames = append(out.frames, f)
	}
	out.connectionBroken = lines.Err() != nil
	return out
}

// text returns the tokens of an attempt's frames with consecutive indexes.
func (r result) text(attempt string, from int) string {
	var b strings.Builder
	for _, f := range r.frames {
		if f.Attempt == attempt && f.Index == from {
			b.WriteString(f.Token)
			from++
		}
	}
	return b.String()
}

func words(n int) string {
	return strings.Repeat("word ", n)
}

// Guards against a response that differs from the one that package answer
// defines, and against frame faults that a client cannot filter out by attempt
// and index.
func TestFrameFaults(t *testing.T) {
	want := answer.Expected("p").Text(10)
	for _, kind := range []string{"", fault.DuplicateFrames, fault.LateFrames, fault.ForeignFrames} {
		t.Run(kind, func(t *testing.T) {
			x := start(t, Config{})
			if kind != "" && x.Inject(fault.Fault{Kind: kind}) != nil {
				t.Fatalf("kind %s is not accepted", kind)
			}
			r := x.generate(t, "a", body{Prompt: "p", MaxTokens: 10})
			if got := r.text("a", 0); got != want {
				t.Errorf("with fault %q, text is %q, want %q", kind, got, want)
			}
			if (len(r.frames) > 8) != (kind != "") && len(want) == 80 {
				t.Errorf("with fault %q, there are %d frames", kind, len(r.frames))
			}
			if last := r.frames[len(r.frames)-1]; last.Finish == "" || last.Usage == nil {
				t.Errorf("with fault %q, the last frame is %+v", kind, last)
			}
		})
	}
}

// Guards against recomputed tokens that are not counted, or counted although a
// prefix or a KV cache was present.
func TestUsage(t *testing.T) {
	x := start(t, Config{})
	prompt := words(40)
	shared := words(32) + "other"
	tokens := []string{answer.Token(prompt, 0), answer.Token(prompt, 1)}
	for _, c := range []struct {
		name string
		body body
		want usage
	}{
		{"cold", body{Prompt: prompt}, usage{Prompt: 40, Cached: 0, Recomputed: 40}},
		{"same prompt", body{Prompt: prompt}, usage{Prompt: 40, Cached: 32, Recomputed: 8}},
		{"shared prefix", body{Prompt: shared}, usage{Prompt: 33, Cached: 32, Recomputed: 1}},
		{"resume", body{Prompt: prompt, From: 2, PrefixTokens: tokens}, usage{Prompt: 40, Cached: 32, Recomputed: 10}},
		{"missing import", body{Prompt: prompt, From: 2, Import: "x"}, usage{Prompt: 40, Cached: 32, Recomputed: 10}},
	} {
		c.body.MaxTokens = 4
		r := x.generate(t, c.name, c.body)
		last := r.frames[len(r.frames)-1]
		if diff := cmp.Diff(&c.want, last.Usage); diff != "" {
			t.Errorf("usage of %s (-want +got):\n%s", c.name, diff)
		}
		if got, want := r.frames[0].Token, answer.Token(c.body.Prompt, c.body.From); got != want {
			t.Errorf("first token of %s is %q, want %q", c.name, got, want)
		}
	}
}

// Guards against a KV cache that has no effect after it is exported from one
// engine and imported into another.
func TestKVCacheExportAndImport(t *testing.T) {
	is := is.New(t)
	from, to := start(t, Config{}), start(t, Config{})
	from.generate(t, "a", body{Prompt: words(40), MaxTokens: 3})
	resp, err := http.Get(from.url + "/kv-cache/a")
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, to.url+"/kv-cache/a", resp.Body)
	is.NoErr(err)
	put, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	_ = put.Body.Close()
	is.Equal(put.StatusCode, http.StatusNoContent)
	r := to.generate(t, "b", body{Prompt: words(40), MaxTokens: 6, From: 3, Import: "a"})
	is.Equal(*r.frames[len(r.frames)-1].Usage, usage{Prompt: 40, Cached: 40, Recomputed: 0})
}

// Guards against a leaving engine that starts queued work or interrupts running
// work.
func TestLeave(t *testing.T) {
	is := is.New(t)
	x := startStepping(t, Config{Slots: 1, Queue: 1})
	running, queued := make(chan result), make(chan result)
	go func() { running <- x.generate(t, "a", body{Prompt: "p", MaxTokens: 2}) }()
	x.awaitLoad(1, 0)
	go func() { queued <- x.generate(t, "b", body{Prompt: "p", MaxTokens: 2}) }()
	x.awaitLoad(1, 1)
	r := x.generate(t, "c", body{Prompt: "p"})
	is.Equal(r.status, http.StatusTooManyRequests)
	is.Equal(r.notRun, "overloaded")
	x.Leave()
	is.Equal((<-queued).notRun, "leaving")
	r = x.generate(t, "d", body{Prompt: "p"})
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.Equal(r.notRun, "leaving")
	<-x.Leaving()
	close(x.step)
	is.Equal((<-running).text("a", 0), answer.Expected("p").Text(2))
	for _, run := range x.Runs() {
		want := 0
		if run.Attempt == "a" {
			want = 1
		}
		is.Equal(run.Ran, want) // a rejected attempt must not run
		is.Equal(run.Received, 1)
	}
}

// awaitLoad waits until the scheduler has the given load.
func (x *testEngine) awaitLoad(running, queued int) {
	for {
		if r, q := x.scheduler.load(); r == running && q == queued {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a simulated crash that leaves other streams or the cache
// intact.
func TestCrash(t *testing.T) {
	is := is.New(t)
	var exits atomic.Int32
	x := startStepping(t, Config{Exit: func() { exits.Add(1) }})
	is.NoErr(x.Inject(fault.Fault{Kind: fault.CrashOn, Value: "poison"}))
	other := make(chan result)
	go func() { other <- x.generate(t, "a", body{Prompt: words(20), MaxTokens: 5}) }()
	x.step <- struct{}{}
	is.True(x.generate(t, "b", body{Prompt: "a poison request"}).connectionBroken)
	r := <-other
	is.True(r.connectionBroken)
	is.Equal(exits.Load(), int32(1))
	x.awaitLoad(0, 0)
	close(x.step)
	r = x.generate(t, "c", body{Prompt: words(20), MaxTokens: 5})
	is.True(!r.connectionBroken)
	is.Equal(r.frames[len(r.frames)-1].Usage.Cached, 0)
}

// Guards against faults of one version that affect another.
func TestFaultsOfOneVersion(t *testing.T) {
	for _, c := range []struct {
		fault fault.Fault
		// want holds the statuses of consecutive requests for version 2.
		want []int
	}{
		{fault.Fault{Kind: fault.Fail, Version: "2"}, []int{500, 500}},
		{fault.Fault{Kind: fault.Fail, Value: "0", Version: "2"}, []int{200}},
		{fault.Fault{Kind: fault.FailAfter, Value: "2", Version: "2"}, []int{200, 200, 500}},
		{fault.Fault{Kind: fault.FailAfter, Value: "1h", Version: "2"}, []int{200}},
		{fault.Fault{Kind: fault.FailRoute, Value: "chat", Version: "2"}, []int{500}},
		{fault.Fault{Kind: fault.FailRoute, Value: "completions", Version: "2"}, []int{200}},
		{fault.Fault{Kind: fault.FailUnderLoad, Value: "1", Version: "2"}, []int{500}},
		{fault.Fault{Kind: fault.FailUnderLoad, Value: "1.1", Version: "2"}, []int{200}},
	} {
		x := start(t, Config{Versions: []string{"1", "2"}, Slots: 1})
		if err := x.Inject(c.fault); err != nil {
			t.Errorf("Inject(%+v) = %v", c.fault, err)
			continue
		}
		for i, want := range c.want {
			if got := x.generate(t, "a", body{Prompt: "user: p\n", Version: "2"}).status; got != want {
				t.Errorf("status of request %d with fault %+v is %d, want %d", i, c.fault, got, want)
			}
		}
		if got := x.generate(t, "a", body{Prompt: "user: p\n", Version: "1"}).status; got != http.StatusOK {
			t.Errorf("status of version 1 with fault %+v is %d", c.fault, got)
		}
	}
}

// Guards against commands of a former lease holder that are accepted and
// versions that are served before they are loaded.
func TestStateCommands(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		x := start(t, Config{Versions: []string{"1"}, ChecksFence: checksFence, VersionDelay: time.Hour})
		put := func(body string) int {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, x.url+"/state", strings.NewReader(body))
			if err != nil {
				t.Fatal(err)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			return resp.StatusCode
		}
		if got := put(`{"fence":2,"versions":["1","2"]}`); got != http.StatusOK {
			t.Errorf("status of a command is %d", got)
		}
		want := http.StatusOK
		if checksFence {
			want = http.StatusConflict
		}
		if got := put(`{"fence":1,"versions":[]}`); got != want {
			t.Errorf("status of a stale command is %d, want %d with ChecksFence %v", got, want, checksFence)
		}
		if got := put(`{`); got != http.StatusBadRequest {
			t.Errorf("status of an invalid command is %d", got)
		}
		if r := x.generate(t, "a", body{Prompt: "p", Version: "2"}); r.notRun != "version" {
			t.Errorf("a version that is not loaded is answered with %+v", r)
		}
	}
}
