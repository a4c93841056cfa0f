package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// process is a started program; its output goes to a log file.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan error
}

// startProcess starts a program from the directory of binaries.
func startProcess(binaries, logs, name, program string, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(logs, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("log file of %s: %w", name, err)
	}
	cmd := exec.Command(filepath.Join(binaries, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, errors.Join(err, log.Close()))
	}
	p := &process{name: name, cmd: cmd, log: log, done: make(chan error, 1)}
	go func() { p.done <- cmd.Wait() }()
	return p, nil
}

// stop sends SIGTERM and waits for the process until deadline, then kills it.
// It returns an error unless the process exited with status 0.
func (p *process) stop(deadline time.Time) error {
	defer p.log.Close()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %s: %w", p.name, err)
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case err := <-p.done:
		if err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
		return nil
	case <-timer.C:
		_ = p.cmd.Process.Kill()
		<-p.done
		return fmt.Errorf("%s did not stop in time", p.name)
	}
}

// runProgram runs a program to its end and returns its output.
func runProgram(ctx context.Context, binaries, program string, args ...string) (string, error) {
	out, err := exec.CommandContext(ctx, filepath.Join(binaries, program), args...).CombinedOutput()
	if err != nil {
		return string(out), fmt.Errorf("%s %v: %w: %s", program, args, err, out)
	}
	return string(out), nil
}

// freeAddress returns a loopback address whose port was free a moment ago.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// waitFor polls url until it answers with status 200 or ctx ends.
func waitFor(ctx context.Context, url string) error {
	return poll(ctx, func() error {
		_, err := fetch(ctx, url)
		return err
	})
}

// poll calls check until it succeeds or ctx ends.
func poll(ctx context.Context, check func() error) error {
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

// fetch returns the body of url if its status is 200.
func fetch(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: status %d", url, res.StatusCode)
	}
	return body, nil
}
