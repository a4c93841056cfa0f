package tcp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// Config configures a transport. Zero values select the defaults.
type Config struct {
	// DialTimeout is the timeout for connecting, 1 s by default.
	DialTimeout time.Duration
	// ResponseTimeout is the timeout for the response headers; 0 means none.
	ResponseTimeout time.Duration
	// MaxIdlePerServer is the maximum number of idle connections per backend
	// server, 64 by default.
	MaxIdlePerServer int
	// IdleTimeout is how long an idle connection is kept, 30 s by default.
	IdleTimeout time.Duration
	// NewConnPerRequest disables connection reuse. net/http resends a request
	// with an Idempotency-Key header by itself if a reused connection breaks,
	// but never if a new one does.
	NewConnPerRequest bool
}

// NewTransport returns a transport whose requests SendTrace can observe. It uses
// HTTP/1.1 without proxies and compression.
func NewTransport(c Config) *http.Transport {
	if c.DialTimeout == 0 {
		c.DialTimeout = time.Second
	}
	if c.MaxIdlePerServer == 0 {
		c.MaxIdlePerServer = 64
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
				// Bytes that a network partition delays must not arrive after their
				// request was abandoned. With a linger time of 0, closing resets the
				// connection and discards them.
				if err := t.SetLinger(0); err != nil {
					return nil, errors.Join(err, nc.Close())
				}
			}
			return newConn(nc), nil
		},
		DisableCompression:     true,
		DisableKeepAlives:      c.NewConnPerRequest,
		MaxIdleConnsPerHost:    c.MaxIdlePerServer,
		IdleConnTimeout:        c.IdleTimeout,
		ResponseHeaderTimeout:  c.ResponseTimeout,
		MaxResponseHeaderBytes: 64 << 10,
		WriteBufferSize:        16 << 10,
		ReadBufferSize:         16 << 10,
	}
}
