package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenes["silent"] = silent }

// silent: the open channels between the machines fall silent for good, without a reset, while
// new ones work. Later, requests with a part of a prompt that crashes workers come, two a
// second, at any machine.
func silent(w *world, trouble bool) (string, error) {
	type arrival struct {
		at        time.Time
		id, entry string
	}
	var mu sync.Mutex
	var arrivals []arrival
	var crashes []time.Time
	c := newConfig("sack-assist")
	c.route("quality-report", "/report/", "streaming", "sack-assist", 10000, 800, 1)
	c.tenant("hule930", 400000, "key-hule930")
	var workers []*worker
	for i := range 18 {
		workers = append(workers, &worker{service: "sack-assist", zone: zones[i%4], down: 2 * time.Second, serve: func(s *worker, rw http.ResponseWriter, r *http.Request, q *run) bool {
			if !strings.Contains(q.prefix, badPart) {
				stream(rw, r, 250*time.Millisecond, 40*time.Millisecond, 20)
				return false
			}
			mu.Lock()
			arrivals = append(arrivals, arrival{q.at, q.id, q.entry})
			mu.Unlock()
			if !sleep(r.Context(), 250*time.Millisecond) { // reads the prompt
				return false
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			return true
		}})
	}
	var relays map[string]*relay
	w.beforeStart = func() (err error) {
		relays, err = w.addRelays()
		return err
	}
	if err := w.begin(c, workers...); err != nil {
		return "", err
	}
	var wg sync.WaitGroup
	send := func(n int, bad bool) {
		wg.Go(func() {
			note, second := "", ""
			if bad {
				note, second = "with the bad part", badPart+":400,"
			}
			q := request{method: http.MethodPost, path: "/report/2f", key: "key-hule930", tokens: "17420,30", deadline: 10 * time.Second,
				prefix: fmt.Sprintf("d0c%05x:13300,%se%07x:3720", n%30, second, n), body: make([]byte, 1700), note: note}
			w.send(w.fronts[n%len(w.fronts)], q)
		})
	}
	end := time.Now().Add(45 * time.Second)
	wg.Go(func() { // sound requests, 5 a second
		for n := 0; time.Now().Before(end); n++ {
			send(n, false)
			time.Sleep(200 * time.Millisecond)
		}
	})
	time.Sleep(4 * time.Second)
	if trouble {
		for _, r := range relays {
			r.silence()
		}
		w.logf("the open channels between the machines fall silent")
	}
	time.Sleep(8 * time.Second)
	for n := 1000; time.Now().Before(end); n++ {
		send(n, true)
		time.Sleep(500 * time.Millisecond)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) == 0 {
		return "", fmt.Errorf("%w: no worker crashed", errNotRun)
	}
	counted := 0
	if len(crashes) >= 5 {
		for _, a := range arrivals {
			if a.at.After(crashes[4].Add(contact)) {
				counted++
				w.logf("counted: %s reached a worker at %.3f from %s", a.id, a.at.Sub(w.start).Seconds(), a.entry)
			}
		}
	}
	w.logf("%d requests with the part reached workers in all; %d crashes; %d counted", len(arrivals), len(crashes), counted)
	if counted > 3 {
		return fmt.Sprintf("%d requests with a part that crashes workers reached workers later than contact_ms after the fifth crash, sent by machines in touch", counted), nil
	}
	return "", nil
}
