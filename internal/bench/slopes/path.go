package slopes

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
	engines        = 3
	pathClients    = 24
	pathTime       = 3 * time.Second
	pathWarmUp     = time.Second
	bookings       = 200
	bookingsAtOnce = 4
)

// pathTokens are the lengths of the responses.
var pathTokens = []int{1, 64, 256}

// PathWindow is the cost of the request path at one length of responses.
type PathWindow struct {
	MaxTokens int `json:"max-tokens"`
	Repeat    int `json:"repeat"`
	// Requests and Tokens are totals, CPU the process's seconds for them.
	Requests float64 `json:"requests"`
	Tokens   float64 `json:"tokens"`
	CPU      float64 `json:"cpu"`
	// Bytes were sent to the clients.
	Bytes float64 `json:"bytes"`
	Peak  float64 `json:"peak"`
}

// path measures the request path and the journal on one process whose backend
// servers run as processes.
func (c Config) path(ctx context.Context) (ws []PathWindow, journal map[string]float64, err error) {
	w, err := newWorld(ctx, Shape{})
	defer func() { err = errors.Join(err, w.stop()) }()
	if err != nil {
		return nil, nil, err
	}
	if err := w.apply(ctx, 0, false); err != nil {
		return nil, nil, err
	}
	if err := w.start(ctx, c.Binaries, c.Logs, "serve-path"); err != nil {
		return nil, nil, err
	}
	if err := w.backends(ctx, c.Binaries); err != nil {
		return nil, nil, err
	}
	for repeat := range c.repeats() {
		for _, n := range pathTokens {
			p, err := w.pathWindow(ctx, n)
			if err != nil {
				return ws, nil, err
			}
			p.Repeat = repeat
			ws = append(ws, p)
			fmt.Fprintf(c.Progress, "slopes: %d tokens at most: %.0f requests, %.0f tokens, %.2f s of CPU\n", n, p.Requests, p.Tokens, p.CPU)
		}
	}
	journal, err = w.book(ctx)
	return ws, journal, err
}

// backends starts the backend servers and waits until the process knows them.
func (w *world) backends(ctx context.Context, binaries string) error {
	common := []string{"--platform", w.address, "--region", w.self.Region, "--failure-domain", w.self.FailureDomain}
	for i := range engines {
		cmd, err := w.launch(binaries, "standin", append([]string{"engine", "--id", fmt.Sprintf("engine-%d", i), "--entry", entryName(0),
			"--version", oldVersion, "--slots", "64", "--first-token", "5ms", "--between-tokens", "2ms"}, common...)...)
		if err != nil {
			return err
		}
		w.others = append(w.others, cmd)
	}
	cmd, err := w.launch(binaries, "standin", append([]string{"service", "--id", "service-0", "--entry", entryName(languageEntries)}, common...)...)
	if err != nil {
		return err
	}
	w.others = append(w.others, cmd)
	w.shape.Workers = engines + 1
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	return poll(ctx, 100*time.Millisecond, w.complete)
}

// pathWindow sends streamed requests from a fixed number of clients.
func (w *world) pathWindow(parent context.Context, maxTokens int) (p PathWindow, err error) {
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
				got, size, err := stream(ctx, client, w.self.Address, fmt.Sprintf("client %d question %d", i, n), maxTokens)
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
	time.Sleep(pathWarmUp)
	pid := w.process.Process.Pid
	before := [...]int64{requests.Load(), tokens.Load(), received.Load()}
	from, err := readUsage(pid)
	time.Sleep(pathTime)
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

// stream sends a request and reads its response to the end.
func stream(ctx context.Context, client *http.Client, address, question string, maxTokens int) (tokens, size int, err error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, entryName(0), maxTokens, question)
	data, err := post(ctx, client, "http://"+address+"/v1/chat/completions", body, "")
	if err != nil {
		return 0, 0, err
	}
	if !bytes.Contains(data, []byte("data: [DONE]")) {
		return 0, 0, fmt.Errorf("stream ended early after %d bytes", len(data))
	}
	// The first event of a stream names the role and has an empty content.
	return bytes.Count(data, []byte(`"content":"`)) - bytes.Count(data, []byte(`"content":""`)), len(data), nil
}

// post sends a request and returns the body of a response with status 200.
func post(ctx context.Context, client *http.Client, url, body, key string) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+token)
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
		err = fmt.Errorf("status %d: %.200s", p.StatusCode, data)
	}
	return data, err
}

// book makes calls that must not be repeated and returns the cost of one.
func (w *world) book(ctx context.Context) (map[string]float64, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: bookingsAtOnce}}
	defer client.CloseIdleConnections()
	pid := w.process.Process.Pid
	errs := make([]error, bookingsAtOnce)
	win, err := w.counters.window(pid, 0, func() {
		var wg sync.WaitGroup
		for i := range bookingsAtOnce {
			wg.Go(func() {
				for n := 0; n < bookings/bookingsAtOnce && errs[i] == nil; n++ {
					_, errs[i] = post(ctx, client, "http://"+w.self.Address+"/v1/services/"+entryName(languageEntries)+"/bookings",
						fmt.Sprintf(`{"slot":%d}`, n), fmt.Sprintf("booking-%d-%d", i, n))
				}
			})
		}
		wg.Wait()
	})
	calls := win.Rates
	cost := map[string]float64{"calls": bookings}
	for _, name := range []string{"cpu", "calls.GET-kv", "calls.PUT-kv", "body.kv", "platform.sent"} {
		cost[name] = calls[name] * win.Seconds / bookings
	}
	return cost, errors.Join(append(errs, err)...)
}
