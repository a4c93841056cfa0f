package gateway

import (
	"math/rand/v2"
	"time"

	"wasabiworks.example/wasabiworks/internal/decide/reach"
	"wasabiworks.example/wasabiworks/internal/peer/peerpb"
	"wasabiworks.example/wasabiworks/internal/peer/proxy"
)

// newProxyClient returns the client that sends requests through other instances.
func (f *Instance) newProxyClient() (*proxy.Client, error) {
	return proxy.NewClient(proxy.ClientConfig{
		Instance: f.config.ID, Exchange: f.exchange, Candidates: f.sendPeers, Random: rand.IntN, Now: f.now, Registerer: f.registry, Log: f.config.Log,
	})
}

// sendPeers returns the live instances but this one.
func (f *Instance) sendPeers() (peers []reach.Peer) {
	for _, id := range f.members.Live("", time.Now()) {
		if m, ok := f.members.Member(id); ok && id != f.config.ID {
			peers = append(peers, reach.Peer{ID: id, Capacity: m.Capacity, IsLocal: m.FailureDomain == f.config.FailureDomain})
		}
	}
	return peers
}

// serveSend sends a request of another instance to a backend server.
func (f *Instance) serveSend(stream peerpb.Peer_SendServer) error {
	return proxy.Serve(stream, f.handler.SendForPeer)
}
