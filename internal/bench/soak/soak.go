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
	"sync/atomic"
	"syscall"
	"time"

	"wasabiworks.example/wasabiworks/internal/bench/metastore"
	"wasabiworks.example/wasabiworks/internal/bench/worker"
)

const (
	host     = "app.example"
	firstKey = "key-of-fairs"
	// secondKey is a second key of the same tenant, which is removed and added
	// again during the run.
	secondKey = "key-of-weddings"
	// revokeWithin is the time after which a removed key must be rejected.
	revokeWithin = 5 * time.Second
	// leaveWithin is the time after which a leaving server must get no requests.
	leaveWithin = 2 * time.Second
	// faultFreeTime is how long both the instance and the store must have been
	// without a fault before leaveWithin is checked for a request.
	faultFreeTime = 5 * time.Second
	// deadline is the time limit that clients send with a request.
	deadline = 6 * time.Second
	// clientPause is the time between a response and the client's next request.
	clientPause = 15 * time.Millisecond
)

// Config configures Run.
type Config struct {
	// Program is the path of the wasabiworks program.
	Program   string
	Seed      uint64
	Duration  time.Duration
	Instances int
	// Log receives the output of the instances; nil discards it.
	Log io.Writer
}

// Result is the result of a run.
type Result struct {
	Sent, Served int
	// Violations are the violated guarantees, with details.
	Violations []string
}

// instance is an instance of wasabiworks forward, whose connections to the store
// pass through a proxy.
type instance struct {
	name        string
	addresses   map[string]string
	storeProxy  *proxy
	cmd         *exec.Cmd
	ended       chan struct{} // closed when cmd has ended
	stopping    bool          // a fault or the end of the run ends cmd
	lastFaultAt time.Time
	// stops are the starts and ends of restarts and freezes of the process.
	stops []time.Time
}

// soakRun is the state of one run of the test.
type soakRun struct {
	Config
	random        *rand.Rand
	store         *metastore.Store
	cloud         *metastore.Cloud
	httpServers   []*http.Server
	fakeAddresses map[string]string // by name: store, cloud

	mu               sync.Mutex
	instances        []*instance
	servers          []*server
	configVersion    int
	secondKeyActive  bool
	keyRemovedAt     time.Time // zero if secondKey is active
	storeLastFaultAt time.Time // start or end of the last fault of the store
	requests         map[string]request
	leavingNotices   []leavingNotice
	evacuations      []evacuation
	result           Result
}

// server is a fake back end that is registered in the store. leavingSince is zero
// unless the server is leaving. saysLeavingOnly is set if it says so in its answers
// but not in the store. starts are the starts of its processes, and coldUntil the ends of
// the times in which it was cold.
type server struct {
	*worker.Server
	service, address, zone string
	leavingSince           time.Time
	saysLeavingOnly        bool
	starts, coldUntil      []time.Time
}

// request is a request that a client sent and the status that it received.
type request struct {
	instance    *instance
	sent        time.Time
	kind, key   string
	faultFree   bool // no fault of the instance or the store for faultFreeTime
	undisturbed bool // faultFree, and no fault of the instance until the response
	status      int
	repeatable  bool // may run more than once
}

// Run starts the instances and fakes, sends requests and injects faults until
// ctx is done or c.Duration has passed, and returns the result.
func Run(ctx context.Context, c Config) (Result, error) {
	r := &soakRun{
		Config: c, random: rand.New(rand.NewPCG(c.Seed, 1)), store: metastore.New(), cloud: metastore.NewCloud(),
		fakeAddresses: make(map[string]string), requests: make(map[string]request), secondKeyActive: true, configVersion: 1,
	}
	defer r.stop()
	if err := r.start(); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	var wg sync.WaitGroup
	for n := range 4 {
		random := rand.New(rand.NewPCG(c.Seed, uint64(n)+10))
		wg.Go(func() { r.client(ctx, random, n) })
	}
	wg.Go(func() { r.injectEvacuations(ctx, rand.New(rand.NewPCG(c.Seed, 2))) })
	r.injectFaults(ctx)
	wg.Wait()
	r.checkResult()
	return r.result, nil
}

func (r *soakRun) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	r.httpServers = append(r.httpServers, s)
	go func() { _ = s.Serve(l) }() // returns after Close
	return l.Addr().String(), nil
}

func (r *soakRun) start() (err error) {
	r.configure()
	if r.fakeAddresses["store"], err = r.serve(r.store); err != nil {
		return err
	}
	if r.fakeAddresses["cloud"], err = r.serve(r.cloud); err != nil {
		return err
	}
	for n := range serverZones {
		for _, service := range []string{"plain", "model"} {
			if err := r.addServer(fmt.Sprintf("%s-%d", service, n), service, fmt.Sprint("zone-", n)); err != nil {
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
		if i.storeProxy, err = newProxy(r.fakeAddresses["store"]); err != nil {
			return err
		}
		r.instances = append(r.instances, i)
		if err := r.startInstance(i); err != nil {
			return err
		}
	}
	return nil
}

const (
	// firstPort and numPorts are the ports of the instances. They lie below those that
	// the system gives to outgoing connections, so that no connection takes the port of
	// an instance while it restarts.
	firstPort = 16000
	numPorts  = 14000
	// portAttempts bounds the search for a free port.
	portAttempts = 100
)

// portsTaken counts the ports that freeAddress has tried. No port is given to two
// instances, one of which may be about to start.
var portsTaken atomic.Int64

// portOffset keeps the ports of processes that run at the same time apart.
var portOffset = rand.Int64N(numPorts)

// freeAddress returns a loopback address whose port was free when it was checked.
func freeAddress() (address string, err error) {
	for range portAttempts {
		address = fmt.Sprintf("127.0.0.1:%d", firstPort+(portOffset+portsTaken.Add(1))%numPorts)
		var l net.Listener
		if l, err = net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", err
}

func (r *soakRun) addServer(id, service, zone string) error {
	w := &worker.Server{ID: id, Stream: service == "model", Events: 6, EventInterval: 20 * time.Millisecond}
	address, err := r.serve(w)
	if err != nil {
		return err
	}
	r.servers = append(r.servers, &server{Server: w, service: service, address: address, zone: zone, starts: []time.Time{time.Now()}})
	r.register(r.servers[len(r.servers)-1], "ready")
	return nil
}

func (r *soakRun) register(s *server, state string) {
	r.mu.Lock()
	entry := s.entry(state)
	r.mu.Unlock()
	r.store.Put("servers/"+s.ID, entry)
}

// entry returns the server's entry in the store. The caller must hold soakRun.mu.
func (s *server) entry(state string) map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 8, "state": state, "cold_left_ms": s.coldLeft().Milliseconds(), "seq": 1, "born": len(s.starts),
	}
}

// configure writes the next version of the operator's configuration to the store.
func (r *soakRun) configure() {
	keys := []string{firstKey}
	if r.secondKeyActive {
		keys = append(keys, secondKey)
	}
	route := func(name, kind, service string, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": "/" + name + "/", "type": kind, "timeout_ms": 6000, "goal_ms": 800,
			"gap_aim_ms": 400, "service": service, "attempts": 2, "resumable": resumable,
		}
	}
	r.store.Put("op/config", map[string]any{
		"version": r.configVersion,
		"routes":  []any{route("read", "idempotent", "plain", false), route("book", "non_idempotent", "plain", false), route("draft", "streaming", "model", false), route("reply", "streaming", "model", true)},
		"services": []any{
			map[string]any{"name": "plain", "health_path": "/healthz", "max_conns": 100, "cold_s": coldTime.Seconds(), "cold_per_s": coldRate},
			map[string]any{"name": "model", "health_path": "/healthz", "max_conns": 100},
		},
		"tenants": []any{map[string]any{"name": "fairs", "api_keys": keys}},
	})
	r.configVersion++
}

func (r *soakRun) startInstance(i *instance) error {
	i.cmd = exec.Command(r.Program, "forward", "--instance", i.name, "--failure-domain", "zone-"+i.name[1:],
		"--client-address", i.addresses["client"], "--ready-address", i.addresses["ready"], "--peer-address", i.addresses["peer"],
		"--operations-address", i.addresses["operations"], "--store", i.storeProxy.address(), "--cloud", r.fakeAddresses["cloud"],
		"--usage-window", "1s", "--duties", "metering", "--drain-notice", "4s", "--revoke-within", revokeWithin.String())
	i.cmd.Stdout, i.cmd.Stderr = r.Log, r.Log
	r.recordInstanceStop(i)
	if err := i.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := i.cmd, make(chan struct{})
	r.mu.Lock()
	i.ended, i.stopping = ended, false
	r.mu.Unlock()
	go func() {
		defer close(ended)
		err := cmd.Wait()
		r.mu.Lock()
		defer r.mu.Unlock()
		if !i.stopping {
			r.result.Violations = append(r.result.Violations, fmt.Sprintf("instance %s ended by itself: %v", i.name, err))
		}
	}()
	return nil
}

// stop kills the processes that the run started and closes the fakes.
func (r *soakRun) stop() {
	for _, i := range r.instances {
		if i.ended != nil {
			r.signal(i, syscall.SIGKILL)
			<-i.ended
		}
		i.storeProxy.close()
	}
	for _, s := range r.httpServers {
		_ = s.Close()
	}
}

// client sends requests one after the other until ctx is done.
func (r *soakRun) client(ctx context.Context, random *rand.Rand, n int) {
	kinds := []string{"read", "book", "book", "draft", "reply"}
	client := &http.Client{Timeout: 8 * time.Second}
	for count := 0; ctx.Err() == nil; count++ {
		i := r.instances[random.IntN(len(r.instances))]
		id := fmt.Sprintf("c%d-%d", n, count)
		kind := kinds[random.IntN(len(kinds))]
		q := request{instance: i, sent: time.Now(), kind: kind, key: firstKey, repeatable: kind == "read" || kind == "reply"}
		if random.IntN(4) == 0 {
			q.key = secondKey
		}
		r.mu.Lock()
		q.faultFree = time.Since(i.lastFaultAt) > faultFreeTime && time.Since(r.storeLastFaultAt) > faultFreeTime
		r.mu.Unlock()
		body, status := r.send(client, i, kind, id, q.key)
		q.status = status
		r.mu.Lock()
		q.undisturbed = q.faultFree && i.lastFaultAt.Before(q.sent)
		r.requests[id] = q
		r.result.Sent++
		if status == http.StatusOK {
			r.result.Served++
			if problem := responseProblem(kind, id, body); problem != "" {
				r.result.Violations = append(r.result.Violations, problem)
			}
		}
		r.mu.Unlock()
		time.Sleep(clientPause)
	}
}

// send sends a request and returns the body and status of the response. The status
// is 0 if there is no complete response.
func (r *soakRun) send(client *http.Client, i *instance, kind, id, key string) (string, int) {
	q, err := http.NewRequest(http.MethodPost, "http://"+i.addresses["client"]+"/"+kind+"/"+id, strings.NewReader(id))
	if err != nil {
		return "", 0
	}
	q.Host = host
	q.Header.Set("X-Wasabiworks-Attempt-Id", id)
	q.Header.Set("X-Wasabiworks-Key", key)
	q.Header.Set("X-Wasabiworks-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := client.Do(q)
	if err != nil {
		return "", 0
	}
	defer response.Body.Close()
	r.recordLeavingNotice(i, response.Header)
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "", 0
	}
	return string(body), response.StatusCode
}

// responseProblem describes what is wrong with the body of a response with status
// 200. It is empty if the body is correct.
func responseProblem(kind, id, body string) string {
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
	return "wrong response to " + id + ": " + strconv.Quote(body)
}
