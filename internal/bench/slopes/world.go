package slopes

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
	wire "wasabiworks.example/wasabiworks/platform"
)

const (
	domains = 7
	// stopTime bounds the planned shutdown of a process.
	stopTime = 10 * time.Second
	// readyTime bounds the start of a process in a full fleet.
	readyTime = 30 * time.Second
)

func domainName(i int) string { return fmt.Sprintf("domain-%d", i%domains) }

func regionName(domain int) string { return fmt.Sprintf("region-%d", domain%domains/4) }

// Shape is the size of the fleet around the measured process.
type Shape struct {
	Peers   int `json:"peers"`
	Workers int `json:"workers"`
	// Holder makes the process the one of its failure domain that holds the
	// store's watch.
	Holder bool `json:"holder"`
	// Bare makes the light peers send nothing but the head of a digest.
	Bare bool `json:"bare"`
}

// world is what surrounds the measured process, and the process itself.
type world struct {
	shape    Shape
	counters *counters
	platform *platform.Server
	address  string // of the platform
	store    *kv.Client
	peers    *peers
	http     []*http.Server
	serving  errgroup.Group

	self    instances.Instance
	process *exec.Cmd
	log     *os.File
	status  *http.Client
	others  []*exec.Cmd
}

// newWorld starts the platform fake, the light peers and the light workers.
func newWorld(ctx context.Context, shape Shape) (*world, error) {
	w := &world{
		shape: shape, counters: newCounters(), platform: platform.New(platform.Config{}),
		status: &http.Client{Timeout: 5 * time.Second},
	}
	w.self = instances.Instance{ID: selfID(shape), FailureDomain: domainName(0), Region: regionName(0)}
	var err error
	if w.address, err = w.serve("platform", bodies(w.counters, w.platform)); err != nil {
		return w, err
	}
	w.store = kv.New(wire.NewStore(w.address))
	workers, err := w.serve("workers", http.HandlerFunc(report))
	if err != nil {
		return w, err
	}
	if w.peers, err = newPeers(shape, w.self.ID, w.counters); err != nil {
		return w, err
	}
	list := instances.New(instances.Config{Address: w.address})
	for _, p := range w.peers.all {
		if err := list.Register(ctx, p.listed()); err != nil {
			return w, err
		}
	}
	for i := range shape.Workers {
		if err := list.Register(ctx, newWorker(i, workers)); err != nil {
			return w, err
		}
	}
	return w, nil
}

// serve serves h on a free loopback port.
func (w *world) serve(name string, h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readyTime}
	w.http = append(w.http, s)
	w.serving.Go(func() error { return s.Serve(listener{l, w.counters, name}) })
	return l.Addr().String(), nil
}

// selfID returns an ID with which the process is, or is not, the holder of the
// watch among the members of its failure domain.
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

// start starts the measured process and waits until it knows the fleet.
func (w *world) start(ctx context.Context, binaries, logs, name string) (err error) {
	if w.log, err = os.Create(filepath.Join(logs, name+".log")); err != nil {
		return err
	}
	if w.process, err = w.launch(binaries, "wasabiworks", "serve", "--instance", w.self.ID,
		"--region", w.self.Region, "--failure-domain", w.self.FailureDomain, "--platform", w.address,
		"--client-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0", "--operations-address", "127.0.0.1:0"); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	if err := poll(ctx, 100*time.Millisecond, w.registered); err != nil {
		return err
	}
	return poll(ctx, 100*time.Millisecond, w.complete)
}

// registered reports an error until the process is on the instance list, from
// which its addresses are taken.
func (w *world) registered(ctx context.Context) error {
	list, err := instances.New(instances.Config{Address: w.address}).List(ctx)
	if err != nil {
		return err
	}
	for _, in := range list {
		if in.ID == w.self.ID {
			w.self = in
			return w.peers.connect(in.PeerAddress)
		}
	}
	return errors.New("process has not registered")
}

// complete reports what is missing until the process knows the fleet.
func (w *world) complete(ctx context.Context) error {
	s, err := w.read(ctx)
	if err != nil {
		return err
	}
	live := 0
	for _, m := range s.Members {
		if m.State == "live" {
			live++
		}
	}
	if !s.Ready || live < w.shape.Peers+1 || len(s.Backends) < w.shape.Workers {
		return fmt.Errorf("ready is %v with %d members and %d backend servers", s.Ready, live, len(s.Backends))
	}
	return nil
}

// read returns the status of the process.
func (w *world) read(ctx context.Context) (s admin.Status, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.self.OperationsAddress+"/status", nil)
	if err != nil {
		return s, err
	}
	p, err := w.status.Do(r)
	if err != nil {
		return s, err
	}
	defer p.Body.Close()
	return s, json.NewDecoder(p.Body).Decode(&s)
}

// launch starts a program of this project.
func (w *world) launch(binaries, program string, args ...string) (*exec.Cmd, error) {
	cmd := exec.Command(filepath.Join(binaries, program), args...)
	cmd.Stdout, cmd.Stderr = w.log, w.log
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", program, err)
	}
	return cmd, nil
}

// stop ends the processes that the world started, then the servers.
func (w *world) stop() error {
	var errs []error
	if w.process != nil {
		errs = append(errs, end(w.process))
	}
	for _, cmd := range w.others {
		errs = append(errs, end(cmd))
	}
	if w.peers != nil {
		errs = append(errs, w.peers.stop())
	}
	w.platform.Close()
	for _, s := range w.http {
		errs = append(errs, s.Close())
	}
	if err := w.serving.Wait(); !errors.Is(err, http.ErrServerClosed) {
		errs = append(errs, err)
	}
	w.status.CloseIdleConnections()
	if w.log != nil {
		errs = append(errs, w.log.Close())
	}
	return errors.Join(errs...)
}

// end ends one process, gracefully if it does so in time.
func end(cmd *exec.Cmd) error {
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	timer := time.AfterFunc(stopTime, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	return cmd.Wait()
}

// poll calls check until it succeeds or ctx ends.
func poll(ctx context.Context, pause time.Duration, check func(context.Context) error) error {
	for {
		err := check(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("timed out: %w", err)
		case <-time.After(pause):
		}
	}
}
