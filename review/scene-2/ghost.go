package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenes["ghost"] = ghost }

// ghost: a worker leaves without reporting that it drains: its entry is removed, and it goes on
// serving for some seconds. The store is away for a moment and comes back from a copy that
// still has the entry; it removes it again after three intervals of silence.
func ghost(w *world, trouble bool) (string, error) {
	const (
		drain   = 2 * time.Second
		silence = 3600 * time.Millisecond // three intervals of 1.2 s
	)
	var mu sync.Mutex
	var arrivals []*run
	sent := map[string]answer{}
	c, workers := payouts(w, nil)
	leaving := workers[1]
	for _, s := range workers {
		s.arrived = func(q *run) {
			mu.Lock()
			defer mu.Unlock()
			if s == leaving {
				arrivals = append(arrivals, q)
			}
		}
	}
	if err := w.begin(c, workers...); err != nil {
		return "", err
	}
	var wg sync.WaitGroup
	end := time.Now().Add(20 * time.Second)
	wg.Go(func() { // 30 requests a second
		for n := 0; time.Now().Before(end); n++ {
			wg.Go(func() {
				a := w.send(w.fronts[n%len(w.fronts)], request{method: http.MethodPost, path: "/payout/2f", key: "key-hule930", deadline: time.Second, body: fmt.Appendf(nil, "payout %d", n)})
				mu.Lock()
				sent[a.id] = a
				mu.Unlock()
			})
			time.Sleep(time.Second / 30)
		}
	})
	time.Sleep(4 * time.Second)
	old := w.store.copyNow()
	w.logf("the store's copy is made")
	time.Sleep(500 * time.Millisecond)
	w.store.remove("servers/" + leaving.id)
	ack := time.Now()
	w.logf("the entry of worker %s is removed; it goes on serving", leaving.id)
	time.Sleep(2500 * time.Millisecond)
	back := time.Time{}
	if trouble {
		w.logf("the store goes away")
		w.store.goAway()
		time.Sleep(time.Second)
		w.store.comeBack(old)
		back = time.Now()
		w.logf("the store is back from its copy")
		w.store.put("op/config", c)
		for _, s := range workers {
			if s != leaving {
				s.register()
			}
		}
		time.AfterFunc(silence, func() {
			w.store.remove("servers/" + leaving.id)
			w.logf("the entry of worker %s is removed after three intervals of silence", leaving.id)
		})
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	bad := 0
	for _, q := range arrivals {
		at := sent[q.id].sent
		if q.at.After(ack.Add(drain)) && q.at.After(back.Add(contact)) && at.After(back.Add(contact)) {
			bad++
			w.logf("%s reached the worker %.3f s after the ack, %.3f s after the return of the store, from %s", q.id, q.at.Sub(ack).Seconds(), q.at.Sub(back).Seconds(), q.entry)
		}
	}
	w.logf("the worker got %d requests in all, %d of them later than drain_ms after the ack by machines in touch", len(arrivals), bad)
	if bad > 0 {
		return fmt.Sprintf("%d requests reached a worker later than drain_ms after the store acknowledged that it is gone, sent by machines in touch", bad), nil
	}
	return "", nil
}
