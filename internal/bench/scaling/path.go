package scaling

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	engineCount        = 3
	pathClients        = 24
	pathWindowTime     = 3 * time.Second
	pathWarmUpTime     = time.Second
	bookingCount       = 200
	concurrentBookings = 4
)

// pathMaxTokens holds the maximum lengths of the responses in tokens.
var pathMaxTokens = []int{1, 64, 256}

// PathWindow is the cost of the request path at one maximum length of responses.
type PathWindow struct {
	MaxTokens int `json:"max-tokens"`
	Repeat    int `json:"repeat"`
	// Requests and Tokens are totals, CPU is the CPU time of the process in
	// seconds.
	Requests float64 `json:"requests"`
	Tokens   float64 `json:"tokens"`
	CPU      float64 `json:"cpu"`
	// Bytes is the size of the response bodies that the clients received.
	Bytes float64 `json:"bytes"`
	// Peak is the maximum of the process's resident memory in bytes since it
	// started, so it includes the earlier windows.
	Peak float64 `json:"peak"`
}

// measurePath measures the request path and the journal on one process without
// peers. Its backend servers are separate processes, not light workers.
func (c Config) measurePath(ctx context.Context) (ws []PathWindow, journal map[string]float64, err error) {
	t, err := newTestbed(ctx, Shape{})
	defer func() { err = errors.Join(err, t.stop()) }()
	if err != nil {
		return nil, nil, err
	}
	if err := t.putCatalogue(ctx, 0, false); err != nil {
		return nil, nil, err
	}
	if err := t.start(ctx, c.Binaries, c.Logs, "serve-path"); err != nil {
		return nil, nil, err
	}
	if err := t.startBackends(ctx, c.Binaries); err != nil {
		return nil, nil, err
	}
	for repeat := range c.repeats() {
		for _, n := range pathMaxTokens {
			p, err := t.measurePathWindow(ctx, n)
			if err != nil {
				return ws, nil, err
			}
			p.Repeat = repeat
			ws = append(ws, p)
			fmt.Fprintf(c.Progress, "slopes: request path, at most %d tokens: %.0f requests, %.0f tokens, %.2f s of CPU\n", n, p.Requests, p.Tokens, p.CPU)
		}
	}
	journal, err = t.measureJournal(ctx)
	return ws, journal, err
}

// startBackends starts the backend servers and waits until the measured process
// knows them.
func (t *testbed) startBackends(ctx context.Context, binaries string) error {
	common := []string{"--platform", t.address, "--region", t.self.Region, "--failure-domain", t.self.FailureDomain}
	for i := range engineCount {
		cmd, err := t.launch(binaries, "standin", append([]string{"engine", "--id", fmt.Sprintf("engine-%d", i), "--entry", entryName(0),
			"--version", oldVersion, "--slots", "64", "--first-token", "5ms", "--between-tokens", "2ms"}, common...)...)
		if err != nil {
			return err
		}
		t.backends = append(t.backends, cmd)
	}
	cmd, err := t.launch(binaries, "standin", append([]string{"service", "--id", "service-0", "--entry", entryName(languageEntries)}, common...)...)
	if err != nil {
		return err
	}
	t.backends = append(t.backends, cmd)
	t.shape.Workers = engineCount + 1
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	return poll(ctx, 100*time.Millisecond, t.checkFleet)
}

// measurePathWindow sends streaming requests from pathClients clients, each with
// one request at a time, and measures the process for pathWindowTime.
func (t *testbed) measurePathWindow(parent context.Context, maxTokens int) (p PathWindow, err error) {
	p.MaxTokens = maxTokens
	var requests, tokens, received atomic.Int64
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: pathClients}}
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	var wg sync.WaitGroup
	var failed atomic.Pointer[error]
	for i := range pathClients {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				got, size, err := streamCompletion(ctx, client, t.self.Address, fmt.Sprintf("client %d question %d", i, n), maxTokens)
				if err != nil && ctx.Err() == nil {
					failed.Store(&err)
					cancel()
				}
				if err == nil {
					requests.Add(1)
					tokens.Add(int64(got))
					received.Add(int64(size))
				}
			}
		})
	}
	time.Sleep(pathWarmUpTime)
	pid := t.process.Process.Pid
	before := [...]int64{requests.Load(), tokens.Load(), received.Load()}
	from, err := readUsage(pid)
	time.Sleep(pathWindowTime)
	to, err2 := readUsage(pid)
	p.Requests, p.Tokens = float64(requests.Load()-before[0]), float64(tokens.Load()-before[1])
	p.Bytes, p.CPU, p.Peak = float64(received.Load()-before[2]), to.cpu-from.cpu, to.peak
	cancel()
	wg.Wait()
	if f := failed.Load(); f != nil {
		err = errors.Join(err, *f)
	}
	return p, errors.Join(err, err2, parent.Err())
}

// streamCompletion sends a streaming request, reads the response to the end and
// returns its numbers of tokens and bytes.
func streamCompletion(ctx context.Context, client *http.Client, address, question string, maxTokens int) (tokens, size int, err error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, entryName(0), maxTokens, question)
	data, err := post(ctx, client, "http://"+address+"/v1/chat/completions", body, "")
	if err != nil {
		return 0, 0, err
	}
	if !bytes.Contains(data, []byte("data: [DONE]")) {
		return 0, 0, fmt.Errorf("response stream ended after %d bytes without [DONE]", len(data))
	}
	// The first event of a stream carries the role and an empty content.
	return bytes.Count(data, []byte(`"content":"`)) - bytes.Count(data, []byte(`"content":""`)), len(data), nil
}

// post sends a request, with an idempotency key if key is not empty, and returns
// the response body. It fails if the status is not 200.
func post(ctx context.Context, client *http.Client, url, body, key string) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+clientToken)
	r.Header.Set("Content-Type", "application/json")
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	p, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer p.Body.Close()
	data, err := io.ReadAll(p.Body)
	if err == nil && p.StatusCode != http.StatusOK {
		err = fmt.Errorf("request failed with status %d: %.200s", p.StatusCode, data)
	}
	return data, err
}

// measureJournal sends non-idempotent calls, which the process records in its
// journal, and returns the cost of one call.
func (t *testbed) measureJournal(ctx context.Context) (map[string]float64, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrentBookings}}
	defer client.CloseIdleConnections()
	pid := t.process.Process.Pid
	errs := make([]error, concurrentBookings)
	win, err := t.counters.measureWindow(pid, 0, func() {
		var wg sync.WaitGroup
		for i := range concurrentBookings {
			wg.Go(func() {
				for n := 0; n < bookingCount/concurrentBookings && errs[i] == nil; n++ {
					_, errs[i] = post(ctx, client, "http://"+t.self.Address+"/v1/services/"+entryName(languageEntries)+"/bookings",
						fmt.Sprintf(`{"slot":%d}`, n), fmt.Sprintf("booking-%d-%d", i, n))
				}
			})
		}
		wg.Wait()
	})
	rates := win.Rates
	cost := map[string]float64{"calls": bookingCount}
	for _, name := range []string{"cpu", "calls.GET-kv", "calls.PUT-kv", "body.kv", "platform.sent"} {
		cost[name] = rates[name] * win.Seconds / bookingCount
	}
	return cost, errors.Join(append(errs, err)...)
}
