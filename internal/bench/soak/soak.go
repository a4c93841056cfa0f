package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/metastore"
	"wasabiworks.example/wasabiworks/internal/bench/worker"
)

const (
	host = "app.example"
	key  = "key-of-fairs"
	// removedKey is a second key, which is removed and added.
	removedKey = "key-of-weddings"
	// revokeWithin and leaveWithin are the times after which a removed key must
	// not work and a leaving server must get nothing.
	revokeWithin = 5 * time.Second
	leaveWithin  = 2 * time.Second
	// calm is how long an instance and the store must have been left alone for
	// the bound on leaving servers to hold.
	calm = 5 * time.Second
	// clientPause is the time between two requests of a client.
	clientPause = 15 * time.Millisecond
)

// Config configures a run.
type Config struct {
	// Program is the path of wasabiworks.
	Program   string
	Seed      uint64
	Time      time.Duration
	Instances int
	// Log takes what the instances write; nil drops it.
	Log io.Writer
}

// Result is what a run saw.
type Result struct {
	Sent, Served int
	// Broken are the promises that were not kept.
	Broken []string
}

// instance is a process with its link to the store.
type instance struct {
	name      string
	addresses map[string]string
	link      *proxy
	cmd       *exec.Cmd
	disturbed time.Time
}

// run is one run.
type run struct {
	Config
	random  *rand.Rand
	store   *metastore.Store
	cloud   *metastore.Cloud
	servers []*http.Server
	base    map[string]string // addresses of the stand-ins

	mu        sync.Mutex
	instances []*instance
	workers   []*server
	version   int
	hasKey    bool
	removed   time.Time // when removedKey went
	disturbed time.Time // the store
	requests  map[string]request
	result    Result
}

// server is a stand-in server and when it began to leave.
type server struct {
	*worker.Worker
	service, address string
	leaving          time.Time
}

// request is what a client sent and got.
type request struct {
	instance *instance
	sent     time.Time
	key      string
	calm     bool // the instance and the store were left alone for long enough
	status   int
	repeats  bool // it may run more than once
}

// Run plays a run and returns what it saw.
func Run(ctx context.Context, c Config) (Result, error) {
	r := &run{
		Config: c, random: rand.New(rand.NewPCG(c.Seed, 1)), store: metastore.New(), cloud: metastore.NewCloud(),
		base: make(map[string]string), requests: make(map[string]request), hasKey: true, version: 1,
	}
	defer r.stop()
	if err := r.start(); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Time)
	defer cancel()
	var wg sync.WaitGroup
	for n := range 4 {
		clients := rand.New(rand.NewPCG(c.Seed, uint64(n)+10))
		wg.Go(func() { r.client(ctx, clients, n) })
	}
	r.disturb(ctx)
	wg.Wait()
	r.check()
	return r.result, nil
}

func (r *run) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	r.servers = append(r.servers, s)
	go func() { _ = s.Serve(l) }() // ends with Close
	return l.Addr().String(), nil
}

func (r *run) start() (err error) {
	r.configure()
	if r.base["store"], err = r.serve(r.store); err != nil {
		return err
	}
	if r.base["cloud"], err = r.serve(r.cloud); err != nil {
		return err
	}
	for n := range 3 {
		for _, service := range []string{"plain", "model"} {
			if err := r.addServer(fmt.Sprintf("%s-%d", service, n), service); err != nil {
				return err
			}
		}
	}
	for n := range r.Instances {
		i := &instance{name: fmt.Sprintf("i%d", n), addresses: make(map[string]string)}
		for _, use := range []string{"client", "ready", "peer", "operations"} {
			if i.addresses[use], err = freeAddress(); err != nil {
				return err
			}
		}
		if i.link, err = newProxy(r.base["store"]); err != nil {
			return err
		}
		r.instances = append(r.instances, i)
		if err := r.launch(i); err != nil {
			return err
		}
	}
	return nil
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (r *run) addServer(id, service string) error {
	w := &worker.Worker{ID: id, Stream: service == "model", Events: 6, Pace: 20 * time.Millisecond}
	address, err := r.serve(w)
	if err != nil {
		return err
	}
	r.workers = append(r.workers, &server{Worker: w, service: service, address: address})
	r.register(r.workers[len(r.workers)-1], "ready")
	return nil
}

func (r *run) register(s *server, state string) {
	r.store.Put("servers/"+s.ID, map[string]any{
		"service": s.service, "address": s.address, "zone": "zone-0", "version": "v1", "slots": 8, "state": state, "born": 1,
	})
}

// configure writes the operator's configuration.
func (r *run) configure() {
	keys := []string{key}
	if r.hasKey {
		keys = append(keys, removedKey)
	}
	route := func(name, kind, service string, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": "/" + name + "/", "type": kind, "timeout_ms": 6000, "goal_ms": 800,
			"gap_aim_ms": 400, "service": service, "attempts": 2, "resumable": resumable,
		}
	}
	r.store.Put("op/config", map[string]any{
		"version": r.version,
		"routes":  []any{route("read", "idempotent", "plain", false), route("book", "non_idempotent", "plain", false), route("draft", "streaming", "model", false), route("reply", "streaming", "model", true)},
		"services": []any{
			map[string]any{"name": "plain", "health_path": "/healthz", "max_conns": 100},
			map[string]any{"name": "model", "health_path": "/healthz", "max_conns": 100},
		},
		"tenants": []any{map[string]any{"name": "fairs", "api_keys": keys}},
	})
	r.version++
}

func (r *run) launch(i *instance) error {
	i.cmd = exec.Command(r.Program, "forward", "--instance", i.name, "--failure-domain", "zone-"+i.name[1:],
		"--client-address", i.addresses["client"], "--ready-address", i.addresses["ready"], "--peer-address", i.addresses["peer"],
		"--operations-address", i.addresses["operations"], "--store", i.link.address(), "--cloud", r.base["cloud"],
		"--usage-window", "1s", "--duties", "metering", "--drain-notice", "4s", "--revoke-within", revokeWithin.String())
	i.cmd.Stdout, i.cmd.Stderr = r.Log, r.Log
	r.disturbInstance(i)
	return i.cmd.Start()
}

// stop ends the processes that the run started.
func (r *run) stop() {
	for _, i := range r.instances {
		if i.cmd != nil && i.cmd.Process != nil {
			_ = i.cmd.Process.Signal(syscall.SIGCONT)
			_ = i.cmd.Process.Kill()
			_ = i.cmd.Wait() // it was killed
		}
		i.link.close()
	}
	for _, s := range r.servers {
		_ = s.Close()
	}
}

// client sends requests until ctx ends.
func (r *run) client(ctx context.Context, random *rand.Rand, n int) {
	kinds := []string{"read", "book", "book", "draft", "reply"}
	client := &http.Client{Timeout: 8 * time.Second}
	for count := 0; ctx.Err() == nil; count++ {
		i := r.instances[random.IntN(len(r.instances))]
		id := fmt.Sprintf("c%d-%d", n, count)
		kind := kinds[random.IntN(len(kinds))]
		q := request{instance: i, sent: time.Now(), key: key, repeats: kind == "read" || kind == "reply"}
		if random.IntN(4) == 0 {
			q.key = removedKey
		}
		r.mu.Lock()
		q.calm = time.Since(i.disturbed) > calm && time.Since(r.disturbed) > calm
		r.mu.Unlock()
		body, status := r.send(client, i, kind, id, q.key)
		q.status = status
		r.mu.Lock()
		r.requests[id] = q
		r.result.Sent++
		if status == http.StatusOK {
			r.result.Served++
			if problem := wrong(kind, id, body); problem != "" {
				r.result.Broken = append(r.result.Broken, problem)
			}
		}
		r.mu.Unlock()
		time.Sleep(clientPause)
	}
}

// send returns the body and status; the status is 0 without a whole answer.
func (r *run) send(client *http.Client, i *instance, kind, id, key string) (string, int) {
	q, err := http.NewRequest(http.MethodPost, "http://"+i.addresses["client"]+"/"+kind+"/"+id, strings.NewReader(id))
	if err != nil {
		return "", 0
	}
	q.Host = host
	q.Header.Set("X-Wasabiworks-Attempt-Id", id)
	q.Header.Set("X-Wasabiworks-Key", key)
	q.Header.Set("X-Wasabiworks-Deadline-Ms", "6000")
	response, err := client.Do(q)
	if err != nil {
		return "", 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "", 0
	}
	return string(body), response.StatusCode
}

// wrong says what is wrong with the body of a success.
func wrong(kind, id, body string) string {
	want := worker.Body(id)
	if kind == "draft" || kind == "reply" {
		want = ""
		for n := 1; n <= 6; n++ {
			want += worker.Event(id, n)
		}
	}
	if body == want {
		return ""
	}
	return "answer to " + id + " is " + strconv.Quote(body)
}
