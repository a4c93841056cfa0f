package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenes["capped"] = capped }

// capped: a worker names its Server-Limit in all its answers. With trouble, there is no
// request for a while, and then many users come at once.
func capped(w *world, trouble bool) (string, error) {
	const limit = 2.0
	type arrival struct {
		at    time.Time
		entry string
	}
	var mu sync.Mutex
	var arrivals []arrival
	var first time.Time
	told := map[string]time.Time{} // when a machine first passed on an answer with the limit
	c := newConfig("sack-assist")
	c.route("ledger-summary", "/summary/", "streaming", "sack-assist", 5000, 600, 1)
	c.tenant("hule930", 400000, "key-hule930")
	var named time.Time // when the worker began to name its limit
	var workers []*worker
	for i := range 3 {
		s := &worker{service: "sack-assist", zone: zones[i], down: 2 * time.Second}
		s.serve = func(s *worker, rw http.ResponseWriter, r *http.Request, q *run) bool {
			if !sleep(r.Context(), 500*time.Millisecond) { // reads the prompt
				return false
			}
			mu.Lock()
			if s == workers[0] && !named.IsZero() {
				rw.Header().Set("Server-Limit", fmt.Sprint(limit))
				if first.IsZero() {
					first = time.Now()
				}
			}
			mu.Unlock()
			stream(rw, r, 0, 30*time.Millisecond, 13)
			return false
		}
		s.arrived = func(q *run) {
			mu.Lock()
			defer mu.Unlock()
			if s == workers[0] {
				arrivals = append(arrivals, arrival{q.at, q.entry})
			}
		}
		workers = append(workers, s)
	}
	if err := w.begin(c, workers...); err != nil {
		return "", err
	}
	limitedID := workers[0].id
	var wg sync.WaitGroup
	n := 0
	send := func() {
		n++
		entry, q := w.fronts[n%len(w.fronts)], request{
			method: http.MethodPost, path: "/summary/2f", key: "key-hule930", tokens: "6300,13", deadline: 5 * time.Second,
			prefix: fmt.Sprintf("d0c%05x:2520,e%07x:3780", n, n), body: make([]byte, 920),
		}
		wg.Go(func() {
			a := w.send(entry, q)
			if a.status == http.StatusOK && a.limit != "" {
				mu.Lock()
				if _, ok := told[entry.name]; !ok {
					told[entry.name] = a.done
				}
				mu.Unlock()
			}
		})
	}
	// play sends requests at a rate for some time.
	play := func(perSecond int, d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); {
			send()
			time.Sleep(time.Second / time.Duration(perSecond))
		}
	}
	play(60, 5*time.Second)
	mu.Lock()
	named = time.Now()
	mu.Unlock()
	play(60, 8*time.Second)
	if trouble {
		time.Sleep(40 * time.Second)
	} else {
		play(6, 40*time.Second)
	}
	play(150, 8*time.Second) // many users come at once
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	if first.IsZero() {
		return "", fmt.Errorf("%w: the worker named no limit", errNotRun)
	}
	w.logf("worker %s first named its limit of %v a second at %.3f; %d machines passed on such an answer", limitedID, limit, first.Sub(w.start).Seconds(), len(told))
	const window = 4 * time.Second
	allowed := 1.5*limit*window.Seconds() + 5
	var counted []time.Time
	for _, a := range arrivals {
		if at, ok := told[a.entry]; ok && a.at.After(at.Add(500*time.Millisecond)) && a.at.After(first.Add(contact)) {
			counted = append(counted, a.at)
		}
	}
	worst, worstAt := 0, time.Time{}
	for i := range counted {
		k := i
		for k < len(counted) && counted[k].Sub(counted[i]) < window {
			k++
		}
		if k-i > worst {
			worst, worstAt = k-i, counted[i]
		}
	}
	w.logf("most requests in 4 s: %d from %.3f, of %v allowed; %d requests in all", worst, worstAt.Sub(w.start).Seconds(), allowed, len(arrivals))
	if float64(worst) > allowed {
		return fmt.Sprintf("a worker with Server-Limit %v got %d requests in 4 s, of %v allowed, from machines that had passed on an answer with it", limit, worst, allowed), nil
	}
	return "", nil
}
