package main

import (
	"fmt"
	"sync"
	"time"
)

// alike asks three sound questions again and again, each time in the same words. With
// the disruption, requests with a deadly part come too.
func alike(d *deployment, trouble bool) int {
	const (
		soundPeriod  = 120 * time.Millisecond
		before       = 6 * time.Second // sound requests only
		questions    = 3
		deadlyBurst  = 8 // requests with the deadly part that come within its first second
		deadlyPeriod = 3 * time.Second
		lasts        = 24 * time.Second // from the first request with the deadly part
	)
	d.configure(1, route("ask", "/ask/", "streaming", "sack-assist", 1, false))
	zones := []string{"alappuzha", "kottayam"}
	for n := range 6 {
		d.addWorker(fmt.Sprintf("w%d", n), zones[n%2], &worker{deadly: deadlyPart, restartAfter: 2500 * time.Millisecond, events: 12, gap: 80 * time.Millisecond})
	}
	for n := range 4 {
		d.addInstance(fmt.Sprintf("edge-%s-%d", zones[n%2], n/2+1), zones[n%2])
	}
	d.waitReady()
	time.Sleep(contact)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var sound []answer
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(soundPeriod):
			}
			q, i := n%questions, d.instances[n/questions%len(d.instances)]
			wg.Go(func() {
				a := d.ask(i, fmt.Sprintf("/ask/q%d", q), fmt.Sprintf("aa:400,c%d:60", q), fmt.Sprintf("what does a sack of grade %d weigh?", q))
				mu.Lock()
				defer mu.Unlock()
				sound = append(sound, a)
			})
		}
	})
	time.Sleep(before)
	firstDeadly := time.Now()
	if trouble {
		for n := 0; time.Since(firstDeadly) < lasts; n++ {
			i := d.instances[n%len(d.instances)]
			wg.Go(func() {
				d.ask(i, fmt.Sprintf("/ask/d%d", n), fmt.Sprintf("aa:400,%s:200,%x:60", deadlyPart, 1<<20+n), fmt.Sprintf("question %d on the deadly part", n))
			})
			if n < deadlyBurst {
				time.Sleep(time.Second / deadlyBurst)
			} else {
				time.Sleep(deadlyPeriod)
			}
		}
	} else {
		time.Sleep(lasts)
	}
	end := time.Now()
	close(stop)
	wg.Wait()
	time.Sleep(settle)

	crashes, arrived := d.crashes(), d.arrived()
	d.say("crashes of workers: %d", len(crashes))
	judged := firstDeadly.Add(2 * contact)
	if len(crashes) > 0 {
		judged = crashes[min(4, len(crashes)-1)].Add(2 * contact)
	}
	var asked, begun [2]int
	reasons := make(map[string]int)
	for _, a := range sound {
		k := 0
		switch {
		case a.at.Before(firstDeadly):
		case a.at.After(judged) && a.at.Before(end):
			k = 1
			if a.reason != "" {
				reasons[fmt.Sprint(a.status, " ", a.reason)]++
			}
		default:
			continue
		}
		asked[k]++
		if len(arrived[a.id]) > 0 {
			begun[k]++
		}
	}
	d.say("sound requests before: %d of %d began at the first attempt", begun[0], asked[0])
	d.say("sound requests from 2 x contact_ms after the fifth crash: %d of %d began at the first attempt; answers that failed: %v", begun[1], asked[1], reasons)
	if asked[0] < 20 || asked[1] < 20 {
		d.unable("fewer than 20 requests to judge")
	}
	if float64(begun[1])/float64(asked[1]) < 0.5*float64(begun[0])/float64(asked[0]) {
		d.say("LOST is broken")
		return 1
	}
	return 0
}
