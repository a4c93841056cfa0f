package main

import (
	"fmt"
	"sync"
	"time"
)

// empty plays a roll-out to v2, which is sound, and a final fault in the middle of it:
// all processes are killed. With the disruption, the workers of v2 are lost for good
// before that.
func empty(d *deployment, trouble bool) int {
	const (
		seconds = 12 // of the order
		period  = 25 * time.Millisecond
		recover = 12 * time.Second // recover_s
		judged  = 8 * time.Second
	)
	d.configure(1, route("pay", "/pay/", "non_idempotent", "sack-assist", 1, false))
	zones := []string{"alappuzha", "kottayam", "kollam"}
	start := func(version string, count int) {
		for n := range count {
			d.addWorker(fmt.Sprintf("%s-%d", version, n), zones[n%3], &worker{plain: true, gap: 20 * time.Millisecond, version: version})
		}
	}
	start("v1", 12)
	for n := range 6 {
		d.addInstance(fmt.Sprintf("edge-%s-%d", zones[n%3], n/3+1), zones[n%3])
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
	time.Sleep(3 * time.Second)
	ordered := d.order("v2", seconds)
	start("v2", 3)
	go func() { // the platform
		for status := ""; ; time.Sleep(50 * time.Millisecond) {
			if s := d.status("v2"); s != status {
				status = s
				d.say("%.1f s after the order its status is %s", time.Since(ordered).Seconds(), s)
			}
			if status == "complete" {
				d.log("the platform stops the workers of v1")
				for _, w := range d.workers {
					if w.version == "v1" {
						w.stop()
						d.store.erase("servers/" + w.id)
					}
				}
				return
			}
		}
	}()
	time.Sleep(2 * time.Second)
	if trouble {
		for _, w := range d.workers {
			if w.version == "v2" {
				w.lose()
			}
		}
	}
	time.Sleep(4 * time.Second)
	fault := time.Now()
	d.killAll(700 * time.Millisecond)
	back := time.Now()
	time.Sleep(recover + judged)
	close(stop)
	wg.Wait()
	time.Sleep(settle)
	var asked, served [2]int
	reasons := make(map[string]int)
	for _, a := range answers {
		k := 0
		switch {
		case a.at.Before(fault.Add(-100 * time.Millisecond)):
		case a.at.After(back.Add(recover)):
			k = 1
			if a.status != 200 {
				reasons[fmt.Sprint(a.status, " ", a.reason)]++
			}
		default:
			continue
		}
		asked[k]++
		if a.status == 200 {
			served[k]++
		}
	}
	d.say("served before the final fault: %d of %d; later than recover_s after the machines are back: %d of %d %v", served[0], asked[0], served[1], asked[1], reasons)
	if 4*served[0] >= asked[0] && 4*served[1] < asked[1] {
		d.say("RECOVER is broken")
		return 1
	}
	return 0
}
