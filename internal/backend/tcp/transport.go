package tcp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// Config configures a transport; zero values have defaults.
type Config struct {
	// DialTimeout bounds connecting, 1 s by default.
	DialTimeout time.Duration
	// ResponseTimeout bounds the wait for response headers; 0 is no bound.
	ResponseTimeout time.Duration
	// IdlePerServer is the number of idle connections kept per backend
	// server, 64 by default.
	IdlePerServer int
	// IdleTimeout is how long an idle connection is kept, 30 s by default.
	IdleTimeout time.Duration
	// Fresh makes a connection for each request. net/http repeats a request
	// with an Idempotency-Key header by itself if a reused connection breaks;
	// it never does so on a fresh one.
	Fresh bool
}

// NewTransport returns a transport whose requests Sent can observe. It uses
// no proxy, no compression and HTTP/1.1 only.
func NewTransport(c Config) *http.Transport {
	if c.DialTimeout == 0 {
		c.DialTimeout = time.Second
	}
	if c.IdlePerServer == 0 {
		c.IdlePerServer = 64
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = 30 * time.Second
	}
	dialer := &net.Dialer{Timeout: c.DialTimeout, KeepAlive: 15 * time.Second}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			nc, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if t, ok := nc.(*net.TCPConn); ok {
				// What a partition holds up must not arrive after its request was
				// given up: closing resets the connection and drops its bytes.
				if err := t.SetLinger(0); err != nil {
					return nil, errors.Join(err, nc.Close())
				}
			}
			return &conn{Conn: nc}, nil
		},
		DisableCompression:     true,
		DisableKeepAlives:      c.Fresh,
		MaxIdleConnsPerHost:    c.IdlePerServer,
		IdleConnTimeout:        c.IdleTimeout,
		ResponseHeaderTimeout:  c.ResponseTimeout,
		MaxResponseHeaderBytes: 64 << 10,
		WriteBufferSize:        16 << 10,
		ReadBufferSize:         16 << 10,
	}
}
