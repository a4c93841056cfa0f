package hostile

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// memoryMB is the memory setting of an instance, in millions of bytes: the least
	// that is accepted. VmHWM of the process must not exceed it.
	memoryMB = 64
	// descriptorLimit is RLIMIT_NOFILE of an instance, and descriptorReserve the part of
	// it that no client may take.
	descriptorLimit, descriptorReserve = 512, 100
	// waitTimeout bounds each wait of a test. No test takes that long unless it fails.
	waitTimeout = 20 * time.Second
	// writeStall is the setting for how long a client may take nothing of a response.
	writeStall = "1s"
)

// programs is the directory of the programs under test, which TestMain builds.
var programs string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	var err error
	if programs, err = os.MkdirTemp("", "hostile"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(programs)
	build := exec.Command("go", "build", "-o", programs+"/", "wasabiworks.example/wasabiworks/cmd/wasabiworks", "wasabiworks.example/wasabiworks/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a started program.
type process struct {
	cmd    *exec.Cmd
	output *lockedBuffer
	ended  chan struct{} // closed when the program has ended
}

// lockedBuffer keeps the first output of a program.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// maxOutput bounds a lockedBuffer, in bytes.
const maxOutput = 1 << 20

// Write implements io.Writer.
func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.b.Len() < maxOutput {
		l.b.Write(p)
	}
	return len(p), nil
}

// String returns the kept output.
func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// start starts a program and kills it at the end of the test. If limited, it has
// descriptorLimit and the memory setting of the tests. A program that does not know a
// variable of the environment ignores it.
func start(t *testing.T, limited bool, program string, args ...string) *process {
	t.Helper()
	p := &process{output: new(lockedBuffer), ended: make(chan struct{})}
	command := append([]string{filepath.Join(programs, program)}, args...)
	if limited {
		limit := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptorLimit)
		command = append([]string{"sh", "-c", limit}, command...)
	}
	p.cmd = exec.Command(command[0], command[1:]...)
	p.cmd.Env = append(os.Environ(), "WASABIWORKS_MEMORY_MB="+strconv.Itoa(memoryMB), "WASABIWORKS_WRITE_STALL="+writeStall)
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.ended)
		_ = p.cmd.Wait() // the tests look at whether the process lives, not at its status
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.ended
	})
	return p
}

// checkBounds checks that the process lives, and its memory and descriptors.
func (p *process) checkBounds(t *testing.T) {
	t.Helper()
	select {
	case <-p.ended:
		t.Fatalf("the process ended by itself:\n%s", p.output)
	default:
	}
	peak := p.peakMemory(t)
	if peak > memoryMB*1_000_000 {
		t.Errorf("VmHWM is %.1f MB, want at most %d MB, the memory setting", float64(peak)/1e6, memoryMB)
	}
	open := p.descriptors(t)
	if open > descriptorLimit-descriptorReserve {
		t.Errorf("%d descriptors are open, want at most %d of %d", open, descriptorLimit-descriptorReserve, descriptorLimit)
	}
	t.Logf("VmHWM %.1f MB, %d descriptors", float64(peak)/1e6, open)
}

// peakMemory returns VmHWM in bytes.
func (p *process) peakMemory(t *testing.T) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kib, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return kib << 10
		}
	}
	t.Fatalf("no VmHWM in %s", status)
	return 0
}

// descriptors returns the number of open descriptors.
func (p *process) descriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}

// await polls check until it returns nil.
func await(t *testing.T, what string, check func() error) {
	t.Helper()
	var err error
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if err = check(); err == nil {
			return
		}
	}
	t.Errorf("%s: %v", what, err)
}

// expectOK sends a GET request and returns an error unless the status is 200.
func expectOK(url string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	q.Close = true
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return errors.New(r.Status)
	}
	return nil
}

// Ports are chosen below the default range of ephemeral ports, so that no outgoing
// connection takes a port between its choice and its use.
const (
	firstPort = 12000
	portCount = 19000
)

// nextPort starts at a random value, so that processes on one machine rarely try the same.
var nextPort = func() *atomic.Int64 {
	n := new(atomic.Int64)
	n.Store(rand.Int64N(portCount))
	return n
}()

// freeAddress returns a loopback address whose port was free when it was checked.
func freeAddress(t *testing.T) string {
	t.Helper()
	var last error
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		l, err := net.Listen("tcp", address)
		if err == nil {
			_ = l.Close()
			return address
		}
		last = err
	}
	t.Fatal(last)
	return ""
}
