package main

import (
	"fmt"
	"maps"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { scenes["revoked"], scenes["usage"] = revoked, usage }

// payouts returns the configuration and the workers of a small application.
func payouts(w *world, ran func(q *run)) (config, []*worker) {
	c := newConfig("ledger-desk")
	c.route("payout-entry", "/payout/", "non_idempotent", "ledger-desk", 1000, 100, 1)
	c.tenant("hule930", 400000, "key-hule930", "key-second")
	c.tenant("fida11", 400000, "key-fida11")
	var workers []*worker
	for i := range 4 {
		workers = append(workers, &worker{service: "ledger-desk", zone: zones[i], down: 2 * time.Second, serve: func(s *worker, rw http.ResponseWriter, r *http.Request, q *run) bool {
			if ran != nil {
				ran(q)
			}
			plain(rw, r, 15*time.Millisecond)
			return false
		}})
	}
	return c, workers
}

// revoked: a key is taken away. Later the store is away for a moment and comes back from a
// copy that is some seconds old; what the operator wrote is written again two seconds later.
// One entry instance is stopped as planned, and started again just after the return.
func revoked(w *world, trouble bool) (string, error) {
	const revokeWithin = 5 * time.Second
	var mu sync.Mutex
	ran := map[string]*run{}
	c, workers := payouts(w, func(q *run) {
		mu.Lock()
		defer mu.Unlock()
		ran[q.id] = q
	})
	if err := w.begin(c, workers...); err != nil {
		return "", err
	}
	var wg sync.WaitGroup
	var late []answer // of requests with the key that were sent later than revoke_ms after the ack
	var ack time.Time
	sound := 0
	end := time.Now().Add(22 * time.Second)
	for _, key := range []string{"key-hule930", "key-second"} {
		wg.Go(func() { // 18 requests a second with each key, two to each instance
			for n := 0; time.Now().Before(end); n++ {
				wg.Go(func() {
					a := w.send(w.fronts[n%len(w.fronts)], request{method: http.MethodPost, path: "/payout/2f", key: key, deadline: time.Second, body: fmt.Appendf(nil, "payout %s %d", key, n), note: key})
					mu.Lock()
					defer mu.Unlock()
					switch {
					case key == "key-second" && !ack.IsZero() && a.sent.After(ack.Add(revokeWithin)):
						late = append(late, a)
					case a.status == http.StatusOK:
						sound++
					}
				})
				time.Sleep(time.Second / 18)
			}
		})
	}
	time.Sleep(4 * time.Second)
	old := w.store.copyNow() // the copy from which the store will come back
	w.logf("the store's copy is made")
	time.Sleep(300 * time.Millisecond)
	next := c.clone()
	next.Version = 9
	next.Tenants[0]["api_keys"] = []string{"key-hule930"}
	mu.Lock()
	ack = w.store.put("op/config", next)
	mu.Unlock()
	w.logf("the operator takes key-second away; ack")
	f := w.fronts[4]
	time.Sleep(time.Until(ack.Add(1500 * time.Millisecond)))
	w.logf("%s gets SIGTERM", f.name)
	f.signal(syscall.SIGTERM)
	time.Sleep(time.Until(ack.Add(revokeWithin - time.Second)))
	if trouble {
		w.logf("the store goes away")
		w.store.goAway()
	}
	time.Sleep(time.Until(ack.Add(revokeWithin + 200*time.Millisecond)))
	if trouble {
		w.store.comeBack(old)
		w.logf("the store is back from its copy")
		for _, s := range workers {
			time.AfterFunc(300*time.Millisecond, s.register)
		}
		time.AfterFunc(2*time.Second, func() {
			w.store.put("op/config", next)
			w.logf("the operator has written its configuration again")
		})
	}
	select {
	case <-f.ended:
	case <-time.After(8 * time.Second): // grace_s
		f.kill()
	}
	time.Sleep(100 * time.Millisecond)
	if err := f.run(); err != nil {
		return "", err
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	if sound < 100 {
		return "", fmt.Errorf("%w: only %d sound requests were served", errNotRun, sound)
	}
	bad := 0
	for _, a := range late {
		if q := ran[a.id]; q != nil {
			bad++
			w.logf("ran with the key %.3f s after the ack: %s, from %s", a.sent.Sub(ack).Seconds(), a.id, q.entry)
		}
	}
	w.logf("%d requests with the key were sent later than revoke_ms after the ack, %d ran", len(late), bad)
	if bad > 0 {
		return fmt.Sprintf("%d requests ran whose key was taken away longer than revoke_ms before they were sent", bad), nil
	}
	return "", nil
}

// usage: the store is away for a moment and comes back from a copy that is some seconds old.
// Meanwhile all entry instances are killed and start again.
func usage(w *world, trouble bool) (string, error) {
	c, workers := payouts(w, nil)
	if err := w.begin(c, workers...); err != nil {
		return "", err
	}
	var wg sync.WaitGroup
	end := time.Now().Add(38 * time.Second)
	for _, key := range []string{"key-hule930", "key-fida11"} {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				wg.Go(func() {
					w.send(w.fronts[n%len(w.fronts)], request{method: http.MethodPost, path: "/payout/2f", key: key, deadline: time.Second, body: fmt.Appendf(nil, "payout %s %d", key, n)})
				})
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	reports := func() int {
		w.cloud.mu.Lock()
		defer w.cloud.mu.Unlock()
		return len(w.cloud.meter)
	}
	// The copy is made each second, as a platform does; the store comes back from the last
	// one before the report.
	waitReport := func(more int) (before storeState, err error) {
		n := reports()
		before = w.store.copyNow()
		for last, deadline := time.Now(), time.Now().Add(25*time.Second); reports() < n+more; time.Sleep(5 * time.Millisecond) {
			if time.Since(last) > time.Second {
				before, last = w.store.copyNow(), time.Now()
			}
			if time.Now().After(deadline) {
				return before, fmt.Errorf("%w: no usage was reported", errNotRun)
			}
		}
		return before, nil
	}
	if _, err := waitReport(1); err != nil {
		return "", err
	}
	old, err := waitReport(1)
	if err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	if trouble {
		w.logf("the store goes away")
		w.store.goAway()
		time.Sleep(500 * time.Millisecond)
		for _, f := range w.fronts {
			f.kill()
		}
		w.logf("all entry instances are killed")
		time.Sleep(500 * time.Millisecond)
		w.store.comeBack(old)
		w.logf("the store is back from its copy")
		w.store.put("op/config", c)
		for _, s := range workers {
			s.register()
		}
		for _, f := range w.fronts {
			if err := f.run(); err != nil {
				return "", err
			}
		}
	}
	wg.Wait()
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	first := map[int64]meterCall{}
	broken := ""
	for _, m := range w.cloud.meter {
		f, ok := first[m.window]
		if !ok {
			first[m.window] = m
			continue
		}
		if !maps.Equal(f.counts, m.counts) {
			broken = fmt.Sprintf("the platform accepted two usage reports for window %d: %v from %s and %v from %s", m.window, f.counts, f.holder, m.counts, m.holder)
			w.logf("%s", broken)
		}
	}
	if len(first) < 3 {
		return "", fmt.Errorf("%w: only %d windows were reported", errNotRun, len(first))
	}
	return broken, nil
}
