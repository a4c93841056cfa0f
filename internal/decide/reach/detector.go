package reach

import (
	"sync"
	"time"
)

const (
	// failedServers is the number of servers to which no connection could be made, one after
	// the other and with none made in between, from which on the instance may be the cause.
	failedServers = 2
	// failureWindow is how long such a failure counts.
	failureWindow = 2 * time.Second
	// Silence is how long nothing may arrive from any server while requests wait for
	// responses. A single server may be silent for longer.
	Silence = 500 * time.Millisecond
	// probePause is the time between two rounds of probes while the instance is partitioned,
	// and soundPause that after a round that showed that it is not.
	probePause = 400 * time.Millisecond
	soundPause = 2 * time.Second
	// Probes is the number of servers to which a round of probes connects.
	Probes = 3
)

// Detector tells whether the instance is partitioned from all servers. The zero value takes
// it for connected. It is safe for concurrent use.
type Detector struct {
	mu          sync.Mutex
	partitioned bool
	// failed holds when connecting to servers failed, by server, since connectedAt.
	failed       map[string]time.Time
	connectedAt  time.Time
	lastReceived time.Time
	probing      bool
	nextProbe    time.Time
}

// Partitioned reports whether the instance reaches no server.
func (d *Detector) Partitioned() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.partitioned
}

// Connected records that a connection to a server was made.
func (d *Detector) Connected(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.connectedAt = now
	clear(d.failed)
}

// Received records that a server has sent something.
func (d *Detector) Received(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.After(d.lastReceived) {
		d.lastReceived = now
	}
}

// ConnectFailed records that a connection to a server, begun at start, could not be made. It
// reports whether to probe other servers: several have failed, or none has sent anything since.
func (d *Detector) ConnectFailed(server string, start, now time.Time) (probe bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if start.Before(d.connectedAt) {
		return false
	}
	if d.failed == nil {
		d.failed = make(map[string]time.Time)
	}
	for s, at := range d.failed {
		if now.Sub(at) > failureWindow {
			delete(d.failed, s)
		}
	}
	d.failed[server] = now
	return len(d.failed) >= failedServers || d.lastReceived.Before(start)
}

// Waiting records that requests have waited for responses since a time, and reports whether to
// probe servers: none has sent anything for Silence.
func (d *Detector) Waiting(since, now time.Time) (probe bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if since.Before(d.lastReceived) {
		since = d.lastReceived
	}
	return now.Sub(since) >= Silence
}

// BeginProbe reports whether a round of probes may begin at now. EndProbe must follow.
func (d *Detector) BeginProbe(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.probing || now.Before(d.nextProbe) {
		return false
	}
	d.probing = true
	return true
}

// EndProbe records the result of a round of probes: the numbers of servers that were probed
// and of those that accepted a connection. The instance is partitioned if none did, and
// connected again once half of them do. It reports whether that has changed.
func (d *Detector) EndProbe(probed, connected int, now time.Time) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.probing = false
	before := d.partitioned
	switch {
	case probed == 0:
	case connected == 0:
		d.partitioned = true
	case 2*connected >= probed:
		d.partitioned, d.connectedAt = false, now
		clear(d.failed)
	}
	d.nextProbe = now.Add(soundPause)
	if d.partitioned {
		d.nextProbe = now.Add(probePause)
	}
	return d.partitioned != before
}
