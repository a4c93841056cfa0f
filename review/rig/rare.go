package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// rare plays a roll-out to v2. With the disruption, v2 is bad on one route only, which
// has a small part of the service's traffic: one in two of its answers there fails. With
// NOTFOUND=1, one in two of its answers on all routes is 404 instead.
func rare(d *deployment, trouble bool) int {
	const (
		seconds = 12 // of the order
		period  = 16 * time.Millisecond
		each    = 18  // one in so many requests is on the route
		share   = 0.1 // exposure_share
		slack   = 50  // exposure_slack
	)
	d.configure(1, route("pay", "/pay/", "non_idempotent", "sack-assist", 1, false), route("close", "/close/", "non_idempotent", "sack-assist", 1, false))
	zones := []string{"alappuzha", "kottayam"}
	failPath, failStatus := "/close/", http.StatusInternalServerError
	if os.Getenv("NOTFOUND") == "1" {
		failPath, failStatus = "/", http.StatusNotFound
	}
	start := func(version string, failEach int) {
		for n := range 4 {
			d.addWorker(fmt.Sprintf("%s-%d", version, n), zones[n%2], &worker{plain: true, gap: 20 * time.Millisecond, version: version, failEach: failEach, failPath: failPath, failStatus: failStatus})
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
			i, path := d.instances[n%len(d.instances)], fmt.Sprintf("/pay/%d", n)
			if n%each == 0 {
				i, path = d.instances[n/each%len(d.instances)], fmt.Sprintf("/close/%d", n)
			}
			wg.Go(func() {
				a := d.ask(i, path, "", "entry")
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
		}
	})
	time.Sleep(6 * time.Second)
	ordered := d.order("v2", seconds)
	limit := ordered.Add(seconds * time.Second)
	if trouble {
		start("v2", 2)
	} else {
		start("v2", 0)
	}
	status := ""
	for time.Now().Before(limit) {
		if s := d.status("v2"); s != status {
			status = s
			d.say("%.1f s after the order its status is %s", time.Since(ordered).Seconds(), s)
			if s == "complete" {
				d.log("the platform stops the workers of v1")
				for _, w := range d.workers {
					if w.version == "v1" {
						w.stop()
						d.store.erase("servers/" + w.id)
					}
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	time.Sleep(settle)
	arrived := d.arrived()
	counts := make(map[string][]int)
	var total, bad, failed, closes int
	for _, a := range answers {
		if a.at.Before(ordered) || !a.at.Before(limit) {
			continue
		}
		for _, r := range arrived[a.id] {
			version, _, _ := strings.Cut(r.worker, "-")
			if counts[version] == nil {
				counts[version] = make([]int, seconds)
			}
			counts[version][int(a.at.Sub(ordered).Seconds())]++
			total++
			if version == "v2" {
				bad++
			}
			if strings.HasPrefix(r.path, "/close/") {
				closes++
			}
		}
		if a.status == failStatus {
			failed++
		}
	}
	d.say("requests at workers, by version, in each second after the order of v2:")
	for _, version := range []string{"v1", "v2"} {
		d.say("  %s %v", version, counts[version])
	}
	d.say("between the order of v2 and its time limit, %d of %d requests reached v2; allowed for a bad version: %.0f; on the route: %d; failed: %d", bad, total, share*float64(total)+slack, closes, failed)
	if trouble && float64(bad) > share*float64(total)+slack {
		d.say("EXPOSURE is broken")
		return 1
	}
	return 0
}
