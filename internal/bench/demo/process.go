package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// Process is a started program whose output is written to a log file.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *os.File
	// ended is closed when the program has ended. err is its result and must be
	// read only after that.
	ended chan struct{}
	err   error
}

// startProcess starts a program from the directory binaries. If the log file of
// an earlier process with the same name exists, output is appended to it.
func startProcess(binaries, logs, name, program string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(logs, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open the log file of %s: %w", name, err)
	}
	cmd := exec.Command(filepath.Join(binaries, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, errors.Join(err, log.Close()))
	}
	p := &Process{Name: name, cmd: cmd, log: log, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		p.err = errors.Join(cmd.Wait(), log.Close())
	}()
	return p, nil
}

// Signal sends a signal. It returns nil if the process has already ended.
func (p *Process) Signal(s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %s: %w", p.Name, err)
	}
	return nil
}

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} {
	return p.ended
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// Stop sends SIGTERM and waits for the process until deadline, then kills it.
// It returns an error unless the process exited with status 0.
func (p *Process) Stop(deadline time.Time) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-p.ended:
		if p.err != nil {
			return fmt.Errorf("%s: %w", p.Name, p.err)
		}
		return nil
	case <-timer.C:
		p.Kill()
		return fmt.Errorf("%s did not stop in time", p.Name)
	}
}

// RunProgram runs a program until it exits and returns its standard output and
// standard error.
func RunProgram(ctx context.Context, binaries, program string, args ...string) (string, error) {
	out, err := exec.CommandContext(ctx, filepath.Join(binaries, program), args...).CombinedOutput()
	if err != nil {
		return string(out), fmt.Errorf("%s %v: %w: %s", program, args, err, out)
	}
	return string(out), nil
}

// Ports are chosen below the default range of ephemeral ports. Otherwise an
// outgoing connection could take a port between its choice and its use.
const (
	firstPort = 12000
	portCount = 20000
	portTries = 1000
)

// nextPort starts at a random value, so that several programs on one machine
// rarely try the same ports.
var nextPort = func() *atomic.Uint32 {
	n := new(atomic.Uint32)
	n.Store(rand.Uint32N(portCount))
	return n
}()

// freeAddress returns a loopback address whose port was free when it was checked.
// Within a process, it does not return the same address again until all ports
// have been tried.
func freeAddress() (string, error) {
	var last error
	for range portTries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		l, err := net.Listen("tcp", address)
		if err != nil {
			last = err
			continue
		}
		return address, l.Close()
	}
	return "", fmt.Errorf("find a free port: %w", last)
}

// awaitOK polls url until it responds with status 200 or ctx is done.
func awaitOK(ctx context.Context, url string) error {
	return Poll(ctx, func() error {
		_, err := Fetch(ctx, url)
		return err
	})
}

// Poll calls check every 50 ms until it returns nil or ctx is done.
func Poll(ctx context.Context, check func() error) error {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	last := errors.New("no response yet")
	for {
		err := check()
		if err == nil {
			return nil
		}
		if ctx.Err() == nil {
			last = err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("timed out: %w", last)
		case <-tick.C:
		}
	}
}

// Fetch gets url and returns the response body, of at most 64 MiB. It returns an
// error if the status is not 200.
func Fetch(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, 64<<20))
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: status %d", url, res.StatusCode)
	}
	return body, nil
}
