package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenes["volley"] = volley }

// volley: a request crashes each worker that begins to run it, and comes again. With trouble
// its client is one of those that repeat at once: the request and three copies of it come
// at four machines, 40 ms apart. Without, it comes once at a time.
func volley(w *world, trouble bool) (string, error) {
	type arrival struct {
		at        time.Time
		id, entry string
	}
	var mu sync.Mutex
	var arrivals []arrival
	var crashes []time.Time
	c := newConfig("sack-assist")
	c.route("counter-query", "/query/", "streaming", "sack-assist", 10000, 500, 1)
	c.tenant("hule930", 400000, "key-hule930")
	var workers []*worker
	for i := range 18 {
		workers = append(workers, &worker{service: "sack-assist", zone: zones[i%4], down: 2 * time.Second, serve: func(s *worker, rw http.ResponseWriter, r *http.Request, q *run) bool {
			if strings.Contains(string(q.body), "crashes") {
				mu.Lock()
				arrivals = append(arrivals, arrival{q.at, q.id, q.entry})
				mu.Unlock()
				if !sleep(r.Context(), 250*time.Millisecond) { // until it begins to run, with its first token
					return false
				}
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
				return true
			}
			stream(rw, r, 60*time.Millisecond, 20*time.Millisecond, 20)
			return false
		}})
	}
	if err := w.begin(c, workers...); err != nil {
		return "", err
	}
	start := time.Now()
	var wg sync.WaitGroup
	query := func(n int, body string) request {
		return request{method: http.MethodPost, path: "/query/2f", key: "key-hule930", tokens: "1460,40", prefix: fmt.Sprintf("e%07x:1460", n), deadline: 10 * time.Second, body: []byte(body)}
	}
	sound := func(n int) { w.send(w.fronts[n%len(w.fronts)], query(n, fmt.Sprint("query ", n))) }
	end := start.Add(100 * time.Second)
	wg.Go(func() { // sound requests, 5 a second
		for n := 0; time.Now().Before(end); n++ {
			wg.Go(func() { sound(n) })
			time.Sleep(200 * time.Millisecond)
		}
	})
	bad := func(entry int) {
		q := query(99999, "query that crashes")
		q.note = "that crashes"
		wg.Go(func() { w.send(w.fronts[entry%len(w.fronts)], q) })
	}
	// The request comes again after 1, 5, 5, .. s, at any machine, until it has crashed three
	// workers.
	entry := 0
	for _, at := range []float64{2, 3, 10, 15} {
		time.Sleep(time.Until(start.Add(time.Duration(at * float64(time.Second)))))
		bad(entry)
		entry += 2
	}
	time.Sleep(time.Second)
	mu.Lock()
	n := len(crashes)
	mu.Unlock()
	if n < 3 {
		return "", fmt.Errorf("%w: only %d crashes", errNotRun, n)
	}
	// A minute later it comes again, twice.
	for _, at := range []float64{72, 84} {
		time.Sleep(time.Until(start.Add(time.Duration(at * float64(time.Second)))))
		copies := 1
		if trouble {
			copies = 4
		}
		for range copies {
			bad(entry)
			entry++
			time.Sleep(40 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	end = time.Now()
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	counted := 0
	for _, a := range arrivals {
		if a.at.After(crashes[2].Add(contact)) {
			counted++
			w.logf("counted: %s reached a worker at %.3f from %s", a.id, a.at.Sub(w.start).Seconds(), a.entry)
		}
	}
	w.logf("the request reached workers %d times in all; %d crashes, the third at %.3f; %d counted", len(arrivals), len(crashes), crashes[2].Sub(w.start).Seconds(), counted)
	if counted > 3 {
		return fmt.Sprintf("a request that crashes workers reached workers in %d retries later than contact_ms after its third crash, sent by machines in touch", counted), nil
	}
	return "", nil
}
