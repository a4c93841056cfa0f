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

// TLS returns the TLS configurations for clients and for peers, or nil for both
// if no certificate is set. The peer configuration is used on both ends of a
// connection and requires a certificate that an authority of --peer-ca signed. A
// certificate that is replaced on disk is used for new connections without a
// restart; the authorities are read only once.
func (s *Settings) TLS() (client, peer *tls.Config, err error) {
	if s.Certificate == "" {
		return nil, nil, nil
	}
	pair := &keyPair{certificateFile: s.Certificate, keyFile: s.Key}
	if _, err := pair.current(); err != nil {
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
	client = &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: pair.forServer}
	peer = &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetCertificate:       pair.forServer,
		GetClientCertificate: pair.forClient,
		ClientCAs:            authorities,
		ClientAuth:           tls.RequireAndVerifyClientCert,
		RootCAs:              authorities,
	}
	return client, peer, nil
}

// keyPair is a certificate and its key on disk, which are read again when the
// certificate file changes. Its methods are safe for concurrent use.
type keyPair struct {
	certificateFile, keyFile string

	mu       sync.Mutex
	pair     *tls.Certificate
	modified time.Time // modification time of certificateFile when pair was loaded
}

// current returns the certificate on disk. If it cannot be read, for example
// because it is being replaced, current returns the last one that was read.
func (c *keyPair) current() (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	info, err := os.Stat(c.certificateFile)
	if err == nil && c.pair != nil && info.ModTime().Equal(c.modified) {
		return c.pair, nil
	}
	if err == nil {
		var pair tls.Certificate
		if pair, err = tls.LoadX509KeyPair(c.certificateFile, c.keyFile); err == nil {
			c.pair, c.modified = &pair, info.ModTime()
		}
	}
	if c.pair == nil {
		return nil, err
	}
	return c.pair, nil
}

func (c *keyPair) forServer(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.current() }

func (c *keyPair) forClient(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return c.current()
}
