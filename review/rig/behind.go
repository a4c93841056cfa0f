package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// longPrompt returns the list of the parts of a prompt. The last one, own, belongs to
// the request. If place isn't negative, the part at it is deadly.
func longPrompt(parts, place, own int) string {
	var list []string
	for p := range parts - 1 {
		id := fmt.Sprintf("b%d", p)
		if p == place {
			id = deadlyPart
		}
		list = append(list, id+":8")
	}
	return strings.Join(append(list, fmt.Sprintf("%x:8", own)), ",")
}

// behind sends prompts of many parts, as a long session has them. With the disruption,
// one part far behind is deadly in some of them, no two of which are alike. The sound
// requests have their caller and their other parts.
func behind(d *deployment, trouble bool) int {
	const (
		parts    = 72 // with the last one, which belongs to the request
		place    = 66 // the place of the deadly part, from 0
		period   = 2500 * time.Millisecond
		requests = 20
	)
	d.configure(1, route("ask", "/ask/", "streaming", "sack-assist", 1, false))
	zones := []string{"alappuzha", "kottayam", "kollam"}
	for n := range 9 {
		d.addWorker(fmt.Sprintf("w%d", n), zones[n%3], &worker{deadly: deadlyPart, restartAfter: 2500 * time.Millisecond, events: 20, gap: 60 * time.Millisecond})
	}
	for n := range 6 {
		d.addInstance(fmt.Sprintf("edge-%s-%d", zones[n%3], n/3+1), zones[n%3])
	}
	d.waitReady()
	time.Sleep(contact)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(150 * time.Millisecond):
			}
			i, prefix, body := d.instances[n%len(d.instances)], longPrompt(parts, -1, 1<<24+n), fmt.Sprintf("sound question %d", n)
			wg.Go(func() { d.ask(i, fmt.Sprintf("/ask/%d", n), prefix, body) })
		}
	})
	var long []answer
	next := time.Now()
	for n := range requests {
		next = next.Add(period)
		at := place
		if !trouble {
			at = -1
		}
		i := d.instances[n%len(d.instances)]
		long = append(long, d.ask(i, fmt.Sprintf("/ask/d%d", n), longPrompt(parts, at, 1<<20+n), fmt.Sprintf("question %d of a long session", n)))
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
	for _, a := range long {
		if after := a.at.Sub(crashes[4]); after > contact {
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
