package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	leaveShare  = 0.3                     // of the clients leave before they are answered
	leaveWithin = 500 * time.Millisecond  // half of the route's objective
	leaveLength = 5500 * time.Millisecond // for_s
	firstEvent  = 700 * time.Millisecond  // within the objective of 1,000 ms
)

// leave cuts one of four instances off from all workers, and lets some clients of all
// instances leave before their first event.
func leave(w *world, seed uint64) int {
	w.configure(nil)
	w.addWorkers("ai", 8, 64, firstEvent)
	for _, x := range w.workers {
		x.respond = func(rw http.ResponseWriter, r *http.Request) { stream(rw, r, "", 0) }
	}
	zones := zoneNames(envInt("INSTANCES", 4))
	proxies := w.addCuttable(zones)
	if proxies == nil {
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	random := rand.New(rand.NewPCG(seed, 5))
	var mu sync.Mutex
	var patient, impatient []sent
	var wg sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	send := func(i *instance, patience time.Duration, all *[]sent) {
		id, path := newID(random), "/stream/"+newID(random)
		wg.Go(func() {
			s := do(context.Background(), client, i, http.MethodPost, path, id, "x", 12*time.Second, patience)
			mu.Lock()
			*all = append(*all, s)
			mu.Unlock()
		})
	}
	start := time.Now()
	cutAt, from := start.Add(3*time.Second), start.Add(3*time.Second+contact)
	to := from.Add(leaveLength)
	cut := false
	for t := time.NewTicker(time.Second / time.Duration(15*len(zones))); time.Now().Before(to); <-t.C {
		now := time.Now()
		if trouble && !cut && now.After(cutAt) {
			cut = true
			w.note("%s is cut off from all workers", w.instances[0].name)
			for _, p := range proxies {
				p.cut()
			}
		}
		i := w.instances[random.IntN(len(w.instances))]
		if leaves := random.Float64() < leaveShare; leaves && trouble && os.Getenv("LEAVE") != "0" && now.After(from) {
			send(i, time.Duration(random.Int64N(int64(leaveWithin))), &impatient)
			continue
		}
		send(i, 12*time.Second, &patient)
	}
	wg.Wait()
	w.note("%d clients left before their first event", len(impatient))
	return w.judgePartition(patient, impatient, from, to)
}

// zoneNames returns the names of n zones.
func zoneNames(n int) []string {
	zones := make([]string, n)
	for k := range zones {
		zones[k] = string(rune('a' + k))
	}
	return zones
}

// addCuttable starts one instance in each zone. The first one reaches the workers through the
// proxies that addCuttable returns; they are nil if an instance does not become ready.
func (w *world) addCuttable(zones []string) (proxies []*proxy) {
	addresses := make(map[string]string)
	for _, x := range w.workers {
		p := newProxy(x.address)
		proxies = append(proxies, p)
		addresses[x.address] = p.address
	}
	for n, zone := range zones {
		f := newFront(w.store)
		if n == 0 {
			f.addresses = addresses
		}
		i := newInstance(fmt.Sprintf("edge-%s-1", zone), zone, f, w.cloud.address, w.logs)
		w.instances = append(w.instances, i)
		// The others start later, so that they need no listing of the first one's copy,
		// which has the addresses at which that one reaches the workers.
		i.start()
		if !i.awaitReady(20 * time.Second) {
			w.note("%s is not ready", i.name)
			return nil
		}
	}
	time.Sleep(3 * time.Second)
	return proxies
}
