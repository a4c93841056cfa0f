package main

import (
	"fmt"
	"maps"
	"os"
	"strings"
	"sync"
	"time"
)

// torn sends payout entries to one service and questions to another. With the
// disruption, another writer writes entries over those of workers of the second service.
// They name the first service, and lack a field.
func torn(d *deployment, trouble bool) int {
	const (
		period = 25 * time.Millisecond
		writes = 5
		every  = 3 * time.Second
	)
	lacks := "seq" // LACKS names another field
	if name := os.Getenv("LACKS"); name != "" {
		lacks = name
	}
	d.configure(1, route("ask", "/ask/", "idempotent", "sack-assist", 2, false), route("pay", "/payout/", "non_idempotent", "ledger-desk", 1, false))
	zones := []string{"alappuzha", "kottayam"}
	services := map[string]string{}
	for _, service := range []string{"sack-assist", "ledger-desk"} {
		for n := range 4 {
			id := fmt.Sprintf("%s-%d", service, n)
			services[id] = service
			d.addWorker(id, zones[n%2], &worker{service: service, plain: true, gap: 15 * time.Millisecond})
		}
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
			i, path := d.instances[n/2%len(d.instances)], fmt.Sprintf("/payout/%d", n)
			if n%2 == 0 {
				path = fmt.Sprintf("/ask/%d", n)
			}
			wg.Go(func() {
				a := d.ask(i, path, "", "entry")
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, a)
			})
		}
	})
	for n := range writes {
		time.Sleep(every)
		if !trouble {
			continue
		}
		w := d.workers[n%4]
		w.mu.Lock()
		entry := maps.Clone(w.entry())
		w.mu.Unlock()
		entry["service"] = "ledger-desk"
		delete(entry, lacks)
		d.store.write("servers/"+w.id, entry)
		d.log("another writer writes servers/%s: %v", w.id, entry)
	}
	time.Sleep(every)
	close(stop)
	wg.Wait()
	time.Sleep(settle)

	wrong, answered := 0, 0
	arrived := d.arrived()
	for _, a := range answers {
		for _, r := range arrived[a.id] {
			service := "sack-assist"
			if strings.HasPrefix(r.path, "/payout/") {
				service = "ledger-desk"
			}
			if services[r.worker] == service {
				continue
			}
			wrong++
			d.log("request %s, POST %s, was run by worker %s of another service; the client got %d", a.id, r.path, r.worker, a.status)
			if a.status == 200 {
				answered++
			}
		}
	}
	d.say("requests: %d; run by a service to which no configuration lets them go: %d, of which the client took %d for answered", len(answers), wrong, answered)
	if wrong > 0 {
		d.say("ROUTE is broken")
		return 1
	}
	return 0
}
