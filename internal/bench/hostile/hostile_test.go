package hostile

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against clients that make an instance of wasabiworks forward end, exceed its
// memory or its descriptors, or leave ordinary requests without an answer.
func TestForward(t *testing.T) {
	for _, c := range attacks() {
		t.Run(c.name, func(t *testing.T) {
			s := startForward(t)
			c.play(t, s)
			await(t, "ordinary request after the attack", s.ordinary)
			s.checkBounds(t)
		})
	}
}

// Guards against clients of wasabiworks forward that take the slots of the backend servers
// with streams that they do not read.
func TestForwardUnreadStreams(t *testing.T) {
	s := startForward(t)
	play(t, s.clients, manyClients, sendAll(s.streamHead+"Content-Length: 0\r\n\r\n"))
	await(t, "ordinary stream after the attack", s.shortStream)
	s.checkBounds(t)
}

// Guards against clients that make an instance of wasabiworks serve end, exceed its memory
// or its descriptors, or leave ordinary requests without an answer.
func TestServe(t *testing.T) {
	for _, c := range attacks() {
		t.Run(c.name, func(t *testing.T) {
			s := startServe(t)
			c.play(t, s)
			await(t, "ordinary request after the attack", s.booking)
			s.checkBounds(t)
		})
	}
}

// Guards against clients of wasabiworks serve that take the slots of the engines with
// streams that they do not read.
func TestServeUnreadStreams(t *testing.T) {
	s := startServe(t)
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":1000000,"prompt":%q}`, languageEntry, strings.Repeat("tiger ", 1000))
	play(t, s.clients, manyClients, sendAll(s.streamHead+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)))
	await(t, "ordinary completion after the attack", s.completion)
	s.checkBounds(t)
}
