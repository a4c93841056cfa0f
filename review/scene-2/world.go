package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// world is a small deployment: entry instances as processes, and stand-ins for the
// platform, the workers and the clients.
type world struct {
	start  time.Time
	store  *metaStore
	storeA string
	cloud  *cloud
	cloudA string
	fronts []*front

	mu      sync.Mutex
	record  *bufio.Writer
	file    *os.File
	workers []*worker
	nextID  atomic.Int64
	// beforeStart is called before the entry instances start; it may be nil.
	beforeStart func() error
}

// logf writes a line with the time since the start to record.txt.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.record == nil {
		return
	}
	fmt.Fprintf(w.record, "%9.3f ", time.Since(w.start).Seconds())
	fmt.Fprintf(w.record, format+"\n", args...)
}

// errNotRun means that the case could not run.
var errNotRun = errors.New("the case could not run")

func newWorld(dir string) (*world, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{start: time.Now(), file: file, record: bufio.NewWriter(file), store: newStore()}
	w.cloud = &cloud{world: w}
	if w.storeA, err = serve(w.store); err != nil {
		return nil, err
	}
	if w.cloudA, err = serve(w.cloud); err != nil {
		return nil, err
	}
	return w, nil
}

// serve serves a handler on a free loopback port.
func serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String(), nil
}

// close ends all processes that the world has started.
func (w *world) close() {
	for _, f := range w.fronts {
		f.kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Flush()
	_ = w.file.Close()
	w.record = nil
}

// cloud is a stand-in for the platform's cloud API.
type cloud struct {
	world *world
	mu    sync.Mutex
	meter []meterCall
}

// meterCall is a usage report that the platform has accepted.
type meterCall struct {
	at            time.Time
	holder, fence string
	window        int64
	counts        map[string]int64
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/meter" {
		var v struct {
			WindowID int64            `json:"window_id"`
			Counts   map[string]int64 `json:"counts"`
		}
		if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
			reply(w, http.StatusBadRequest, struct{}{})
			return
		}
		call := meterCall{time.Now(), r.Header.Get("X-Wasabiworks-Duty-Holder"), r.Header.Get("X-Wasabiworks-Fencing-Token"), v.WindowID, v.Counts}
		c.mu.Lock()
		c.meter = append(c.meter, call)
		c.mu.Unlock()
		c.world.logf("platform accepts usage of window %d from %s, fence %s: %v", call.window, call.holder, call.fence, call.counts)
	}
	reply(w, http.StatusOK, struct{}{})
}

// front is an entry instance: a process of the deploy file's command.
type front struct {
	world                     *world
	name, zone                string
	client, ready, peer, oper string

	mu      sync.Mutex
	command *exec.Cmd
	started time.Time
	ended   chan struct{} // closed at the end of the process
}

// nextPort is the port at which freePorts goes on. The ports are below those that the system
// gives to outgoing channels, so that none of these takes one while its process is down.
var nextPort = 12000 + os.Getpid()*64%18000

// freePorts returns loopback addresses that nothing listens on.
func freePorts(n int) ([]string, error) {
	var addresses []string
	for range 20000 {
		if len(addresses) == n {
			return addresses, nil
		}
		if nextPort++; nextPort >= 32000 {
			nextPort = 12000
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			addresses = append(addresses, address)
		}
	}
	return nil, fmt.Errorf("%w: no free ports", errNotRun)
}

// addFronts adds n entry instances, dealt over the zones, and starts them.
func (w *world) addFronts(n int, zones []string) error {
	ports, err := freePorts(4 * n)
	if err != nil {
		return err
	}
	for i := range n {
		p := ports[4*i:]
		f := &front{world: w, name: fmt.Sprintf("edge-%d", i+1), zone: zones[i%len(zones)], client: p[0], ready: p[1], peer: p[2], oper: p[3]}
		w.fronts = append(w.fronts, f)
	}
	if w.beforeStart != nil {
		if err := w.beforeStart(); err != nil {
			return err
		}
	}
	for _, f := range w.fronts {
		if err := f.run(); err != nil {
			return err
		}
	}
	return nil
}

// run starts the process with the settings of the deploy file.
func (f *front) run() error {
	program, err := filepath.Abs("target/wasabiworks")
	if err != nil {
		return err
	}
	c := exec.Command(program, "forward")
	c.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.TempDir(),
		"WASABIWORKS_INSTANCE=" + f.name, "WASABIWORKS_FAILURE_DOMAIN=" + f.zone,
		"WASABIWORKS_CLIENT_ADDRESS=" + f.client, "WASABIWORKS_READY_ADDRESS=" + f.ready,
		"WASABIWORKS_PEER_ADDRESS=" + f.peer, "WASABIWORKS_OPERATIONS_ADDRESS=" + f.oper,
		"WASABIWORKS_MEMORY_MB=284", "WASABIWORKS_CORES=0.4",
		"WASABIWORKS_STORE=" + f.world.storeA, "WASABIWORKS_CLOUD=" + f.world.cloudA,
		"WASABIWORKS_REVOKE_WITHIN=5000ms", "WASABIWORKS_DRAIN_NOTICE=7500ms", "WASABIWORKS_USAGE_WINDOW=5s",
		"WASABIWORKS_DUTIES=metering,autoscale", "WASABIWORKS_RETRY_RATIO=0.2", "WASABIWORKS_RETRY_SLACK=58",
		"WASABIWORKS_RETRY_WINDOW=10s", "WASABIWORKS_ALLOWANCE_SLACK=190000",
	}
	if dir := os.Getenv("SCENE_LOGS"); dir != "" {
		out, err := os.OpenFile(filepath.Join(dir, f.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		c.Stdout, c.Stderr = out, out
	}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	ended := make(chan struct{})
	f.command, f.started, f.ended = c, time.Now(), ended
	f.mu.Unlock()
	f.world.logf("%s starts", f.name)
	go func() {
		_ = c.Wait()
		f.world.logf("a process of %s has ended", f.name)
		close(ended)
	}()
	return nil
}

func (f *front) signal(s syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.command != nil && f.command.Process != nil {
		_ = f.command.Process.Signal(s)
	}
}

func (f *front) kill() { f.signal(syscall.SIGKILL) }

// isReady asks the instance as the balancer does.
func (f *front) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + f.ready + "/-/readyz")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// waitReady waits until all instances say that they are ready.
func (w *world) waitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, f := range w.fronts {
		for !f.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s is not ready after %v", errNotRun, f.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// killAll kills all instances at the same moment and starts them again after a pause.
func (w *world) killAll(pause time.Duration) error {
	for _, f := range w.fronts {
		f.kill()
	}
	w.logf("all entry instances are killed")
	time.Sleep(pause)
	for _, f := range w.fronts {
		if err := f.run(); err != nil {
			return err
		}
	}
	return nil
}

// request is what a client sends.
type request struct {
	method, path, key, prefix, tokens string
	body                              []byte
	deadline                          time.Duration
	note                              string
}

// answer is what a client gets. status is 0 if there was no complete answer.
type answer struct {
	id         string
	status     int
	sealed     bool
	limit      string // Server-Limit
	body       []byte
	err        error
	sent, done time.Time
}

const host = "ficu95.example"

// send sends a request on a new channel to an instance and reads the whole answer.
func (w *world) send(f *front, q request) answer {
	id := fmt.Sprintf("a%015x", w.nextID.Add(1))
	a := answer{id: id, sent: time.Now()}
	w.logf("client sends %s to %s: %s %s", id, f.name, q.path, q.note)
	defer func() {
		w.logf("client gets %s: status %d sealed %v error %v", id, a.status, a.sealed, a.err)
	}()
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.Dial("tcp", f.client)
	if err != nil {
		a.err, a.done = err, time.Now()
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(q.deadline + 500*time.Millisecond))
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Wasabiworks-Attempt-Id: %s\r\nX-Wasabiworks-Deadline-Ms: %d\r\nX-Entry: %s\r\n",
		q.method, q.path, host, id, q.deadline.Milliseconds(), f.name)
	for _, v := range [][2]string{{"X-Wasabiworks-Key", q.key}, {"X-Wasabiworks-Prefix-Hash", q.prefix}, {"X-Wasabiworks-Token-Usage", q.tokens}} {
		if v[1] != "" {
			h += v[0] + ": " + v[1] + "\r\n"
		}
	}
	if q.tokens != "" {
		h += "X-Wasabiworks-Model: m\r\n"
	}
	if q.method == http.MethodPost {
		h += "Content-Length: " + strconv.Itoa(len(q.body)) + "\r\n"
	}
	if _, err = conn.Write(append([]byte(h+"\r\n"), q.body...)); err == nil {
		var r *http.Response
		if r, err = http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method}); err == nil {
			a.body, err = io.ReadAll(r.Body)
			r.Body.Close()
			if err == nil {
				a.status, a.sealed, a.limit = r.StatusCode, r.Header.Get("X-Wasabiworks-Server-Seal") != "", r.Header.Get("Server-Limit")
			}
		}
	}
	a.err, a.done = err, time.Now()
	return a
}
