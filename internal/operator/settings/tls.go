package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// TLS returns the configurations for clients and for peers, or nil for both
// if no certificate is set. The one for peers serves both ends of a
// connection and requires a certificate that --peer-ca signs. A certificate
// that is replaced on disk is used for new connections without a restart; the
// authorities are read once.
func (s *Settings) TLS() (client, peer *tls.Config, err error) {
	if s.Certificate == "" {
		return nil, nil, nil
	}
	own := &certificate{file: s.Certificate, key: s.Key}
	if _, err := own.current(); err != nil {
		return nil, nil, fmt.Errorf("load certificate: %w", err)
	}
	data, err := os.ReadFile(s.PeerCA)
	if err != nil {
		return nil, nil, fmt.Errorf("load peer authorities: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(data) {
		return nil, nil, errors.New("load peer authorities: no certificate in the file")
	}
	client = &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: own.server}
	peer = &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetCertificate:       own.server,
		GetClientCertificate: own.client,
		ClientCAs:            authorities,
		ClientAuth:           tls.RequireAndVerifyClientCert,
		RootCAs:              authorities,
	}
	return client, peer, nil
}

// certificate is a certificate and its key on disk. Its methods are safe for
// concurrent use.
type certificate struct {
	file, key string

	mu     sync.Mutex
	pair   *tls.Certificate
	loaded time.Time // modification time of file when pair was loaded
}

// current returns the certificate on disk. If it cannot be read, for instance
// because it is being replaced, the one that was read last stays in use.
func (c *certificate) current() (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	info, err := os.Stat(c.file)
	if err == nil && c.pair != nil && info.ModTime().Equal(c.loaded) {
		return c.pair, nil
	}
	if err == nil {
		var pair tls.Certificate
		if pair, err = tls.LoadX509KeyPair(c.file, c.key); err == nil {
			c.pair, c.loaded = &pair, info.ModTime()
		}
	}
	if c.pair == nil {
		return nil, err
	}
	return c.pair, nil
}

func (c *certificate) server(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.current() }

func (c *certificate) client(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return c.current()
}
