package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	host = "app.example"
	key  = "key-of-members"
	// contact is contact_ms of the users' small installations.
	contact = 3 * time.Second
	// deadlyPart is the part of a prompt that crashes workers.
	deadlyPart = "dead"
	// settle is how long a case waits at its end for what is on its way.
	settle = 500 * time.Millisecond
)

// deployment is a small installation on loopback: the project's own program as
// separate processes, and stand-ins of the store, the cloud, the workers and the
// clients in this process.
type deployment struct {
	start     time.Time
	store     *kvStore
	storeAt   string
	cloudAt   string
	workers   []*worker
	instances []*instance
	ids       atomic.Int64
	dir       string

	logMu  sync.Mutex
	record *os.File
}

// instance is one process of the project's own program.
type instance struct {
	d                        *deployment
	name, zone               string
	client, ready, peer, ops string

	mu      sync.Mutex
	cmd     *exec.Cmd
	started time.Time
	done    chan struct{}
}

func newDeployment(record string) *deployment {
	f, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	d := &deployment{start: time.Now(), store: newStore(), record: f, dir: dir}
	d.storeAt = d.serve(d.store)
	d.cloudAt = d.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	return d
}

func (d *deployment) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.unable("%v", err)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

// log writes one line to the record, with the seconds since the start.
func (d *deployment) log(format string, args ...any) {
	d.logMu.Lock()
	defer d.logMu.Unlock()
	fmt.Fprintf(d.record, "%8.3f  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (d *deployment) say(format string, args ...any) {
	d.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// unable ends the case because it could not run.
func (d *deployment) unable(format string, args ...any) {
	d.say("the case could not run: "+format, args...)
	d.end(2)
}

// end ends all processes that this one started, and exits.
func (d *deployment) end(status int) {
	for _, w := range d.workers {
		w.stop()
	}
	for _, i := range d.instances {
		i.kill()
	}
	if status != 2 {
		_ = os.RemoveAll(d.dir)
	}
	_ = d.record.Close()
	os.Exit(status)
}

var usedAddresses = make(map[string]bool)

// freeAddress returns an address with a free port, another one each time. Its IP is that
// of this process alone, so that neither another case nor an outgoing channel takes the
// port.
func freeAddress() string {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
	for {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		address := l.Addr().String()
		_ = l.Close()
		if !usedAddresses[address] {
			usedAddresses[address] = true
			return address
		}
	}
}

// addInstance starts one process with the command and the variables of
// deploy/system.toml, and the bounds of the users' small installations.
func (d *deployment) addInstance(name, zone string) *instance {
	i := &instance{d: d, name: name, zone: zone, client: freeAddress(), ready: freeAddress(), peer: freeAddress(), ops: freeAddress()}
	d.instances = append(d.instances, i)
	i.run()
	return i
}

func (i *instance) run() {
	out, err := os.OpenFile(filepath.Join(i.d.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		i.d.unable("%v", err)
	}
	defer out.Close()
	cmd := exec.Command("target/wasabiworks", "forward")
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Env = append(os.Environ(),
		"WASABIWORKS_INSTANCE="+i.name, "WASABIWORKS_FAILURE_DOMAIN="+i.zone,
		"WASABIWORKS_CLIENT_ADDRESS="+i.client, "WASABIWORKS_READY_ADDRESS="+i.ready,
		"WASABIWORKS_PEER_ADDRESS="+i.peer, "WASABIWORKS_OPERATIONS_ADDRESS="+i.ops,
		"WASABIWORKS_CORES=0.4", "WASABIWORKS_STORE="+i.d.storeAt, "WASABIWORKS_CLOUD="+i.d.cloudAt,
		"WASABIWORKS_REVOKE_WITHIN=5000ms", "WASABIWORKS_DRAIN_NOTICE=7500ms", "WASABIWORKS_USAGE_WINDOW=5s",
		"WASABIWORKS_DUTIES=metering,autoscale", "WASABIWORKS_RETRY_RATIO=0.2", "WASABIWORKS_RETRY_SLACK=58",
		"WASABIWORKS_RETRY_WINDOW=10s", "WASABIWORKS_ALLOWANCE_SLACK=190000", "GOMAXPROCS=1",
	)
	if err := cmd.Start(); err != nil {
		i.d.unable("cannot start an instance: %v", err)
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	i.mu.Lock()
	i.cmd, i.started, i.done = cmd, time.Now(), done
	i.mu.Unlock()
	i.d.log("instance %s starts as process %d", i.name, cmd.Process.Pid)
}

// kill sends SIGKILL and waits for the end of the process.
func (i *instance) kill() {
	i.mu.Lock()
	cmd, done := i.cmd, i.done
	i.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

// killAll kills all processes of the system at the same moment, and starts them again.
func (d *deployment) killAll(down time.Duration) {
	d.log("all processes of the system are killed")
	var wg sync.WaitGroup
	for _, i := range d.instances {
		wg.Go(i.kill)
	}
	wg.Wait()
	time.Sleep(down)
	for _, i := range d.instances {
		i.run()
	}
	d.waitReady()
}

func (i *instance) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + i.ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (d *deployment) waitReady() {
	end := time.Now().Add(20 * time.Second)
	for _, i := range d.instances {
		for !i.isReady() {
			if time.Now().After(end) {
				d.unable("instance %s is not ready", i.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
		d.log("instance %s is ready", i.name)
	}
}

// answer is what a client got.
type answer struct {
	id, reason string
	status     int
	complete   bool
	at         time.Time
	instance   *instance
}

// ask sends one client attempt on a new channel and reads the answer.
func (d *deployment) ask(i *instance, path, parts, body string) answer {
	a := answer{id: fmt.Sprintf("%08x", d.ids.Add(1)), at: time.Now(), instance: i}
	r, err := http.NewRequest(http.MethodPost, "http://"+i.client+path, strings.NewReader(body))
	if err != nil {
		d.unable("%v", err)
	}
	r.Host = host
	r.Header.Set("X-Wasabiworks-Attempt-Id", a.id)
	r.Header.Set("X-Wasabiworks-Key", key)
	r.Header.Set("X-Wasabiworks-Model", "m")
	r.Header.Set("X-Wasabiworks-Token-Usage", "600,80")
	r.Header.Set("X-Wasabiworks-Prefix-Hash", parts)
	r.Header.Set("X-Wasabiworks-Deadline-Ms", "10000")
	d.log("client sends %s POST %s %s to %s", a.id, path, parts, i.name)
	c := http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := c.Do(r)
	if err != nil {
		a.reason = err.Error()
		d.log("client has no answer to %s: %v", a.id, errors.Unwrap(err))
		return a
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	a.status, a.complete = response.StatusCode, err == nil
	if a.status != http.StatusOK {
		a.reason = string(data)
	}
	d.log("client gets %d for %s, whole: %v %s", a.status, a.id, a.complete, a.reason)
	return a
}

// route is a route of the operator's configuration.
func route(name, prefix, kind, service string, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "type": kind, "timeout_ms": 10000, "goal_ms": 800, "gap_aim_ms": 400,
		"priority": 1, "service": service, "attempts": attempts, "resumable": resumable, "sticky": true,
	}
}

// tenant is a tenant of the operator's configuration.
func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "api_keys": keys, "unit": "tokens", "raw_tokens": 200, "rate_per_s": 400000, "burst": 800000}
}

// configure writes the operator's configuration with one tenant, members.
func (d *deployment) configure(version int, routes ...map[string]any) {
	d.configureTenants(version, []any{tenant("members", key)}, routes...)
}

// configureTenants writes the operator's configuration.
func (d *deployment) configureTenants(version int, tenants []any, routes ...map[string]any) {
	d.store.write("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "sack-assist", "health_path": "/healthz", "max_conns": 370},
			map[string]any{"name": "ledger-desk", "health_path": "/healthz", "max_conns": 110},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants": tenants,
	})
}

// addWorker starts a worker, of sack-assist if it names no service.
func (d *deployment) addWorker(id, zone string, w *worker) *worker {
	w.d, w.id, w.zone, w.address = d, id, zone, freeAddress()
	if w.service == "" {
		w.service = "sack-assist"
	}
	if w.version == "" {
		w.version = "v1"
	}
	d.workers = append(d.workers, w)
	w.start()
	return w
}

// crashes returns the times of all crashes of workers, in order.
func (d *deployment) crashes() (times []time.Time) {
	for _, w := range d.workers {
		w.mu.Lock()
		times = append(times, w.crashes...)
		w.mu.Unlock()
	}
	for n := range times {
		for m := n; m > 0 && times[m].Before(times[m-1]); m-- {
			times[m], times[m-1] = times[m-1], times[m]
		}
	}
	return times
}

// arrived returns the requests that workers began to run, by the client's id.
func (d *deployment) arrived() map[string][]arrival {
	all := make(map[string][]arrival)
	for _, w := range d.workers {
		w.mu.Lock()
		for _, a := range w.arrivals {
			all[a.id] = append(all[a.id], a)
		}
		w.mu.Unlock()
	}
	return all
}

// broken returns how many sound requests were at work on a worker as it crashed.
func (d *deployment) broken() (n int) {
	for _, w := range d.workers {
		w.mu.Lock()
		n += w.broken
		w.mu.Unlock()
	}
	return n
}
