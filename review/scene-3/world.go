package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		os.Exit(2)
	}
}

func stamp(t time.Time) string { return t.Format("15:04:05.000") }

var plain = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func get(url string) (status int, body string) {
	r, err := plain.Get(url)
	if err != nil {
		return 0, ""
	}
	defer r.Body.Close()
	data, _ := io.ReadAll(r.Body)
	return r.StatusCode, string(data)
}

// world is a small deployment: the store, the cloud, workers and instances.
type world struct {
	store     *store
	cloud     *cloud
	runs      *runs
	workers   []*worker
	instances []*instance
	logs      string
	record    *os.File
	stop      chan struct{}
	mu        sync.Mutex
	version   int
	config    []byte // the newest one
	seq       int
	lapsed    bool
}

const (
	host = "ficu95.example"
	key  = "i9n73hh2b9wu3fexd9dn"
)

func newWorld() *world {
	logs, err := os.MkdirTemp("", "scene-3-")
	check(err)
	if d := os.Getenv("LOGS"); d != "" {
		logs = d
		check(os.MkdirAll(d, 0o755))
	}
	w := &world{store: newStore(), cloud: newCloud(), runs: new(runs), logs: logs, stop: make(chan struct{})}
	path := "record.txt"
	if p := os.Getenv("RECORD"); p != "" {
		path = p
	}
	w.record, err = os.Create(path)
	check(err)
	go w.store.expire(w.stop)
	return w
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, stamp(time.Now())+" "+format+"\n", args...)
}

// configure writes the next version of the configuration.
func (w *world) configure(change func(c map[string]any)) {
	w.version += 3
	c := map[string]any{
		"version": w.version,
		"routes": []map[string]any{
			{"name": "r-once", "host": host, "path_prefix": "/once/", "type": "non_idempotent", "timeout_ms": 3000, "goal_ms": 300, "priority": 2, "service": "app", "attempts": 1, "public": false},
			{"name": "r-safe", "host": host, "path_prefix": "/safe/", "type": "idempotent", "timeout_ms": 3000, "goal_ms": 300, "priority": 2, "service": "app", "attempts": 2, "public": false},
			{"name": "r-open", "host": host, "path_prefix": "/open/", "type": "non_idempotent", "timeout_ms": 12000, "goal_ms": 1000, "priority": 2, "service": "app", "attempts": 1, "public": true},
			{"name": "r-stream", "host": host, "path_prefix": "/stream/", "type": "streaming", "timeout_ms": 12000, "goal_ms": 1000, "gap_aim_ms": 400, "priority": 1, "service": "ai", "attempts": 2, "public": false, "resumable": true, "sticky": true},
		},
		"services": []map[string]any{
			{"name": "app", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false},
			{"name": "ai", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false,
				"scaling": map[string]any{"min": 1, "max": 10, "boot_s": 4.0, "spot_price": 0.22, "zone_prices": map[string]float64{"a": 1, "b": 0.8, "c": 1.25}}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{key}, "priority": 1, "unit": "tokens", "raw_tokens": 200, "rate_per_s": 388461, "burst": 388461}},
	}
	if change != nil {
		change(c)
	}
	data, err := json.Marshal(c)
	check(err)
	w.config = data
	w.store.put("op/config", data)
}

// addWorkers starts workers of a service, one for each zone in turn.
func (w *world) addWorkers(service string, n, slots int, work time.Duration) {
	for i := range n {
		x := startWorker(&worker{id: fmt.Sprintf("i-%s-%d", service, i), service: service, zone: string(rune('a' + i%3)), slots: slots, runs: w.runs, work: work})
		w.workers = append(w.workers, x)
		w.store.put("servers/"+x.id, x.entry(0))
	}
}

// beat lets the workers write their entries until the end.
func (w *world) beat() {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
		if w.store.isDown() {
			continue
		}
		w.seq++
		for _, x := range w.workers {
			w.store.put("servers/"+x.id, x.entry(w.seq))
		}
	}
}

func (w *world) addInstances(n int) {
	for i := range n {
		zone := string(rune('a' + i%3))
		x := newInstance(fmt.Sprintf("edge-%s-%d", zone, i/3+1), zone, newFront(w.store), w.cloud.address, w.logs)
		w.instances = append(w.instances, x)
		x.start()
	}
}

// end ends all processes of the world.
func (w *world) end() {
	close(w.stop)
	for _, i := range w.instances {
		if i.cmd != nil && i.running() {
			i.kill()
		}
	}
	w.record.Close()
	if os.Getenv("LOGS") == "" {
		os.RemoveAll(w.logs)
	}
}
