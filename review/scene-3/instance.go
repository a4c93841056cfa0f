package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// program is what the deploy file builds and runs.
func program() string {
	if p := os.Getenv("PROGRAM"); p != "" {
		return p
	}
	return "target/wasabiworks"
}

// instance is a machine with a process of the system.
type instance struct {
	name, zone                      string
	client, ready, peer, operations string
	front                           *front
	cloud                           string
	logs                            string
	memoryMB                        int
	cmd                             *exec.Cmd
	done                            chan struct{}
	exits                           int
}

// freeAddress returns a free loopback address. Its port is below those that the system gives
// to outgoing connections, so that it stays free until it is used.
func freeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(20000))
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
	check(errors.New("no free port"))
	return ""
}

func newInstance(name, zone string, f *front, c, logs string) *instance {
	return &instance{
		name: name, zone: zone, client: freeAddress(), ready: freeAddress(), peer: freeAddress(), operations: freeAddress(),
		front: f, cloud: c, logs: logs, memoryMB: 284,
	}
}

// start starts the process with the command and the environment of the deploy file.
func (i *instance) start() {
	cmd := exec.Command(program(), "forward")
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"),
		"WASABIWORKS_INSTANCE=" + i.name, "WASABIWORKS_FAILURE_DOMAIN=" + i.zone,
		"WASABIWORKS_CLIENT_ADDRESS=" + i.client, "WASABIWORKS_READY_ADDRESS=" + i.ready,
		"WASABIWORKS_PEER_ADDRESS=" + i.peer, "WASABIWORKS_OPERATIONS_ADDRESS=" + i.operations,
		"WASABIWORKS_MEMORY_MB=" + strconv.Itoa(i.memoryMB), "WASABIWORKS_CORES=0.4",
		"WASABIWORKS_STORE=" + i.front.address, "WASABIWORKS_CLOUD=" + i.cloud,
		"WASABIWORKS_REVOKE_WITHIN=5000ms", "WASABIWORKS_DRAIN_NOTICE=7500ms", "WASABIWORKS_USAGE_WINDOW=5s",
		"WASABIWORKS_DUTIES=metering,autoscale", "WASABIWORKS_RETRY_RATIO=0.2", "WASABIWORKS_RETRY_SLACK=58",
		"WASABIWORKS_RETRY_WINDOW=10s", "WASABIWORKS_ALLOWANCE_SLACK=190000",
	}
	if g := os.Getenv("GOTRACEBACK"); g != "" {
		cmd.Env = append(cmd.Env, "GOTRACEBACK="+g)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := os.OpenFile(filepath.Join(i.logs, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	cmd.Stdout, cmd.Stderr = out, out
	check(cmd.Start())
	done := make(chan struct{})
	i.cmd, i.done = cmd, done
	go func() {
		_ = cmd.Wait()
		out.Close()
		i.exits++
		close(done)
	}()
}

func (i *instance) signal(s syscall.Signal) { _ = i.cmd.Process.Signal(s) }

// kill ends the process and waits until it has ended.
func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	<-i.done
}

func (i *instance) running() bool {
	select {
	case <-i.done:
		return false
	default:
		return true
	}
}

// memory returns the resident memory of the process and its peak, in MB.
func (i *instance) memory() (now, peak int) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		n, _ := strconv.Atoi(f[1])
		switch f[0] {
		case "VmRSS:":
			now = n / 1000
		case "VmHWM:":
			peak = n / 1000
		}
	}
	return now, peak
}

// awaitReady waits until the instance says that it is ready.
func (i *instance) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, _ := get("http://" + i.ready + "/-/readyz"); status == 200 {
			return true
		}
	}
	return false
}

// processorTime returns what the process has used, in clock ticks of 10 ms.
func (i *instance) processorTime() time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", i.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(data))
	user, _ := strconv.Atoi(f[13])
	system, _ := strconv.Atoi(f[14])
	return time.Duration(user+system) * 10 * time.Millisecond
}
