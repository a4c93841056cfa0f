package scaling

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"wasabiworks.example/wasabiworks/internal/bench/platform"
	"wasabiworks.example/wasabiworks/internal/decide/membership"
	"wasabiworks.example/wasabiworks/internal/operator/admin"
	"wasabiworks.example/wasabiworks/internal/platform/instances"
	"wasabiworks.example/wasabiworks/internal/platform/kv"
	platformclient "wasabiworks.example/wasabiworks/platform"
)

const (
	// domains is the number of failure domains. Domains 0 to 3 are in region 0,
	// domains 4 to 6 in region 1.
	domains = 7
	// stopTimeout bounds the graceful shutdown of a process.
	stopTimeout = 10 * time.Second
	// waitTimeout bounds the start of a process in a fleet of the target size
	// and of the backend servers, the wait for a catalogue revision, a pull of
	// the catalogue and the reading of request headers.
	waitTimeout = 30 * time.Second
)

func domainName(i int) string { return fmt.Sprintf("domain-%d", i%domains) }

func regionName(domain int) string { return fmt.Sprintf("region-%d", domain%domains/4) }

// Shape is the size of the fleet around the measured process.
type Shape struct {
	Peers   int `json:"peers"`
	Workers int `json:"workers"`
	// Holder makes the measured process the holder of the store's watch in its
	// failure domain.
	Holder bool `json:"holder"`
	// Bare makes the light peers send digests without load reports, demand and
	// evidence.
	Bare bool `json:"bare"`
}

// testbed holds the measured process and the simulated fleet around it.
type testbed struct {
	shape    Shape
	counters *counters
	platform *platform.Server
	address  string // of the platform
	store    *kv.Client
	peers    *peers
	servers  []*http.Server
	serving  errgroup.Group

	self         instances.Instance
	process      *exec.Cmd
	log          *os.File
	statusClient *http.Client
	backends     []*exec.Cmd
}

// newTestbed starts the platform fake, the light peers and the light workers.
// The caller must call stop even if newTestbed returns an error.
func newTestbed(ctx context.Context, shape Shape) (*testbed, error) {
	t := &testbed{
		shape: shape, counters: newCounters(), platform: platform.New(platform.Config{}),
		statusClient: &http.Client{Timeout: 5 * time.Second},
	}
	t.self = instances.Instance{ID: selfID(shape), FailureDomain: domainName(0), Region: regionName(0)}
	var err error
	if t.address, err = t.serve("platform", countTraffic(t.counters, t.platform)); err != nil {
		return t, err
	}
	t.store = kv.New(platformclient.NewStore(t.address))
	workers, err := t.serve("workers", http.HandlerFunc(serveLoadReport))
	if err != nil {
		return t, err
	}
	if t.peers, err = newPeers(shape, t.self.ID, t.counters); err != nil {
		return t, err
	}
	list := instances.New(instances.Config{Address: t.address})
	for _, p := range t.peers.all {
		if err := list.Register(ctx, p.instance()); err != nil {
			return t, err
		}
	}
	for i := range shape.Workers {
		if err := list.Register(ctx, newWorker(i, workers)); err != nil {
			return t, err
		}
	}
	return t, nil
}

// serve serves h on a free loopback port and counts the bytes of its connections
// under name.
func (t *testbed) serve(name string, h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: waitTimeout}
	t.servers = append(t.servers, s)
	t.serving.Go(func() error { return s.Serve(countingListener{l, t.counters, name}) })
	return l.Addr().String(), nil
}

// selfID returns an ID that makes the measured process the holder of the watch if
// and only if shape.Holder is set. It tries IDs until the rendezvous hash of domain
// 0 selects the right holder. Without peers in its domain, the process is always
// the holder.
func selfID(shape Shape) string {
	for i := 0; ; i++ {
		id := fmt.Sprintf("entry-self-%d", i)
		ids := []string{id}
		for p := range shape.Peers {
			if peerDomain(p) == 0 {
				ids = append(ids, peerID(p))
			}
		}
		if (membership.Owner(xxhash.Sum64String("watch"), ids) == id) == (shape.Holder || len(ids) == 1) {
			return id
		}
	}
}

// start starts the measured process and waits until it is ready and knows all
// members and backend servers. The output of the process goes to the file
// name.log in the directory logs.
func (t *testbed) start(ctx context.Context, binaries, logs, name string) (err error) {
	if t.log, err = os.Create(filepath.Join(logs, name+".log")); err != nil {
		return err
	}
	if t.process, err = t.launch(binaries, "wasabiworks", "serve", "--instance", t.self.ID,
		"--region", t.self.Region, "--failure-domain", t.self.FailureDomain, "--platform", t.address,
		"--client-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0", "--operations-address", "127.0.0.1:0"); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	if err := poll(ctx, 100*time.Millisecond, t.connectPeers); err != nil {
		return err
	}
	return poll(ctx, 100*time.Millisecond, t.checkFleet)
}

// connectPeers takes the addresses of the measured process from the instance list
// and connects the light peers to it. It fails until the process has registered.
func (t *testbed) connectPeers(ctx context.Context) error {
	list, err := instances.New(instances.Config{Address: t.address}).List(ctx)
	if err != nil {
		return err
	}
	for _, in := range list {
		if in.ID == t.self.ID {
			t.self = in
			return t.peers.connect(in.PeerAddress)
		}
	}
	return errors.New("measured process has not registered")
}

// checkFleet returns an error until the process is ready and knows all members
// and backend servers.
func (t *testbed) checkFleet(ctx context.Context) error {
	s, err := t.readStatus(ctx)
	if err != nil {
		return err
	}
	live := 0
	for _, m := range s.Members {
		if m.State == "live" {
			live++
		}
	}
	if !s.Ready || live < t.shape.Peers+1 || len(s.Backends) < t.shape.Workers {
		return fmt.Errorf("measured process is not ready or does not know the whole fleet: ready %v, %d live members, %d backend servers", s.Ready, live, len(s.Backends))
	}
	return nil
}

// readStatus reads the status of the measured process from its operations address.
func (t *testbed) readStatus(ctx context.Context) (s admin.Status, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.self.OperationsAddress+"/status", nil)
	if err != nil {
		return s, err
	}
	p, err := t.statusClient.Do(r)
	if err != nil {
		return s, err
	}
	defer p.Body.Close()
	return s, json.NewDecoder(p.Body).Decode(&s)
}

// launch starts a program from the directory binaries. Its output goes to the log
// of the testbed.
func (t *testbed) launch(binaries, program string, args ...string) (*exec.Cmd, error) {
	cmd := exec.Command(filepath.Join(binaries, program), args...)
	cmd.Stdout, cmd.Stderr = t.log, t.log
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", program, err)
	}
	return cmd, nil
}

// stop ends the processes that the testbed started, then its servers.
func (t *testbed) stop() error {
	var errs []error
	if t.process != nil {
		errs = append(errs, terminate(t.process))
	}
	for _, cmd := range t.backends {
		errs = append(errs, terminate(cmd))
	}
	if t.peers != nil {
		errs = append(errs, t.peers.stop())
	}
	t.platform.Close()
	for _, s := range t.servers {
		errs = append(errs, s.Close())
	}
	if err := t.serving.Wait(); !errors.Is(err, http.ErrServerClosed) {
		errs = append(errs, err)
	}
	t.statusClient.CloseIdleConnections()
	if t.log != nil {
		errs = append(errs, t.log.Close())
	}
	return errors.Join(errs...)
}

// terminate sends SIGTERM to a process and kills it if it has not exited within
// stopTimeout.
func terminate(cmd *exec.Cmd) error {
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	timer := time.AfterFunc(stopTimeout, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	return cmd.Wait()
}

// poll calls check, waiting pause between calls, until it succeeds or ctx is done.
func poll(ctx context.Context, pause time.Duration, check func(context.Context) error) error {
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("stopped waiting for the measured process: %w", err)
		case <-time.After(pause):
		}
	}
}
