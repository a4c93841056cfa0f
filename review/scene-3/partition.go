package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"
)

const (
	contact   = 3 * time.Second // contact_ms
	cutLength = 10 * time.Second
)

// partition cuts one of three instances off from all workers, while clients, the store and the
// other instances still reach it. The answers to bookings name their file as many services do,
// in ISO 8859-1.
func partition(w *world, seed uint64) int {
	file := "objedn\xe1vka.pdf"
	if os.Getenv("NAME") == "ascii" {
		file = "objednavka.pdf"
	}
	w.configure(nil)
	w.addWorkers("app", 4, 6, 15*time.Millisecond)
	for _, x := range w.workers {
		x.respond = func(rw http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/once/") {
				rw.Header().Set("Content-Disposition", `attachment; filename="`+file+`"`)
			}
			fmt.Fprintf(rw, "answer to %s by %s", r.Header.Get("X-Wasabiworks-Attempt-Id"), x.id)
		}
	}
	w.addWorkers("ai", 1, 64, 15*time.Millisecond)
	proxies := w.addCuttable(zoneNames(envInt("INSTANCES", 3)))
	if proxies == nil {
		return 2
	}
	c := w.startClients(seed, 20*len(w.instances), []string{"/once/", "/once/", "/once/", "/safe/", "/safe/"})
	time.Sleep(4 * time.Second)
	cutAt := time.Now()
	if os.Getenv("TROUBLE") != "0" {
		w.note("%s is cut off from all workers", w.instances[0].name)
		for _, p := range proxies {
			p.cut()
		}
	}
	time.Sleep(cutLength)
	healAt := time.Now()
	if os.Getenv("TROUBLE") != "0" {
		for _, p := range proxies {
			p.heal()
		}
		w.note("it reaches them again")
	}
	time.Sleep(3 * time.Second)
	return w.judgePartition(c.finish(), nil, cutAt.Add(contact), healAt)
}

// judgePartition checks the rule RECOVER as the letters state it, for requests sent from one
// time to another. Those whose clients left early do not count.
func (w *world) judgePartition(all, left []sent, from, to time.Time) int {
	tries, served := make(map[bool]int), make(map[bool]int)
	lost := 0
	byPath := make(map[string]int)
	for _, s := range all {
		if s.at.Before(from) || !s.at.Before(to) {
			continue
		}
		cut := s.instance == w.instances[0].name
		tries[cut]++
		if s.status == 200 {
			served[cut]++
		}
		if cut {
			byPath[fmt.Sprintf("%s status %d, ran %d times", s.path[:6], s.status, w.runs.of(s.id))]++
		}
		if cut && s.status != 200 && w.runs.of(s.id) > 0 {
			lost++
			if lost <= 10 {
				w.note("request %s to %s: status %d, ran %d times", s.id, s.path[:6], s.status, w.runs.of(s.id))
			}
		}
	}
	w.note("from %s to %s: at the machine that is cut off %d of %d first tries served, at the others %d of %d", stamp(from), stamp(to), served[true], tries[true], served[false], tries[false])
	for what, n := range byPath {
		w.note("at the machine that is cut off: %s: %d", what, n)
	}
	w.note("run by a sound worker and not answered with success: %d", lost)
	every := slices.Concat(all, left)
	for _, f := range w.judge(every) {
		w.note("BROKEN %s", f)
	}
	w.noteAll(every)
	if tries[true] < 30 || served[false]*10 < tries[false]*9 {
		w.note("too few tries, or the others do not serve")
		return 2
	}
	failed := tries[true] - served[true]
	share := float64(served[true]) / float64(tries[true])
	other := float64(served[false]) / float64(tries[false])
	if share < other*2/3 && failed > 10+(tries[true]+tries[false])/50 {
		w.note("RECOVER is broken")
		return 1
	}
	w.note("RECOVER holds")
	return 0
}
