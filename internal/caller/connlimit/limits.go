package connlimit

import "time"

// Limits bounds the connections of a listener. A limit that is 0 does not apply.
type Limits struct {
	// Connections is the number of open connections, and ConnectionsPerAddress that of
	// connections from one IP address.
	Connections, ConnectionsPerAddress int
	// HeadBytes is the size of the request line and the header in bytes, and HeadLines
	// the number of their lines.
	HeadBytes int64
	HeadLines int
	// HeadTimeout is the time from the first byte of a head, or from the start of a
	// connection, to the end of the head.
	HeadTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle between two requests.
	IdleTimeout time.Duration
	// BodyStall is how long a client may send nothing of a body that is not complete, and
	// WriteStall how long it may take next to nothing of a response.
	BodyStall, WriteStall time.Duration
}

// minLineBytes is the size of the shortest header line: a name of one byte, a colon and a
// line feed.
const minLineBytes = 3

// Raised returns the limits, raised to a head of the given size and to the given times.
func (l Limits) Raised(headBytes int64, headTimeout, idleTimeout time.Duration) Limits {
	l.HeadBytes = raise(l.HeadBytes, headBytes)
	l.HeadLines = raise(l.HeadLines, int(headBytes/minLineBytes))
	l.HeadTimeout = raise(l.HeadTimeout, headTimeout)
	l.IdleTimeout = raise(l.IdleTimeout, idleTimeout)
	return l
}

// raise returns the larger of a limit and what it must allow; 0 stays without a limit.
func raise[T int | int64 | time.Duration](limit, least T) T {
	if limit == 0 {
		return 0
	}
	return max(limit, least)
}

// Within returns the limits with at most the given number of connections, or as they are if
// it is 0.
func (l Limits) Within(connections int) Limits {
	if l.Connections == 0 || connections > 0 && connections < l.Connections {
		l.Connections = connections
	}
	return l
}

// Control returns the limits of a listener for probes and operators, whose clients send
// heads like others but need few connections, and no request or response of which takes
// longer than the timeout.
func Control(clients Limits, connections int, timeout time.Duration) Limits {
	return Limits{
		Connections: connections, HeadBytes: clients.HeadBytes, HeadLines: clients.HeadLines,
		HeadTimeout: timeout, IdleTimeout: clients.IdleTimeout, BodyStall: timeout, WriteStall: timeout,
	}
}
