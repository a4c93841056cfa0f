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

// TLS returns the TLS configurations for the listener of client connections and
// for connections with peers, or nil for both if no certificate is set. The peer
// configuration is used on both ends of a connection and requires a certificate
// that an authority of --peer-ca signed. A certificate that is replaced on disk
// is used for new connections without a restart; the authorities are read only
// once.
func (s *Settings) TLS() (clientFacing, peer *tls.Config, err error) {
	if s.Certificate == "" {
		return nil, nil, nil
	}
	files := &keyPair{certificateFile: s.Certificate, keyFile: s.Key}
	if _, err := files.current(); err != nil {
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
	clientFacing = &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: files.getCertificate}
	peer = &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetCertificate:       files.getCertificate,
		GetClientCertificate: files.getClientCertificate,
		ClientCAs:            authorities,
		ClientAuth:           tls.RequireAndVerifyClientCert,
		RootCAs:              authorities,
	}
	return clientFacing, peer, nil
}

// keyPair is a certificate and its key on disk, which are read again when the
// certificate file changes. Its methods are safe for concurrent use.
type keyPair struct {
	certificateFile, keyFile string

	mu          sync.Mutex
	certificate *tls.Certificate
	modified    time.Time // modification time of certificateFile when certificate was loaded
}

// current returns the certificate on disk. If the files cannot be read, for
// example because they are being replaced, current returns the last certificate
// that was read, without an error. It fails only if none was read yet, so TLS
// calls it once to detect files that are invalid at the start.
func (c *keyPair) current() (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	info, err := os.Stat(c.certificateFile)
	if err == nil && c.certificate != nil && info.ModTime().Equal(c.modified) {
		return c.certificate, nil
	}
	if err == nil {
		var loaded tls.Certificate
		if loaded, err = tls.LoadX509KeyPair(c.certificateFile, c.keyFile); err == nil {
			c.certificate, c.modified = &loaded, info.ModTime()
		}
	}
	if c.certificate == nil {
		return nil, err
	}
	return c.certificate, nil
}

func (c *keyPair) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.current() }

func (c *keyPair) getClientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return c.current()
}
