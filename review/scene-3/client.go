package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// sent is a request of a client with what came of it.
type sent struct {
	id, path, instance string
	at                 time.Time
	status             int // 0: no complete answer
	body, seal         string
	took               time.Duration
}

// clients send requests at a rate to random instances.
type clients struct {
	world *world
	mu    sync.Mutex
	all   []sent
	wg    sync.WaitGroup
	stop  context.CancelFunc
}

func newID(random *rand.Rand) string { return fmt.Sprintf("%016x", random.Uint64()) }

// do sends a request with a body on a client and returns what came of it. The client gives up
// once its patience is over.
func do(ctx context.Context, c *http.Client, i *instance, method, path, id, body string, deadline, patience time.Duration) sent {
	s := sent{id: id, path: path, instance: i.name, at: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+i.client+path, io.NopCloser(strings.NewReader(body)))
	check(err)
	r.ContentLength = int64(len(body))
	r.Host = host
	r.Header.Set("X-Wasabiworks-Attempt-Id", id)
	r.Header.Set("X-Wasabiworks-Key", key)
	r.Header.Set("X-Wasabiworks-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	res, err := c.Do(r)
	if err == nil {
		data, readErr := io.ReadAll(res.Body)
		res.Body.Close()
		if readErr == nil {
			s.status, s.body, s.seal = res.StatusCode, string(data), res.Header.Get("X-Wasabiworks-Server-Seal")
		}
	}
	s.took = time.Since(s.at)
	return s
}

// start begins to send requests until stop is called.
func (w *world) startClients(seed uint64, perSecond int, paths []string) *clients {
	ctx, cancel := context.WithCancel(context.Background())
	c := &clients{world: w, stop: cancel}
	random := rand.New(rand.NewPCG(seed, 7))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second}}
	c.wg.Go(func() {
		t := time.NewTicker(time.Second / time.Duration(perSecond))
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			i := w.instances[random.IntN(len(w.instances))]
			path, id := paths[random.IntN(len(paths))]+newID(random), newID(random)
			c.wg.Go(func() {
				s := do(context.Background(), client, i, http.MethodPost, path, id, "x"+id, 1500*time.Millisecond, 1500*time.Millisecond)
				c.mu.Lock()
				c.all = append(c.all, s)
				c.mu.Unlock()
			})
		}
	})
	return c
}

// finish ends the clients and returns what they have sent.
func (c *clients) finish() []sent {
	c.stop()
	c.wg.Wait()
	return c.all
}

// judge returns how the rules TWICE, REFUSED and MIXED are broken.
func (w *world) judge(all []sent) (faults []string) {
	known := make(map[string]bool)
	for _, s := range all {
		known[s.id] = true
		n := w.runs.of(s.id)
		once := strings.HasPrefix(s.path, "/once/") || strings.HasPrefix(s.path, "/open/")
		switch {
		case once && n > 1:
			faults = append(faults, fmt.Sprintf("TWICE: %s ran %d times", s.id, n))
		case once && n > 0 && (s.status == 429 || s.status == 503 || s.status == 408 || s.status == 421):
			faults = append(faults, fmt.Sprintf("REFUSED: %s got %d and has run", s.id, s.status))
		case s.status == 200 && strings.HasPrefix(s.path, "/stream/"):
			if fault := checkStream(s); fault != "" {
				faults = append(faults, fault)
			}
		case s.status >= 200 && s.status < 300 && (s.seal != "seal-"+s.id || !strings.HasPrefix(s.body, "answer to "+s.id+" ")):
			faults = append(faults, fmt.Sprintf("MIXED: %s got seal %q, body %.60q", s.id, s.seal, s.body))
		}
	}
	for _, r := range w.runs.all {
		if !known[r.id] {
			faults = append(faults, fmt.Sprintf("UNASKED: %q %s %s at %s from %s", r.id, r.method, r.target, r.worker, r.from))
		}
		if r.key != "" || r.tenant != "hule930" {
			faults = append(faults, fmt.Sprintf("UNASKED: %s with tenant %q, key %q", r.id, r.tenant, r.key))
		}
	}
	return faults
}

// counts returns the number of requests by status.
func counts(all []sent) map[int]int {
	n := make(map[int]int)
	for _, s := range all {
		n[s.status]++
	}
	return n
}

// noteAll writes to the record what was sent, answered and run.
func (w *world) noteAll(all []sent) {
	for _, s := range all {
		w.note("sent at %s to %s: %s %s, status %d after %v, ran %d times", stamp(s.at), s.instance, s.id, s.path, s.status, s.took.Round(time.Millisecond), w.runs.of(s.id))
	}
}

// checkStream returns how a complete stream breaks the rule ORDER, or an empty text.
func checkStream(s sent) string {
	if strings.HasPrefix(s.body, "answer to "+s.id) {
		return ""
	}
	var want strings.Builder
	for n := 1; n <= streamEvents; n++ {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d of %s\n\n", n, n, s.id)
	}
	if s.body != want.String() || s.seal != "seal-"+s.id {
		return fmt.Sprintf("ORDER: %s got seal %q, %q", s.id, s.seal, s.body)
	}
	return ""
}
