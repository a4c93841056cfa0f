package main

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pingInterval = 1200 * time.Millisecond
	// expiry is how long a silent worker's entry stays: three ping intervals.
	expiry = 3 * pingInterval
)

// arrival is a request that reached a worker.
type arrival struct {
	id, path, parts, worker string
	at                      time.Time
}

// worker is a stand-in of one model worker. A request whose prompt has the part
// deadly crashes it as it begins to answer, as the users' letters say.
type worker struct {
	d             *deployment
	id, service   string
	zone, address string
	deadly        string
	restartAfter  time.Duration
	// events are the number of events of a stream and gap the time between two. With
	// plain set, the worker answers as a whole after gap instead.
	events int
	gap    time.Duration
	plain  bool
	// version is that of the worker's software, v1 by default. Of a bad version, one in
	// failEach answers to paths that begin with failPath fails, with failStatus (500 by
	// default).
	version    string
	failEach   int
	failPath   string
	failStatus int

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	born     int64
	seq      int
	arrivals []arrival
	crashes  []time.Time
	broken   int // other requests that were at work at a crash
	atWork   int
	stopped  bool
	ran      int
}

func (w *worker) start() {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		w.d.unable("worker %s cannot listen: %v", w.id, err)
	}
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		_ = l.Close()
		return
	}
	w.listener, w.address, w.conns, w.seq = l, l.Addr().String(), make(map[net.Conn]bool), 0
	w.born = time.Now().UnixMilli()
	born := w.born
	w.mu.Unlock()
	s := &http.Server{Handler: w, ConnState: func(c net.Conn, state http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case state == http.StateClosed || state == http.StateHijacked:
			delete(w.conns, c)
		case w.listener == l:
			w.conns[c] = true
		default:
			_ = c.Close()
		}
	}}
	go func() { _ = s.Serve(l) }()
	go w.ping(born)
}

// entry returns the worker's entry in the store. The caller holds w.mu.
func (w *worker) entry() map[string]any {
	return map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": w.version, "slots": 64, "state": "ready",
		"cold_left_ms": 0, "seq": w.seq, "born": w.born, "phase": "mixed",
	}
}

// ping writes the worker's entry, as long as this lifetime of it lasts.
func (w *worker) ping(born int64) {
	for {
		w.mu.Lock()
		w.seq++
		alive := w.listener != nil && w.born == born
		entry := w.entry()
		w.mu.Unlock()
		if !alive {
			return
		}
		w.d.store.write("servers/"+w.id, entry)
		time.Sleep(pingInterval)
	}
}

// crash ends the worker's process, which resets its channels, and starts it again.
func (w *worker) crash() {
	w.mu.Lock()
	if w.listener == nil {
		w.mu.Unlock()
		return
	}
	_ = w.listener.Close()
	w.listener = nil
	for c := range w.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	w.conns = nil
	w.crashes = append(w.crashes, time.Now())
	w.broken += w.atWork
	born, n := w.born, w.atWork
	w.mu.Unlock()
	w.d.log("worker %s crashes; %d other requests are at work on it", w.id, n)
	time.AfterFunc(expiry, func() {
		w.mu.Lock()
		gone := w.listener == nil && w.born == born
		w.mu.Unlock()
		if gone {
			w.d.store.erase("servers/" + w.id)
		}
	})
	time.AfterFunc(w.restartAfter, w.start)
}

// lose ends the worker for good without a word. Its entry goes after three ping
// intervals.
func (w *worker) lose() {
	w.stop()
	w.d.log("worker %s is lost", w.id)
	time.AfterFunc(expiry, func() { w.d.store.erase("servers/" + w.id) })
}

// stop ends the worker for good.
func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.listener != nil {
		_ = w.listener.Close()
		w.listener = nil
	}
	for c := range w.conns {
		_ = c.Close()
	}
	w.conns = nil
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id, h := r.Header.Get("X-Wasabiworks-Attempt-Id"), rw.Header()
	h.Set("X-Wasabiworks-Attempt-Id", id)
	h.Set("X-Wasabiworks-Instance-Id", w.id)
	if expect := r.Header.Get("X-Wasabiworks-Expect-Instance"); expect != "" && expect != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := arrival{id: id, path: r.URL.Path, parts: r.Header.Get("X-Wasabiworks-Prefix-Hash"), worker: w.id, at: time.Now()}
	w.mu.Lock()
	w.arrivals = append(w.arrivals, a)
	w.mu.Unlock()
	w.d.log("worker %s begins to run %s %s %s", w.id, id, a.path, a.parts)
	if w.deadly != "" && strings.Contains(","+a.parts, ","+w.deadly+":") {
		time.Sleep(20 * time.Millisecond) // reads the prompt
		w.crash()
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	w.atWork++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.atWork--
		w.mu.Unlock()
	}()
	h.Set("X-Wasabiworks-Server-Seal", "seal-"+w.id+"-"+strconv.Itoa(len(body)))
	if w.plain {
		w.answer(rw, id, a.path)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	for n := 1; n <= w.events; n++ {
		fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
		if n == w.events {
			return
		}
		select {
		case <-time.After(w.gap):
		case <-r.Context().Done():
			return
		}
	}
}

// answer answers as a whole.
func (w *worker) answer(rw http.ResponseWriter, id, path string) {
	time.Sleep(w.gap)
	w.mu.Lock()
	fails := false
	if w.failEach > 0 && strings.HasPrefix(path, w.failPath) {
		w.ran++
		fails = w.ran%w.failEach == 0
	}
	w.mu.Unlock()
	if fails {
		w.d.log("worker %s of %s fails %s", w.id, w.version, id)
		rw.WriteHeader(cmp.Or(w.failStatus, http.StatusInternalServerError))
	}
	fmt.Fprintf(rw, "answer of %s to %s\n", w.version, id)
}
