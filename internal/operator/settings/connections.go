package settings

import (
	"fmt"
	"syscall"
	"time"

	"wasabiworks.example/wasabiworks/internal/caller/connlimit"
)

// Connections holds the flags that bound the connections of clients, which both programs
// have.
type Connections struct {
	MaxConnections           int           `long:"max-connections" env:"WASABIWORKS_MAX_CONNECTIONS" value-name:"COUNT" default:"0" description:"open connections of clients, 16 to 1000000; 0 allows what memory and descriptors permit, and a larger value is lowered to that"`
	MaxConnectionsPerAddress int           `long:"max-connections-per-address" env:"WASABIWORKS_MAX_CONNECTIONS_PER_ADDRESS" value-name:"COUNT" default:"0" description:"open connections of clients from one IP address, 16 to 1000000; 0 sets no limit, because all clients may come through one balancer"`
	MaxHeadBytes             int64         `long:"max-head-bytes" env:"WASABIWORKS_MAX_HEAD_BYTES" value-name:"BYTES" default:"65536" description:"size of the head of a request, 4096 to 16777216; raised to max_header_bytes of the configuration"`
	MaxHeadLines             int           `long:"max-head-lines" env:"WASABIWORKS_MAX_HEAD_LINES" value-name:"COUNT" default:"5500" description:"lines of the head of a request, 100 to 1000000; raised to what fits into max_header_bytes of the configuration"`
	HeadTimeout              time.Duration `long:"head-timeout" env:"WASABIWORKS_HEAD_TIMEOUT" value-name:"DURATION" default:"10s" description:"time for the head of a request, 1s to 10m; raised to header_timeout_ms of the configuration"`
	IdleTimeout              time.Duration `long:"idle-timeout" env:"WASABIWORKS_IDLE_TIMEOUT" value-name:"DURATION" default:"2m" description:"time for which a connection may be idle between requests, 1s to 10m; raised to idle_timeout_ms of the configuration"`
	BodyStall                time.Duration `long:"body-stall" env:"WASABIWORKS_BODY_STALL" value-name:"DURATION" default:"30s" description:"time for which a client may send nothing of a request body, 1s to 10m"`
	WriteStall               time.Duration `long:"write-stall" env:"WASABIWORKS_WRITE_STALL" value-name:"DURATION" default:"20s" description:"time in which a client must take 4 KiB of a response (64 KiB over TLS) or what is left of it, 1s to 10m"`
}

// Bounds on the settings of connections.
const (
	minConnections, maxConnections = 16, 1_000_000
	minHeadBytes, maxHeadBytes     = 4 << 10, 16 << 20
	minHeadLines, maxHeadLines     = 100, 1_000_000
	minStall                       = time.Second
)

// Limits returns the limits of connections of clients.
func (s *Connections) Limits() connlimit.Limits {
	return connlimit.Limits{
		Connections: s.MaxConnections, ConnectionsPerAddress: s.MaxConnectionsPerAddress, HeadBytes: s.MaxHeadBytes, HeadLines: s.MaxHeadLines,
		HeadTimeout: s.HeadTimeout, IdleTimeout: s.IdleTimeout, BodyStall: s.BodyStall, WriteStall: s.WriteStall,
	}
}

// checkConnections adds the problems of the settings of connections.
func (c *checker) checkConnections(s *Connections) {
	c.checkCount("max-connections", s.MaxConnections, minConnections, maxConnections, true)
	c.checkCount("max-connections-per-address", s.MaxConnectionsPerAddress, minConnections, maxConnections, true)
	c.checkCount("max-head-bytes", int(s.MaxHeadBytes), minHeadBytes, maxHeadBytes, false)
	c.checkCount("max-head-lines", s.MaxHeadLines, minHeadLines, maxHeadLines, false)
	c.checkDuration("head-timeout", s.HeadTimeout, minStall, maxDuration)
	c.checkDuration("idle-timeout", s.IdleTimeout, minStall, maxDuration)
	c.checkDuration("body-stall", s.BodyStall, minStall, maxDuration)
	c.checkDuration("write-stall", s.WriteStall, minStall, maxDuration)
}

// checkCount adds a problem if n is out of range.
func (c *checker) checkCount(flag string, n, minimum, maximum int, orZero bool) {
	if n >= minimum && n <= maximum || orZero && n == 0 {
		return
	}
	allowed := fmt.Sprintf("%d to %d", minimum, maximum)
	if orZero {
		allowed = "0, or " + allowed
	}
	c.add(flag, fmt.Sprintf("%d is out of range", n), allowed)
}

// maxKnownDescriptors is the number of descriptors from which their limit is no limit in
// practice.
const maxKnownDescriptors = 1 << 24

// Descriptors returns the number of descriptors that the process may open (RLIMIT_NOFILE),
// or 0 if there is no limit or it is unknown.
func Descriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxKnownDescriptors {
		return 0
	}
	return int(limit.Cur)
}
