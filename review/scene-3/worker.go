package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request that a worker ran.
type run struct {
	worker, id, method, target, tenant, key string
	from                                    string
	bytes                                   int
	at                                      time.Time
}

// runs are the runs of all workers.
type runs struct {
	mu   sync.Mutex
	all  []run
	byID map[string]int
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = make(map[string]int)
	}
	r.all = append(r.all, x)
	r.byID[x.id]++
}

func (r *runs) of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// worker is a sound worker, whose answers take a time.
type worker struct {
	id, service, zone, address string
	slots                      int
	born                       int64
	runs                       *runs
	server                     *http.Server
	mu                         sync.Mutex
	work                       time.Duration
	// respond, if set, takes over what comes after the run.
	respond func(w http.ResponseWriter, r *http.Request)
}

func startWorker(w *worker) *worker {
	l, err := net.Listen("tcp", freeAddress())
	check(err)
	w.address, w.born = l.Addr().String(), time.Now().UnixMilli()
	w.server = &http.Server{Handler: w}
	go w.server.Serve(l)
	return w
}

// entry returns the worker's entry in the store.
func (w *worker) entry(seq int) []byte {
	data, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": "ready",
		"cold_left_ms": 0, "seq": seq, "born": w.born,
	})
	check(err)
	return data
}

func (w *worker) setWork(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.work = d
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" || r.URL.Path == "/-/report" {
		rw.Header().Set("X-Wasabiworks-Instance-Id", w.id)
		return
	}
	if expected := r.Header.Get("X-Wasabiworks-Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("X-Wasabiworks-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Wasabiworks-Attempt-Id")
	w.runs.add(run{
		worker: w.id, id: id, method: r.Method, target: r.RequestURI, tenant: r.Header.Get("X-Wasabiworks-Tenant"), key: r.Header.Get("X-Wasabiworks-Key"),
		from: r.RemoteAddr + " " + fmt.Sprint(r.Header), bytes: int(n), at: time.Now(),
	})
	w.mu.Lock()
	work, respond := w.work, w.respond
	w.mu.Unlock()
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	rw.Header().Set("X-Wasabiworks-Attempt-Id", id)
	rw.Header().Set("X-Wasabiworks-Server-Seal", "seal-"+id)
	if respond != nil {
		respond(rw, r)
		return
	}
	_, _ = fmt.Fprintf(rw, "answer to %s by %s", id, w.id)
}

// crash ends the worker: its channels are reset and new ones are refused.
func (w *worker) crash() { w.server.Close() }

// restart starts the worker again at its address, as a new lifetime.
func (w *worker) restart() {
	l, err := net.Listen("tcp", w.address)
	check(err)
	w.born = time.Now().UnixMilli()
	w.server = &http.Server{Handler: w}
	go w.server.Serve(l)
}
