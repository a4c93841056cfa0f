package settings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// authority signs the certificates of a test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{key: key, file: filepath.Join(t.TempDir(), "ca.pem")}
	if a.certificate, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	writePEM(t, a.file, "CERTIFICATE", der)
	return a
}

// issue writes a certificate with the given serial number, and its key, to dir.
func (a *authority) issue(t *testing.T, dir string, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, filepath.Join(dir, "key.pem"), "PRIVATE KEY", encoded)
	writePEM(t, filepath.Join(dir, "cert.pem"), "CERTIFICATE", der)
	// The file system's clock may be coarser than the time between two writes.
	modified := time.Unix(serial, 0)
	if err := os.Chtimes(filepath.Join(dir, "cert.pem"), modified, modified); err != nil {
		t.Fatal(err)
	}
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// handshake connects a client to a server and returns the serial number of the
// certificate that the client received.
func handshake(t *testing.T, server, client *tls.Config) (serial int64, err error) {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	served := make(chan struct{})
	go func() {
		defer close(served)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Write([]byte("x")) // fails if the client is rejected
	}()
	defer func() { <-served }()
	c, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		return 0, err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// Guards against accepting a peer without a certificate or with one of another
// authority, and against a replaced certificate that is used only after a restart.
func TestPeerTLSVerifiesPeersAndReloadsCertificate(t *testing.T) {
	is := is.New(t)
	a, dir := newAuthority(t), t.TempDir()
	a.issue(t, dir, 7)
	s := &Settings{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), PeerCA: a.file}
	_, peer, err := s.TLS()
	is.NoErr(err)

	serial, err := handshake(t, peer, peer)
	is.NoErr(err)
	is.Equal(serial, int64(7))

	_, err = handshake(t, peer, &tls.Config{RootCAs: peer.RootCAs})
	is.True(err != nil) // a peer without a certificate is rejected

	other, otherDir := newAuthority(t), t.TempDir()
	other.issue(t, otherDir, 9)
	pair, err := tls.LoadX509KeyPair(filepath.Join(otherDir, "cert.pem"), filepath.Join(otherDir, "key.pem"))
	is.NoErr(err)
	_, err = handshake(t, peer, &tls.Config{RootCAs: peer.RootCAs, Certificates: []tls.Certificate{pair}})
	is.True(err != nil) // a certificate of another authority is rejected

	a.issue(t, dir, 8)
	serial, err = handshake(t, peer, peer)
	is.NoErr(err)
	is.Equal(serial, int64(8)) // the new certificate is used without a restart
}
