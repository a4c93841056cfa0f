package instance

import (
	"cmp"
	"time"

	"wasabiworks.example/wasabiworks/internal/caller/connlimit"
	"wasabiworks.example/wasabiworks/internal/caller/reply"
	"wasabiworks.example/wasabiworks/internal/decide/limit"
)

const (
	// defaultMemoryBytes is the memory for requests, and that for the texts of the
	// responses that are being generated, if the memory of the instance is unknown.
	defaultMemoryBytes = 128 << 20
	// controlTimeout bounds the time for a request and a response at the listener for
	// operations.
	controlTimeout = 10 * time.Second
)

// connectionGroups bounds what the connections of each listener hold.
type connectionGroups struct {
	clients, operations, peers *connlimit.Group
	// requests is the memory for heads and bodies of requests, and responses that for the
	// texts of responses.
	requests, responses *limit.Memory
}

// initConnections divides the memory and the descriptors of the instance.
func (i *Instance) initConnections() error {
	c := &i.config
	shares := limit.Resources{MemoryBytes: c.MemoryBytes, Descriptors: c.Descriptors}.Shares()
	memory := func(share int64) *limit.Memory {
		return limit.NewMemory(limit.MemoryConfig{Bytes: max(cmp.Or(share, defaultMemoryBytes), reply.MaxBodyMemory)})
	}
	requests := memory(shares.RequestBytes)
	report, err := connlimit.NewReport(connlimit.ReportConfig{Registerer: i.registry, Log: c.Log, Now: i.now})
	if err != nil {
		return err
	}
	group := func(listener string, l connlimit.Limits) *connlimit.Group {
		return connlimit.New(connlimit.Config{Limits: func() connlimit.Limits { return l }, Memory: requests, Report: report, Listener: listener})
	}
	clients := c.Connections.Within(shares.ClientConnections)
	i.connections = connectionGroups{
		clients:    group("clients", clients),
		operations: group("operations", connlimit.Control(clients, shares.ControlConnections, controlTimeout)),
		peers:      group("peers", connlimit.Limits{Connections: shares.PeerConnections}),
		requests:   requests, responses: memory(shares.ResponseBytes),
	}
	return nil
}
