package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// last has the clients of one tenant send payout entries. With the disruption, a new
// version of the configuration takes the tenant away, which was the only one. With
// ANOTHER=1 there is a second tenant, which stays.
func last(d *deployment, trouble bool) int {
	const (
		period = 50 * time.Millisecond
		revoke = 5 * time.Second // revoke_ms
		judged = 6 * time.Second
	)
	pay := route("pay", "/pay/", "non_idempotent", "sack-assist", 1, false)
	var others []any
	if os.Getenv("ANOTHER") == "1" {
		others = []any{tenant("traders", "key-of-traders")}
	}
	d.configureTenants(1, append([]any{tenant("members", key)}, others...), pay)
	zones := []string{"alappuzha", "kottayam"}
	for n := range 4 {
		d.addWorker(fmt.Sprintf("w%d", n), zones[n%2], &worker{plain: true, gap: 15 * time.Millisecond})
	}
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
	time.Sleep(3 * time.Second)
	if trouble {
		d.configureTenants(2, append([]any{}, others...), pay)
		d.log("version 2 of the configuration takes the tenant away")
	} else {
		d.configureTenants(2, append([]any{tenant("members", key)}, others...), pay)
		d.log("version 2 of the configuration changes nothing")
	}
	acked := time.Now()
	time.Sleep(revoke + judged)
	close(stop)
	wg.Wait()
	time.Sleep(settle)

	arrived := d.arrived()
	asked, ran := 0, 0
	statuses := make(map[int]int)
	for _, a := range answers {
		if a.at.Before(acked.Add(revoke)) {
			continue
		}
		asked++
		statuses[a.status]++
		ran += len(arrived[a.id])
	}
	d.say("requests with the key, sent later than revoke_ms after the ack: %d; run: %d; answers: %v", asked, ran, statuses)
	if trouble && ran > 0 {
		d.say("CONFIG is broken")
		return 1
	}
	return 0
}
