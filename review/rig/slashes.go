package main

import (
	"fmt"
	"time"
)

// slashes sends requests without a key to a public route that has all paths but those of
// the payouts. With the disruption, their paths begin with two slashes.
func slashes(d *deployment, trouble bool) int {
	const requests = 20
	payouts, rest := route("payouts", "/payout/", "non_idempotent", "sack-assist", 1, false), route("rest", "/", "idempotent", "sack-assist", 2, false)
	rest["public"] = true
	d.configure(1, payouts, rest)
	zones := []string{"alappuzha", "kottayam"}
	for n := range 4 {
		d.addWorker(fmt.Sprintf("w%d", n), zones[n%2], &worker{plain: true, gap: 15 * time.Millisecond})
	}
	for n := range 2 {
		d.addInstance(fmt.Sprintf("edge-%s-1", zones[n]), zones[n])
	}
	d.waitReady()
	time.Sleep(contact)

	sent := make(map[string]string)
	for n := range requests {
		target := fmt.Sprintf("/help/payout/%d", n)
		if trouble {
			target = "/" + target
		}
		i := d.instances[n%len(d.instances)]
		a := d.send(i, "http://"+i.client+"/", target, "", "", "a payout of 500")
		sent[a.id] = target
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(settle)

	arrived := d.arrived()
	ran, changed := 0, 0
	for id, target := range sent {
		for _, r := range arrived[id] {
			ran++
			if r.path != target {
				changed++
				d.log("request %s was sent as POST %s, and worker %s ran it as POST %s of host %s (request line: POST %s), tenant %q", id, target, r.worker, r.path, r.host, r.target, r.tenant)
			}
		}
	}
	d.say("requests that workers ran: %d; with a changed path: %d", ran, changed)
	if ran == 0 {
		d.unable("no request was run")
	}
	if changed > 0 {
		d.say("UNASKED is broken")
		return 1
	}
	return 0
}
