package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	hostileParts   = 1020 // parts of a hostile prompt; the header has about 7 KB
	hostileRate    = 60   // hostile requests a second, over all instances
	hostilePatient = 650 * time.Millisecond
	crashed        = 4 // of 18 workers
	crashTime      = 2 * time.Second
	appTimeout     = 3 * time.Second
)

// prefix lists the parts of a hostile prompt from one on, and a last part of its own.
func prefix(from int, own uint64) string {
	var b strings.Builder
	for n := from; n < hostileParts; n++ {
		fmt.Fprintf(&b, "%x:1,", n)
	}
	fmt.Fprintf(&b, "%x:1", own)
	return b.String()
}

// parts lets hostile clients send prompts of many parts, which they never let complete, and lets
// some workers crash once.
func parts(w *world, seed uint64) int {
	w.configure(func(c map[string]any) {
		c["routes"] = append(c["routes"].([]map[string]any), map[string]any{"name": "r-talk", "host": host, "path_prefix": "/talk/", "type": "streaming", "timeout_ms": 12000, "goal_ms": 1000, "gap_aim_ms": 400, "priority": 2, "service": "ai", "attempts": 1, "public": true, "resumable": false, "sticky": true})
	})
	w.addWorkers("app", 4, 6, 15*time.Millisecond)
	w.addWorkers("ai", 18, 64, 700*time.Millisecond)
	for _, x := range w.workers[4:] {
		x.respond = func(rw http.ResponseWriter, r *http.Request) { stream(rw, r, "", 0) }
	}
	w.addInstances(3)
	for _, i := range w.instances {
		if !i.awaitReady(20 * time.Second) {
			return 2
		}
	}
	time.Sleep(2 * time.Second)
	trouble := os.Getenv("TROUBLE") != "0"
	hostile := os.Getenv("HOSTILE") != "0"
	random := rand.New(rand.NewPCG(seed, 11))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var ordinary []sent
	var wg sync.WaitGroup
	start := time.Now()
	wg.Go(func() {
		t := time.NewTicker(time.Second / 30)
		for ctx.Err() == nil {
			<-t.C
			i, id := w.instances[random.IntN(3)], newID(random)
			wg.Go(func() {
				s := do(context.Background(), client, i, http.MethodPost, "/safe/"+id, id, "x", 10*time.Second, 10*time.Second)
				mu.Lock()
				ordinary = append(ordinary, s)
				mu.Unlock()
			})
		}
	})
	var from int
	var fromMu sync.Mutex
	if hostile {
		random := rand.New(rand.NewPCG(seed, 12))
		wg.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(time.Second / hostileRate)
				fromMu.Lock()
				first := from
				fromMu.Unlock()
				i, id, own := w.instances[random.IntN(3)], "h"+newID(random), random.Uint64()
				wg.Go(func() { w.hostile(client, i, id, prefix(first, own)) })
			}
		})
	}
	time.Sleep(4 * time.Second)
	crashAt := time.Now()
	for wave := range 2 {
		if !trouble {
			time.Sleep(2 * crashTime)
			continue
		}
		w.note("%d of 18 workers crash", crashed)
		down := w.workers[4+wave*crashed : 4+(wave+1)*crashed]
		for _, x := range down {
			x.crash()
		}
		time.Sleep(crashTime)
		for _, x := range down {
			x.restart()
			w.store.put("servers/"+x.id, x.entry(0))
		}
		w.note("they are back")
		time.Sleep(crashTime)
	}
	time.Sleep(time.Second)
	fromMu.Lock()
	from = 1
	fromMu.Unlock()
	w.note("hostile prompts come without their first part")
	since := time.Now().Add(contact)
	time.Sleep(contact + 10*time.Second)
	until := time.Now()
	for _, i := range w.instances {
		status, _ := get("http://" + i.ready + "/-/readyz")
		w.note("%s: readiness probe %d, processor time %v", i.name, status, i.processorTime())
	}
	cancel()
	wg.Wait()
	return w.judgeAnswers(ordinary, start, crashAt, since, until)
}

// hostile sends a prompt and leaves before it is complete.
func (w *world) hostile(client *http.Client, i *instance, id, prefix string) {
	ctx, cancel := context.WithTimeout(context.Background(), hostilePatient)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.client+"/talk/"+id, strings.NewReader("x"))
	check(err)
	r.Host = host
	r.Header.Set("X-Wasabiworks-Attempt-Id", id)
	r.Header.Set("X-Wasabiworks-Deadline-Ms", "12000")
	r.Header.Set("X-Wasabiworks-Model", "m")
	r.Header.Set("X-Wasabiworks-Token-Usage", fmt.Sprintf("%d,10", hostileParts))
	r.Header.Set("X-Wasabiworks-Prefix-Hash", prefix)
	if res, err := client.Do(r); err == nil {
		res.Body.Close()
	}
}

// judgeAnswers checks the rule CONFIG on requests that are unanswered at their route's timeout.
func (w *world) judgeAnswers(all []sent, start, crashAt, since, until time.Time) int {
	count := func(from, to time.Time) (tries, served, atTimeout, later int) {
		for _, s := range all {
			if s.at.Before(from) || !s.at.Before(to) {
				continue
			}
			tries++
			if s.status == 200 {
				served++
			}
			if s.took > appTimeout {
				atTimeout++
			}
			if s.took > appTimeout+500*time.Millisecond {
				later++
			}
		}
		return
	}
	tries, served, _, _ := count(start, crashAt)
	w.note("ordinary requests before: %d of %d served", served, tries)
	if served*10 < tries*9 {
		return 2
	}
	tries, served, atTimeout, later := count(since, until)
	w.note("ordinary requests from %s to %s: %d of %d served, %d unanswered at the timeout, %d half a second later", stamp(since), stamp(until), served, tries, atTimeout, later)
	w.noteAll(all)
	if later > 20 && later*2 > atTimeout {
		w.note("CONFIG is broken")
		return 1
	}
	w.note("CONFIG holds")
	return 0
}
