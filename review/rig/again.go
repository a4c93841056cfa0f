package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// order writes the operator's order to move the traffic of sack-assist.
func (d *deployment) order(version string, seconds int) time.Time {
	d.store.write("op/rollout/sack-assist", map[string]any{"service": "sack-assist", "target_version": version, "duration_s": seconds})
	d.log("the operator orders %s within %d s", version, seconds)
	return time.Now()
}

// status returns the status of the roll-out to a version that the operator reads.
func (d *deployment) status(version string) string {
	s := d.store.value("status/rollout/sack-assist")
	if !strings.Contains(s, `"target_version":"`+version+`"`) {
		return ""
	}
	for _, state := range []string{"in_progress", "complete", "reverted"} {
		if strings.Contains(s, state) {
			return state
		}
	}
	return ""
}

// again plays a roll-out to v2, which is bad: one in two of its answers fails. The
// system finds out and reports it as reverted, and the platform drains the workers of v2
// some seconds later. With the disruption, the operator orders v3, which is sound, half a
// second after it has read the status. With ABORT=1 it orders v1 back two seconds after
// the order of v2 instead.
func again(d *deployment, trouble bool) int {
	const (
		seconds    = 12 // of an order
		period     = 12 * time.Millisecond
		share      = 0.1             // exposure_share
		slack      = 50              // exposure_slack
		drainDelay = 6 * time.Second // from the status to the draining of the workers
	)
	abort := os.Getenv("ABORT") == "1"
	d.configure(1, route("pay", "/pay/", "non_idempotent", "sack-assist", 1, false))
	zones := []string{"alappuzha", "kottayam"}
	start := func(version string, failEach int) {
		for n := range 4 {
			d.addWorker(fmt.Sprintf("%s-%d", version, n), zones[n%2], &worker{plain: true, gap: 20 * time.Millisecond, version: version, failEach: failEach})
		}
	}
	start("v1", 0)
	for n := range 4 {
		d.addInstance(fmt.Sprintf("edge-%s-%d", zones[n%2], n/2+1), zones[n%2])
	}
	d.waitReady()
	time.Sleep(contact)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(period):
			}
			i := d.instances[n%len(d.instances)]
			wg.Go(func() {
				a := d.ask(i, fmt.Sprintf("/pay/%d", n), "", "entry")
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
		}
	})
	time.Sleep(4 * time.Second)
	ordered := d.order("v2", seconds)
	limit := ordered.Add(seconds * time.Second)
	start("v2", 2)
	if abort {
		time.Sleep(2 * time.Second)
		if trouble {
			d.order("v1", seconds)
		}
	} else {
		for d.status("v2") != "reverted" {
			if time.Now().After(limit) {
				d.unable("v2 is not reverted in time")
			}
			time.Sleep(50 * time.Millisecond)
		}
		d.say("%.1f s after the order of v2 its status is reverted", time.Since(ordered).Seconds())
		time.AfterFunc(drainDelay, func() {
			d.log("the platform drains the workers of v2")
			for _, w := range d.workers {
				if w.version == "v2" {
					w.drain(3 * time.Second)
				}
			}
		})
		time.Sleep(500 * time.Millisecond)
		if trouble {
			d.order("v3", seconds)
			start("v3", 0)
		}
	}
	time.Sleep(time.Until(limit) + 10*time.Second)
	close(stop)
	wg.Wait()
	time.Sleep(settle)
	arrived := d.arrived()
	counts := make(map[string][]int)
	var total, bad, failed int
	for _, a := range answers {
		if a.at.Before(ordered) {
			continue
		}
		second := int(a.at.Sub(ordered).Seconds())
		for _, r := range arrived[a.id] {
			version, _, _ := strings.Cut(r.worker, "-")
			if counts[version] == nil {
				counts[version] = make([]int, seconds+11)
			}
			counts[version][min(second, seconds+10)]++
			if a.at.Before(limit) {
				total++
				if version == "v2" {
					bad++
				}
			}
		}
		if a.at.Before(limit) && a.status == http.StatusInternalServerError {
			failed++
		}
	}
	d.say("requests at workers, by version, in each second after the order of v2:")
	for _, version := range []string{"v1", "v2", "v3"} {
		d.say("  %s %v", version, counts[version])
	}
	d.say("between the order of v2 and its time limit, %d of %d requests reached v2; allowed: %.0f; requests that failed there: %d", bad, total, share*float64(total)+slack, failed)
	if float64(bad) > share*float64(total)+slack {
		d.say("EXPOSURE is broken")
		return 1
	}
	return 0
}
