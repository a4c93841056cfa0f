package main

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { scenes["rollout"] = rollout }

const (
	// rolloutTime is the time that the order allows.
	rolloutTime = 15 * time.Second
	// failingEach is the number of answers of the bad version of which one is a failure.
	failingEach = 25
)

// rollout: the operator orders a new version, whose workers are started alongside the old
// ones. With trouble each 25th of its answers is a failure; without, it is as good as the old
// one.
func rollout(w *world, trouble bool) (string, error) {
	const (
		share, slack = 0.1, 50 // exposure_share and exposure_slack
		rollback     = 5 * time.Second
	)
	type arrival struct {
		at  time.Time
		new bool
	}
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(7, 44))
	var arrivals []arrival
	var bad []time.Time // the ends of the bad answers
	answers := 0        // of the new version
	c := newConfig("ledger-desk")
	c.route("payout-entry", "/payout/", "non_idempotent", "ledger-desk", 1000, 100, 1)
	c.route("balance-check", "/balance/", "idempotent", "ledger-desk", 1000, 100, 2)
	c.tenant("hule930", 400000, "key-hule930")
	newWorker := func(zone, version string) *worker {
		isNew := version != "v1"
		s := &worker{service: "ledger-desk", zone: zone, version: version, down: 2 * time.Second}
		s.serve = func(s *worker, rw http.ResponseWriter, r *http.Request, q *run) bool {
			mu.Lock()
			arrivals = append(arrivals, arrival{q.at, isNew})
			work := 15 * math.Exp(0.5*random.NormFloat64()-0.125) // ms, as on the sheet: mean 15, spread 0.5
			if random.Float64() < 0.01 {
				work *= 5
			}
			if isNew {
				answers++
			}
			fails := isNew && trouble && answers%failingEach == 0
			mu.Unlock()
			if fails {
				if sleep(r.Context(), time.Duration(work*float64(time.Millisecond))) {
					rw.WriteHeader(http.StatusInternalServerError)
				}
			} else {
				plain(rw, r, time.Duration(work*float64(time.Millisecond)))
			}
			if fails {
				mu.Lock()
				bad = append(bad, time.Now())
				mu.Unlock()
			}
			return false
		}
		return s
	}
	var old, all []*worker
	for _, zone := range zones {
		old = append(old, newWorker(zone, "v1"))
	}
	if err := w.begin(c, old...); err != nil {
		return "", err
	}
	var wg sync.WaitGroup
	end := time.Now().Add(10*time.Second + rolloutTime + 10*time.Second)
	client := func(n int) request {
		if n%7 < 5 {
			return request{method: http.MethodPost, path: "/payout/2f", key: "key-hule930", deadline: time.Second, body: fmt.Appendf(nil, "payout %d", n)}
		}
		return request{method: http.MethodGet, path: fmt.Sprintf("/balance/%d", n), key: "key-hule930", deadline: time.Second}
	}
	wg.Go(func() { // 27.6 requests a second, as on the sheet
		for n := 0; time.Now().Before(end); n++ {
			entry := w.fronts[rand.IntN(len(w.fronts))]
			wg.Go(func() { w.send(entry, client(n)) })
			time.Sleep(time.Second * 10 / 276)
		}
	})
	time.Sleep(10 * time.Second)
	order := w.store.put("op/rollout/ledger-desk", map[string]any{"service": "ledger-desk", "target_version": "v2", "duration_s": rolloutTime.Seconds()})
	w.logf("the operator orders ledger-desk v2 within %v", rolloutTime)
	for _, zone := range zones {
		s := newWorker(zone, "v2")
		if err := w.addWorker(s); err != nil {
			return "", err
		}
		all = append(all, s)
	}
	state := ""
	for time.Now().Before(end) {
		time.Sleep(20 * time.Millisecond)
		var status struct {
			State string `json:"state"`
		}
		if json.Unmarshal(w.store.get("status/rollout/ledger-desk"), &status) != nil || status.State == state {
			continue
		}
		state = status.State
		w.logf("status: %s, %.3f s after the order", state, time.Since(order).Seconds())
		switch state {
		case "complete":
			for _, s := range old {
				s.stop()
			}
		case "reverted":
			time.AfterFunc(3*time.Second, func() {
				for _, s := range all {
					s.drain(2 * time.Second)
				}
			})
		}
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	reached, exposed, late := 0, 0, 0
	var fiftieth time.Time
	if len(bad) >= 50 {
		fiftieth = bad[49]
	}
	for _, a := range arrivals {
		if a.at.After(order) && a.at.Before(order.Add(rolloutTime)) {
			reached++
			if a.new {
				exposed++
			}
		}
		if a.new && !fiftieth.IsZero() && a.at.After(fiftieth.Add(rollback)) {
			late++
		}
	}
	allowed := share*float64(reached) + slack
	w.logf("the new version got %d of %d requests in the time of its roll-out, of %.0f allowed to a bad one; %d bad answers; %d requests later than rollback_ms after the 50th; last status %q", exposed, reached, allowed, len(bad), late, state)
	if !trouble {
		if state != "complete" {
			return "", fmt.Errorf("%w: a good version is %q", errNotRun, state)
		}
		return "", nil
	}
	if float64(exposed) > allowed {
		return fmt.Sprintf("a bad version got %d of %d requests in the time of its roll-out, of %.0f allowed; its last status is %q, and it got %d requests later than rollback_ms after its 50th bad answer", exposed, reached, allowed, state, late), nil
	}
	if late > 0 {
		return fmt.Sprintf("a bad version got %d requests later than rollback_ms after its 50th bad answer", late), nil
	}
	return "", nil
}
