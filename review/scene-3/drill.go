package main

import (
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

// holder returns the instance that holds the duty, or nil.
func (w *world) holder() *instance {
	i, ok := w.store.get("wasabiworks/duty")
	if !ok {
		return nil
	}
	name, _, _ := strings.Cut(string(i.Val), " ")
	for _, x := range w.instances {
		if x.name == name {
			return x
		}
	}
	return nil
}

// drillFuzz plays random drills of the store's return from a copy.
func drillFuzz(w *world, seed uint64, length time.Duration) {
	random := rand.New(rand.NewPCG(seed, 1))
	w.configure(nil)
	w.addWorkers("app", 4, 6, 15*time.Millisecond)
	w.addWorkers("ai", 6, 64, 15*time.Millisecond)
	go w.beat()
	w.addInstances(4)
	for _, i := range w.instances {
		if !i.awaitReady(20 * time.Second) {
			w.note("%s is not ready", i.name)
		}
	}
	c := w.startClients(seed, 40, []string{"/once/", "/safe/", "/stream/"})
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(3000+random.IntN(6000)) * time.Millisecond)
		copied := w.store.copyNow()
		for range 1 + random.IntN(2) {
			age := time.Duration(500+random.IntN(7000)) * time.Millisecond
			time.Sleep(age)
			h := w.holder()
			other := w.instances[random.IntN(len(w.instances))]
			what := random.IntN(7)
			w.note("drill: copy %v old, event %d", age, what)
			if what == 1 && h != nil {
				w.restart(h, time.Duration(random.IntN(4000))*time.Millisecond)
			}
			if what == 2 && h != nil {
				w.freeze(h, time.Duration(500+random.IntN(7000))*time.Millisecond)
			}
			w.store.setDown(true)
			time.Sleep(time.Duration(50+random.IntN(1500)) * time.Millisecond)
			w.store.restore(copied)
			w.store.setDown(false)
			time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			w.configure(nil)
			switch {
			case what == 3 && h != nil:
				w.restart(h, time.Duration(random.IntN(4000))*time.Millisecond)
			case what == 4:
				w.restart(other, time.Duration(random.IntN(2000))*time.Millisecond)
			case what == 5:
				other.front.setMode("silent")
				time.AfterFunc(time.Duration(1000+random.IntN(6000))*time.Millisecond, func() { other.front.setMode("") })
			case what == 6 && h != nil:
				w.freeze(h, time.Duration(500+random.IntN(7000))*time.Millisecond)
			}
			if random.IntN(2) == 0 {
				copied = w.store.copyNow()
			}
		}
	}
	time.Sleep(8 * time.Second)
	all := c.finish()
	w.note("answers by status: %v", counts(all))
	w.note("calls to the cloud: %d", len(w.cloud.calls))
	for _, f := range append(w.cloud.broken(), w.judge(all)...) {
		w.note("BROKEN %s", f)
	}
}

func (w *world) restart(i *instance, pause time.Duration) {
	w.note("%s is killed", i.name)
	i.kill()
	time.AfterFunc(pause, func() {
		w.note("%s starts", i.name)
		i.start()
	})
}

func (w *world) freeze(i *instance, d time.Duration) {
	w.note("%s is stopped for %v", i.name, d)
	i.signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() {
		w.note("%s continues", i.name)
		i.signal(syscall.SIGCONT)
	})
}
