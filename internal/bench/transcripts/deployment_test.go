package transcripts

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"wasabiworks.example/wasabiworks/internal/bench/engine"
	"wasabiworks.example/wasabiworks/internal/bench/platform"
	"wasabiworks.example/wasabiworks/internal/bench/service"
	"wasabiworks.example/wasabiworks/internal/entry/instance"
	"wasabiworks.example/wasabiworks/internal/operator/admin"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
	"wasabiworks.example/wasabiworks/internal/platform/kv"
	wire "wasabiworks.example/wasabiworks/platform"
)

const (
	region        = "morava"
	failureDomain = "brno-a"
	languageEntry = "stetec-ai"
	serviceEntry  = "kalendar-app"
	oldVersion    = "2026-11"
	newVersion    = "2026-12"
	entryCount    = 2
	engineCount   = 2
	// waitTimeout limits the wait for a condition. It is far longer than any
	// condition needs, so that tests do not fail on a busy machine.
	waitTimeout  = time.Minute
	pollInterval = 20 * time.Millisecond
)

// engineServer is a fake engine whose HTTP server can be made to crash.
type engineServer struct {
	*engine.Server
	http *httptest.Server
	// inFlight is the number of /generate requests in progress.
	inFlight atomic.Int64
	crashed  bool
}

func (e *engineServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost && r.URL.Path == "/generate" {
		e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
	}
	e.Server.ServeHTTP(w, r)
}

// crash closes the listener and all open connections, as the end of a process
// does.
func (e *engineServer) crash() {
	e.crashed = true
	_ = e.http.Listener.Close() // the server closes it again at the end of the test, which is harmless
	e.http.CloseClientConnections()
}

// entryServer is a running entry instance.
type entryServer struct {
	id, clientAddress, operationsAddress string
}

// deployment is a platform fake with backend servers and entry instances.
type deployment struct {
	t               *testing.T
	platform        *platform.Server
	platformAddress string
	store           *admin.Client
	engines         []*engineServer
	service         *service.Server
	entries         []entryServer
	client          *http.Client
}

// startDeployment starts a deployment with a catalogue and waits until each entry
// instance has discovered the others and all backend servers.
func startDeployment(t *testing.T, catalogue string) *deployment {
	d := &deployment{t: t, platform: platform.New(platform.Config{}), service: service.New(service.Config{})}
	d.platformAddress = d.serve(d.platform)
	t.Cleanup(d.platform.Close)
	d.store = admin.New(admin.Config{Store: kv.New(wire.NewStore(d.platformAddress))})
	d.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	for i := range engineCount {
		e := &engineServer{Server: engine.New(engine.Config{Entry: languageEntry, Versions: []string{oldVersion, newVersion}, Exit: func() {}})}
		e.http = httptest.NewServer(e)
		t.Cleanup(e.http.Close)
		d.engines = append(d.engines, e)
		d.register(fmt.Sprintf("engine-%d", i), languageEntry, instances.KindLanguage, addressOf(e.http))
	}
	d.register("service-0", serviceEntry, instances.KindService, d.serve(d.service))
	if _, err := d.apply("Jana", catalogue); err != nil {
		t.Fatal(err)
	}
	for i := range entryCount {
		d.startEntry(fmt.Sprintf("entry-%d", i))
	}
	t.Cleanup(d.client.CloseIdleConnections)
	for _, e := range d.entries {
		d.eventually(e.id+" has discovered the deployment", func() bool { return d.hasDiscoveredAll(e) })
	}
	return d
}

func addressOf(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// serve starts an HTTP server for a handler, which is closed at the end of the
// test, and returns its address.
func (d *deployment) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	d.t.Cleanup(s.Close)
	return addressOf(s)
}

func (d *deployment) register(id, entry, kind, address string) {
	d.t.Helper()
	err := instances.New(instances.Config{Address: d.platformAddress}).Register(d.t.Context(), instances.Instance{
		ID: id, Role: instances.RoleBackend, Entry: entry, Kind: kind, Region: region, FailureDomain: failureDomain,
		Address: address, State: instances.StateLive, Price: 1,
	})
	if err != nil {
		d.t.Fatal(err)
	}
}

// startEntry starts an entry instance. At the end of the test, the instance is
// shut down and must return no error.
func (d *deployment) startEntry(id string) {
	d.t.Helper()
	var listeners [3]net.Listener
	for i := range listeners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			d.t.Fatal(err)
		}
		listeners[i] = l
	}
	in, err := instance.New(instance.Config{
		ID: id, Region: region, FailureDomain: failureDomain, Class: "small", Platform: d.platformAddress, Store: wire.NewStore(d.platformAddress),
		Client: listeners[0], Peer: listeners[1], Operations: listeners[2],
		DrainTimeout: time.Second, Log: zap.NewNop(),
	})
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- in.Run(ctx) }()
	d.t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			d.t.Errorf("%s: planned shutdown: %v", id, err)
		}
	})
	d.entries = append(d.entries, entryServer{id, listeners[0].Addr().String(), listeners[2].Addr().String()})
}

// eventually waits until a condition holds and fails the test after waitTimeout.
func (d *deployment) eventually(what string, holds func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			d.t.Fatalf("condition not met after %v: %s", waitTimeout, what)
		}
	}
}

// status returns the status of an entry instance, or an empty one if the request
// fails.
func (d *deployment) status(e entryServer) (s admin.Status) {
	r, err := d.client.Get("http://" + e.operationsAddress + "/status")
	if err != nil {
		return admin.Status{}
	}
	defer func() { _ = r.Body.Close() }()
	if json.NewDecoder(r.Body).Decode(&s) != nil {
		return admin.Status{}
	}
	return s
}

// hasDiscoveredAll reports whether an entry instance is ready, lists all entry
// instances as live, lists the plain service and has a load report of each engine.
func (d *deployment) hasDiscoveredAll(e entryServer) bool {
	s := d.status(e)
	live, reported := 0, 0
	for _, m := range s.Members {
		if m.State == "live" {
			live++
		}
	}
	for _, b := range s.Backends {
		if b.Entry == serviceEntry || b.Capacity > 0 {
			reported++
		}
	}
	return s.Ready && live == entryCount && reported == engineCount+1
}
