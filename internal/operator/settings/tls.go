package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// TLS returns the configurations for clients and for peers, or nil for both
// if no certificate is set. The one for peers serves both ends of a
// connection and requires a certificate that --peer-ca signs.
func (s *Settings) TLS() (client, peer *tls.Config, err error) {
	if s.Certificate == "" {
		return nil, nil, nil
	}
	pair, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
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
	client = &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}}
	peer = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		ClientCAs:    authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		RootCAs:      authorities,
	}
	return client, peer, nil
}
