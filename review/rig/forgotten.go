package main

import (
	"fmt"
	"sync"
	"time"
)

// deadlyPart is the part of a prompt that crashes workers.
const deadlyPart = "dead"

// settle is how long a case waits at its end for what is on its way.
const settle = 500 * time.Millisecond

// forgotten sends requests with a deadly part, no two alike: four in two seconds, and
// then one every deadlyPeriod. With the disruption, all processes of the system are
// killed at the same moment and start again half a second later.
func forgotten(d *deployment, trouble bool) int {
	const (
		deadlyPeriod = 4500 * time.Millisecond
		burst        = 4 // requests that come at first
		burstGap     = 500 * time.Millisecond
		mostBefore   = 14 // requests before the kill, at most
		after        = 8  // requests after the kill
	)
	d.configure(1, route("ask", "/ask/", "streaming", "sack-assist", 1, false))
	zones := []string{"alappuzha", "kottayam", "kollam"}
	for n := range 9 {
		d.addWorker(fmt.Sprintf("w%d", n), zones[n%3], &worker{deadly: deadlyPart, restartAfter: 2500 * time.Millisecond, events: 20, gap: 60 * time.Millisecond})
	}
	for n := range 3 {
		d.addInstance(fmt.Sprintf("edge-%s-1", zones[n]), zones[n])
	}
	d.waitReady()
	time.Sleep(contact)

	// Sound requests go on all the time.
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			i, parts, body := d.instances[n%len(d.instances)], fmt.Sprintf("aa%d:400,%x:60", n%40, 1<<24+n), fmt.Sprintf("sound question %d", n)
			wg.Go(func() { d.ask(i, fmt.Sprintf("/ask/%d", n), parts, body) })
		}
	})
	var mu sync.Mutex
	var deadly []answer
	uptimes := make(map[string]time.Duration)
	next := time.Now()
	killed := -1 // the number of the request after which the processes were killed
	for n := 0; killed < 0 || n <= killed+after; n++ {
		gap := deadlyPeriod
		if n < burst {
			gap = burstGap
		}
		next = next.Add(gap)
		i := d.instances[n%len(d.instances)]
		wg.Go(func() {
			a := d.ask(i, fmt.Sprintf("/ask/d%d", n), fmt.Sprintf("bb:400,%s:200,%x:60", deadlyPart, 1<<20+n), fmt.Sprintf("question %d on the deadly part", n))
			mu.Lock()
			defer mu.Unlock()
			uptimes[a.id] = i.uptime(a.at)
			deadly = append(deadly, a)
		})
		time.Sleep(min(settle, gap))
		if crashes := d.crashes(); killed < 0 && (n == mostBefore || len(crashes) >= 5 && time.Since(crashes[4]) > contact) {
			killed = n
			if trouble {
				d.killAll(500 * time.Millisecond)
			}
		}
		time.Sleep(time.Until(next))
	}
	close(stop)
	wg.Wait()
	time.Sleep(settle)

	crashes, arrived := d.crashes(), d.arrived()
	d.say("crashes of workers: %d; sound requests broken off by them: %d", len(crashes), d.broken())
	if len(crashes) < 5 {
		d.say("the rule has nothing to judge: fewer than five crashes")
		return 0
	}
	late := 0
	for _, a := range deadly {
		inTouch := uptimes[a.id] >= contact
		after := a.at.Sub(crashes[4])
		d.log("request %s: sent %.1f s after the fifth crash, machine in touch: %v, workers reached: %d", a.id, after.Seconds(), inTouch, len(arrived[a.id]))
		if inTouch && after > contact {
			late += len(arrived[a.id])
		}
	}
	d.say("requests with the part that reached workers, sent by machines in touch later than contact_ms after the fifth crash: %d; allowed: 3", late)
	if late > 3 {
		d.say("BUDGET is broken")
		return 1
	}
	return 0
}
