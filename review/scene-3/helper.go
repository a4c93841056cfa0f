package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// helperStop stops an instance as planned through which another one, which is cut off from
// all workers, sends its requests.
func helperStop(w *world, seed uint64) {
	w.configure(nil)
	w.addWorkers("app", 4, 60, 1500*time.Millisecond)
	w.addWorkers("ai", 4, 64, 15*time.Millisecond)
	proxies := w.addCuttable(zoneNames(3))
	for _, p := range proxies {
		p.cut()
	}
	random := rand.New(rand.NewPCG(seed, 13))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	var mu sync.Mutex
	var all []sent
	var wg sync.WaitGroup
	start := time.Now()
	stopped := false
	for time.Since(start) < 14*time.Second {
		time.Sleep(30 * time.Millisecond)
		if !stopped && time.Since(start) > 4*time.Second {
			stopped = true
			w.note("%s gets SIGTERM", w.instances[1].name)
			w.instances[1].signal(syscall.SIGTERM)
			go func() { <-w.instances[1].done; w.note("it has ended") }()
		}
		id := newID(random)
		wg.Go(func() {
			s := do(context.Background(), client, w.instances[0], http.MethodPost, "/once/"+id, id, "x", 3*time.Second, 3*time.Second)
			mu.Lock()
			all = append(all, s)
			mu.Unlock()
		})
	}
	wg.Wait()
	for _, s := range all {
		if s.status != 200 && s.at.Sub(start) > 3*time.Second {
			w.note("sent %v after the start: status %d after %v, ran %d times", s.at.Sub(start), s.status, s.took, w.runs.of(s.id))
		}
	}
	w.note("answers by status %v", counts(all))
	for _, f := range w.judge(all) {
		w.note("BROKEN %s", f)
	}
}
