package main

import (
	"bytes"
	"io"
	"net"
	"strings"
	"sync"
)

// relay passes on the channels to the peer address of an entry instance, so that they can
// fall silent. It stands for the network between the machines.
type relay struct {
	address, target string

	mu       sync.Mutex
	silenced chan struct{} // closed when the open channels fall silent
}

// relayIP is the address of the relays. Instances prefer the greater one of two addresses of
// the same instance, so that those that they tell each other don't take the relay's place.
const relayIP = "127.0.0.9"

// addRelays puts a relay before each instance. The instances learn the addresses of each
// other from their entries in the store: the store gives the relay's in place of the own one,
// as a network that translates addresses would.
func (w *world) addRelays() (map[string]*relay, error) {
	relays := map[string]*relay{}
	for _, f := range w.fronts {
		l, err := net.Listen("tcp", relayIP+f.peer[strings.LastIndexByte(f.peer, ':'):])
		if err != nil {
			return nil, err
		}
		r := &relay{address: l.Addr().String(), target: f.peer, silenced: make(chan struct{})}
		relays[f.name] = r
		go r.serve(l)
	}
	w.store.translate = func(key string, val []byte) []byte {
		if r := relays[strings.TrimPrefix(key, "wasabiworks/instances/")]; r != nil {
			return bytes.ReplaceAll(val, []byte(`"`+r.target+`"`), []byte(`"`+r.address+`"`))
		}
		return val
	}
	return relays, nil
}

// silence makes the open channels fall silent for good, without a reset. New ones work.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.silenced)
	r.silenced = make(chan struct{})
}

func (r *relay) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go r.pass(c)
	}
}

func (r *relay) pass(c net.Conn) {
	d, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = c.Close()
		return
	}
	r.mu.Lock()
	silenced := r.silenced
	r.mu.Unlock()
	copyUntil := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			select {
			case <-silenced: // what comes is lost, an end too
				_, _ = io.Copy(io.Discard, from)
				select {}
			default:
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
	}
	go copyUntil(c, d)
	copyUntil(d, c)
}
