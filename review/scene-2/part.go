package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenes["part"] = part }

const badPart = "bad0bad0"

// part: a part of a prompt crashes the workers. All entry instances are killed at once and
// start again. Requests with the part go on coming, three at a time each four seconds.
func part(w *world, trouble bool) (string, error) {
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
			bad := strings.Contains(q.prefix, badPart)
			if bad {
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
			}
			stream(rw, r, 250*time.Millisecond, 40*time.Millisecond, 20)
			return false
		}})
	}
	if err := w.begin(c, workers...); err != nil {
		return "", err
	}
	var wg sync.WaitGroup
	send := func(n int, bad bool) {
		wg.Go(func() {
			first, note, second := fmt.Sprintf("d0c%05x:13300", n%30), "", ""
			if bad {
				note, second = "with the bad part", badPart+":400,"
			}
			q := request{method: http.MethodPost, path: "/report/2f", key: "key-hule930", tokens: "17420,30", deadline: 10 * time.Second,
				prefix: fmt.Sprintf("%s,%se%07x:3720", first, second, n), body: make([]byte, 1700), note: note}
			w.send(w.fronts[n%len(w.fronts)], q)
		})
	}
	end := time.Now().Add(48 * time.Second)
	wg.Go(func() { // sound requests, 5 a second
		for n := 0; time.Now().Before(end); n++ {
			send(n, false)
			time.Sleep(200 * time.Millisecond)
		}
	})
	time.Sleep(2 * time.Second)
	for n := range 14 { // the first requests with the part, within 150 ms
		send(1000+n, true)
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	send(1010, true)
	time.Sleep(300 * time.Millisecond)
	if trouble {
		if err := w.killAll(500 * time.Millisecond); err != nil {
			return "", err
		}
		if err := w.waitReady(8 * time.Second); err != nil {
			return "", err
		}
	}
	again := time.Now()
	for n := 1011; time.Now().Before(end.Add(-2 * time.Second)); {
		time.Sleep(4 * time.Second)
		for range 3 {
			send(n, true)
			n++
		}
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < 5 {
		return "", fmt.Errorf("%w: only %d crashes", errNotRun, len(crashes))
	}
	started := map[string]time.Time{}
	for _, f := range w.fronts {
		started[f.name] = f.started
	}
	counted := 0
	for _, a := range arrivals {
		if a.at.After(crashes[4].Add(contact)) && a.at.After(started[a.entry].Add(contact)) && a.at.After(again) {
			counted++
			w.logf("counted: %s reached a worker at %.3f from %s", a.id, a.at.Sub(w.start).Seconds(), a.entry)
		}
	}
	w.logf("%d requests with the part reached workers in all; %d crashes, the fifth at %.3f; %d counted", len(arrivals), len(crashes), crashes[4].Sub(w.start).Seconds(), counted)
	if counted > 3 {
		return fmt.Sprintf("%d requests with a part that crashes workers reached workers later than contact_ms after the fifth crash, sent by machines in touch", counted), nil
	}
	return "", nil
}
