package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const streamEvents = 8

// faulty answers a request after its run, in one of the ways in which a worker in trouble does.
func faulty(x *worker, rw http.ResponseWriter, r *http.Request, fault string, random *rand.Rand) {
	id := r.Header.Get("X-Wasabiworks-Attempt-Id")
	text := fmt.Sprintf("answer to %s by %s", id, x.id)
	head := "HTTP/1.1 200 OK\r\nX-Wasabiworks-Attempt-Id: " + id + "\r\nX-Wasabiworks-Server-Seal: seal-" + id + "\r\n"
	whole := head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text)
	switch fault {
	case "fail":
		rw.WriteHeader(500)
		return
	case "busy":
		rw.WriteHeader(503)
		return
	}
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	t := conn.(*net.TCPConn)
	switch fault {
	case "reset":
		t.SetLinger(0)
	case "cut":
		io.WriteString(conn, whole[:len(whole)-5])
	case "cut-head":
		io.WriteString(conn, whole[:60])
	case "unframed":
		io.WriteString(conn, head+"Connection: close\r\n\r\n"+text)
	case "unframed-reset":
		io.WriteString(conn, head+"Connection: close\r\n\r\n"+text[:10])
		time.Sleep(20 * time.Millisecond)
		t.SetLinger(0)
	case "extra":
		io.WriteString(conn, whole)
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
		io.WriteString(conn, whole)
		time.Sleep(300 * time.Millisecond)
	case "twice-at-once":
		io.WriteString(conn, whole+whole)
		time.Sleep(300 * time.Millisecond)
	case "garbage":
		for range 200 {
			if _, err := io.WriteString(conn, strings.Repeat("\x00\xffgarbage", 400)); err != nil {
				return
			}
		}
	case "endless-head":
		io.WriteString(conn, head)
		for n := 0; n < 200000; n++ {
			if _, err := fmt.Fprintf(conn, "X-%d: a\r\n", n); err != nil {
				return
			}
		}
	case "endless-1xx":
		for n := 0; n < 100000; n++ {
			if _, err := io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"); err != nil {
				return
			}
		}
	case "endless-body":
		io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n")
		for n := 0; n < 3000; n++ {
			if _, err := io.WriteString(conn, "1000\r\n"+strings.Repeat("x", 4096)+"\r\n"); err != nil {
				return
			}
		}
	case "endless-trailer":
		io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n")
		for n := 0; n < 200000; n++ {
			if _, err := fmt.Fprintf(conn, "X-%d: a\r\n", n); err != nil {
				return
			}
		}
	}
}

var faults = []string{"reset", "cut", "cut-head", "unframed", "unframed-reset", "extra", "twice-at-once", "garbage", "endless-head", "endless-1xx", "endless-body", "endless-trailer", "fail", "busy"}

// stream answers with events, which go on after Last-Event-Id, and may break off.
func stream(rw http.ResponseWriter, r *http.Request, breaks string, at int) {
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := first + 1; n <= streamEvents; n++ {
		if n == at && breaks != "" {
			if breaks == "inside" {
				fmt.Fprintf(rw, "id: %d\ndata: pie", n)
				http.NewResponseController(rw).Flush()
			}
			if breaks == "silent" {
				time.Sleep(1200 * time.Millisecond)
			} else if breaks == "hang" {
				<-r.Context().Done()
				return
			} else {
				panic(http.ErrAbortHandler)
			}
		}
		fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", n, n, r.Header.Get("X-Wasabiworks-Attempt-Id"))
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
		time.Sleep(40 * time.Millisecond)
	}
}

// mixFuzz plays random troubles of workers, instances, the store and the paths of one instance
// to the workers.
func mixFuzz(w *world, seed uint64, length time.Duration) {
	random := rand.New(rand.NewPCG(seed, 3))
	var share atomic.Int64 // of answers that are faulty, in hundredths
	var streams atomic.Int64
	w.configure(nil)
	w.addWorkers("app", 4, 6, 15*time.Millisecond)
	for _, x := range w.workers {
		x.respond = func(rw http.ResponseWriter, r *http.Request) {
			if rand.Int64N(100) < share.Load() {
				faulty(x, rw, r, faults[rand.IntN(len(faults))], rand.New(rand.NewPCG(rand.Uint64(), 1)))
				return
			}
			fmt.Fprintf(rw, "answer to %s by %s", r.Header.Get("X-Wasabiworks-Attempt-Id"), x.id)
		}
	}
	app := len(w.workers)
	w.addWorkers("ai", 4, 64, 15*time.Millisecond)
	for _, x := range w.workers[app:] {
		x.respond = func(rw http.ResponseWriter, r *http.Request) {
			breaks := ""
			if rand.Int64N(100) < 2*share.Load() {
				breaks = []string{"inside", "reset", "silent", "hang"}[rand.IntN(4)]
			}
			streams.Add(1)
			stream(rw, r, breaks, 2+rand.IntN(streamEvents-1))
		}
	}
	proxies := w.addCuttable([]string{"a", "b", "c"})
	c := w.startClients(seed, 60, []string{"/once/", "/once/", "/safe/", "/stream/", "/stream/"})
	end := time.Now().Add(length)
	cut := false
	busy := make(map[*instance]time.Time)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(200+random.IntN(1800)) * time.Millisecond)
		i := w.instances[1+random.IntN(2)]
		d := time.Duration(500+random.IntN(4000)) * time.Millisecond
		switch e := random.IntN(8); {
		case e < 2:
			if cut = !cut; cut {
				for _, p := range proxies {
					p.cut()
				}
			} else {
				for _, p := range proxies {
					p.heal()
				}
			}
			w.note("cut %v", cut)
		case e == 2:
			share.Store(15)
			time.AfterFunc(d, func() { share.Store(0) })
			w.note("workers in trouble for %v", d)
		case e == 3 && time.Now().After(busy[i]):
			busy[i] = time.Now().Add(d + 3*time.Second)
			w.restart(i, d/4)
		case e == 4 && time.Now().After(busy[i]):
			busy[i] = time.Now().Add(d + time.Second)
			w.freeze(i, d)
		case e == 5 && time.Now().After(busy[i]):
			busy[i] = time.Now().Add(12 * time.Second)
			w.note("%s gets SIGTERM", i.name)
			i.signal(syscall.SIGTERM)
			done := i.done
			go func() {
				select {
				case <-done:
				case <-time.After(8 * time.Second):
					w.note("%s is still there", i.name)
					i.kill()
				}
				i.start()
			}()
		case e == 6:
			share.Store(5)
			time.AfterFunc(d, func() { share.Store(0) })
		case e == 7:
			i.front.setMode([]string{"silent", "reset", "busy", "many"}[random.IntN(4)])
			time.AfterFunc(d, func() { i.front.setMode("") })
		}
	}
	time.Sleep(9 * time.Second)
	all := c.finish()
	w.note("answers by status: %v, streams %d", counts(all), streams.Load())
	for _, f := range append(w.cloud.broken(), w.judge(all)...) {
		w.note("BROKEN %s", f)
	}
	for _, i := range w.instances {
		now, peak := i.memory()
		w.note("%s: %d MB, peak %d MB, ends %d", i.name, now, peak, i.exits)
	}
}
