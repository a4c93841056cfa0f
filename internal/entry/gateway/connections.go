package gateway

import (
	"cmp"
	"time"

	"wasabiworks.example/wasabiworks/internal/caller/connlimit"
	"wasabiworks.example/wasabiworks/internal/decide/limit"
)

const (
	// defaultRequestBytes is the memory for requests if that of the instance is unknown,
	// and minRequestBytes the least: one body of the usual maximum size.
	defaultRequestBytes, minRequestBytes = 32 << 20, 4 << 20
	// controlTimeout bounds the time for a request and a response at the listeners for
	// readiness and operations.
	controlTimeout = 10 * time.Second
)

// connectionGroups bounds what the connections of each listener hold.
type connectionGroups struct {
	clients, ready, operations, peers *connlimit.Group
	// shares are the parts of the memory and the descriptors, and requests the memory for
	// heads and bodies of requests.
	shares   limit.Shares
	requests *limit.Memory
}

// newConnectionGroups divides the memory and the descriptors of the instance.
func (f *Instance) newConnectionGroups() (connectionGroups, error) {
	c := &f.config
	d := connectionGroups{shares: limit.Resources{MemoryBytes: c.MemoryBytes, Descriptors: c.Descriptors}.Shares()}
	d.requests = limit.NewMemory(limit.MemoryConfig{Bytes: max(cmp.Or(d.shares.RequestBytes, defaultRequestBytes), minRequestBytes)})
	report, err := connlimit.NewReport(connlimit.ReportConfig{Registerer: f.registry, Log: c.Log, Now: f.now})
	if err != nil {
		return d, err
	}
	group := func(listener string, limits func() connlimit.Limits) *connlimit.Group {
		return connlimit.New(connlimit.Config{Limits: limits, Memory: d.requests, Report: report, Listener: listener})
	}
	clients := c.Connections.Within(d.shares.ClientConnections)
	control := connlimit.Control(clients, d.shares.ControlConnections, controlTimeout)
	d.clients = group("clients", func() connlimit.Limits { return f.raisedLimits(clients) })
	d.ready = group("ready", func() connlimit.Limits { return control })
	d.operations = group("operations", func() connlimit.Limits { return control })
	d.peers = group("peers", func() connlimit.Limits { return connlimit.Limits{Connections: d.shares.PeerConnections} })
	return d, nil
}

// raisedLimits returns the limits of connections of clients, raised to those that the
// configuration promises to clients.
func (f *Instance) raisedLimits(l connlimit.Limits) connlimit.Limits {
	t := f.currentTable()
	if t == nil {
		return l
	}
	return l.Raised(t.Limits.HeaderBytes, t.Limits.HeaderTimeout, t.Limits.IdleTimeout)
}
