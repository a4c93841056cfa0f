package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// stopUnderLoad stops an instance as planned while clients send on kept channels, and counts
// the requests that ran and got no answer.
func stopUnderLoad(w *world, seed uint64) {
	w.configure(nil)
	w.addWorkers("app", 8, 64, 15*time.Millisecond)
	for k, x := range w.workers {
		x.setWork(time.Duration(5+20*k) * time.Millisecond)
	}
	w.addWorkers("ai", 4, 64, 15*time.Millisecond)
	for _, x := range w.workers[8:] {
		x.respond = func(rw http.ResponseWriter, r *http.Request) { stream(rw, r, "", 0) }
	}
	w.addInstances(2)
	for _, i := range w.instances {
		i.awaitReady(20 * time.Second)
	}
	time.Sleep(3 * time.Second)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var all []sent
	var wg sync.WaitGroup
	i := w.instances[0]
	for n := range 64 {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(n)))
			for ctx.Err() == nil && i.running() {
				path := []string{"/once/", "/stream/"}[random.IntN(2)] + newID(random)
				s := do(context.Background(), client, i, http.MethodPost, path, newID(random), "x", 3*time.Second, 3*time.Second)
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
				time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	stopped := time.Now()
	i.signal(syscall.SIGTERM)
	<-i.done
	w.note("the process ended after %v", time.Since(stopped))
	cancel()
	wg.Wait()
	lost := 0
	for _, s := range all {
		if s.status == 0 && w.runs.of(s.id) > 0 {
			lost++
			w.note("lost: %s sent %v after SIGTERM, took %v", s.path[:7], s.at.Sub(stopped), s.took)
		}
	}
	w.note("answers by status %v, run and lost: %d", counts(all), lost)
	for _, f := range w.judge(all) {
		w.note("BROKEN %s", f)
	}
}
