package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// memory plays hostile clients against one instance with the given memory and watches it.
func memory(w *world, kind string, mb int) {
	w.configure(nil)
	w.addWorkers("app", 8, 64, envDuration("WORK", 15*time.Millisecond))
	w.addWorkers("ai", 1, 64, 15*time.Millisecond)
	i := newInstance("edge-a-1", "a", newFront(w.store), w.cloud.address, w.logs)
	i.memoryMB = mb
	w.instances = append(w.instances, i)
	i.start()
	i.awaitReady(20 * time.Second)
	now, peak := i.memory()
	w.note("before: %d MB, peak %d MB", now, peak)
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for n := range envInt("CLIENTS", 300) {
		wg.Go(func() {
			for ctx.Err() == nil {
				attack(ctx, i.client, kind, n)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ok, bad := 0, 0
	seen := make(map[int]int)
	for ctx.Err() == nil {
		s := do(context.Background(), client, i, http.MethodPost, "/stream/x", fmt.Sprintf("%016x", ok+bad), "x", 1500*time.Millisecond, 1500*time.Millisecond)
		seen[s.status]++
		if s.status == 200 {
			ok++
		} else {
			bad++
		}
		time.Sleep(100 * time.Millisecond)
		if !i.running() {
			w.note("the process has ended")
			break
		}
	}
	now, peak = i.memory()
	w.note("%s with %d MB: now %d MB, peak %d MB, runs %d, ordinary %d served, %d not, by status %v", kind, mb, now, peak, len(w.runs.all), ok, bad, seen)
	cancel()
	wg.Wait()
}

func envInt(name string, value int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return value
}

func envDuration(name string, value time.Duration) time.Duration {
	if d, err := time.ParseDuration(os.Getenv(name)); err == nil {
		return d
	}
	return value
}

// attack opens a connection, sends a hostile request and holds it until the instance ends it.
func attack(ctx context.Context, address, kind string, n int) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	var b strings.Builder
	body := 0
	fmt.Fprintf(&b, "POST /open/%d HTTP/1.1\r\nHost: %s\r\nX-Wasabiworks-Attempt-Id: h%d\r\n", n, host, n)
	switch kind {
	case "free": // as much as is not counted
		for k := range 80 {
			fmt.Fprintf(&b, "%c%c:\r\n", 'a'+k%26, 'a'+k/26)
		}
		body = 16000
	case "lines":
		for k := 0; b.Len() < 16000; k++ {
			fmt.Fprintf(&b, "%c%c%c:\n", 'a'+k%26, 'a'+k/26%26, 'a'+k/676)
		}
	case "bodies":
		body = 4 << 20
	case "whole":
		body = 100 << 10
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", body)
	if _, err := conn.Write([]byte(b.String())); err != nil {
		return
	}
	piece := make([]byte, 16<<10)
	for left := body; left > 0; {
		k := min(left, len(piece))
		if kind == "bodies" && left <= len(piece) {
			break // one piece short of the end
		}
		if _, err := conn.Write(piece[:k]); err != nil {
			return
		}
		left -= k
	}
	conn.Read(piece)
}
