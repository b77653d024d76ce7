// Package cert keeps the TLS identity of a process: its certificate, its key
// and the authorities it trusts. The files are read again when they change, so
// that a renewal needs no restart.
//
// # Usage
//
//	identity, err := cert.Load(cert.Files{Cert: "vm.pem", Key: "vm.key", CA: "ca.pem"})
//	stop := clock.Every(time.Minute, func(time.Time) { identity.Reload() })
//	listener = tls.NewListener(listener, identity.ServerConfig(cert.RequireClientCert))
package cert

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"

	"github.com/go-faster/errors"
)

// ErrNoCACertificate means that the CA file holds no certificate.
var ErrNoCACertificate = errors.New("CA file holds no certificate")

// ClientPolicy says whether a server asks callers for a certificate.
type ClientPolicy string

// The client policies.
const (
	// NoClientCert accepts connections without a client certificate.
	NoClientCert ClientPolicy = "any-client"
	// RequireClientCert accepts only certificates of a trusted authority.
	RequireClientCert ClientPolicy = "require-client"
)

// Files names the PEM files of an identity. CA may be empty if no peer
// certificates are checked.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// Identity is the current content of the files.
type Identity struct {
	files Files

	mu      sync.RWMutex
	raw     [3][]byte
	pair    *tls.Certificate
	trusted *x509.CertPool
}

// Load reads the files.
func Load(files Files) (*Identity, error) {
	id := &Identity{files: files}
	if _, err := id.Reload(); err != nil {
		return nil, err
	}
	return id, nil
}

// Reload reads the files again and reports whether the identity changed. After
// an error the previous identity stays in use.
func (i *Identity) Reload() (changed bool, err error) {
	raw, err := i.read()
	if err != nil {
		return false, err
	}
	if i.same(raw) {
		return false, nil
	}
	pair, err := tls.X509KeyPair(raw[0], raw[1])
	if err != nil {
		return false, errors.Wrap(err, "certificate and key")
	}
	trusted, err := parseAuthorities(raw[2])
	if err != nil {
		return false, errors.Wrap(err, i.files.CA)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.raw, i.pair, i.trusted = raw, &pair, trusted
	return true, nil
}

func (i *Identity) read() (raw [3][]byte, err error) {
	for n, name := range []string{i.files.Cert, i.files.Key, i.files.CA} {
		if name == "" {
			continue
		}
		raw[n], err = os.ReadFile(name)
		if err != nil {
			return raw, err
		}
	}
	return raw, nil
}

func (i *Identity) same(raw [3][]byte) bool {
	i.mu.RLock()
	defer i.mu.RUnlock()
	for n := range raw {
		if !bytes.Equal(raw[n], i.raw[n]) {
			return false
		}
	}
	return i.pair != nil
}

func parseAuthorities(pem []byte) (*x509.CertPool, error) {
	if pem == nil {
		return nil, nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, ErrNoCACertificate
	}
	return pool, nil
}

// ServerConfig returns a configuration for listeners. Every handshake uses the
// newest identity.
func (i *Identity) ServerConfig(policy ClientPolicy, protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return i.serverNow(policy, protocols), nil
		},
	}
}

func (i *Identity) serverNow(policy ClientPolicy, protocols []string) *tls.Config {
	i.mu.RLock()
	defer i.mu.RUnlock()
	c := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   protocols,
		Certificates: []tls.Certificate{*i.pair},
	}
	if policy == RequireClientCert {
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs = i.trusted
	}
	return c
}

// ClientConfig returns a configuration for one connection to the peer of that name.
func (i *Identity) ClientConfig(name string) *tls.Config {
	i.mu.RLock()
	defer i.mu.RUnlock()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   name,
		Certificates: []tls.Certificate{*i.pair},
		RootCAs:      i.trusted,
	}
}

// VerifyName reports an error unless the peer's certificate is valid for name.
func VerifyName(state tls.ConnectionState, name string) error {
	if len(state.PeerCertificates) == 0 {
		return fmt.Errorf("peer %q sent no certificate", name)
	}
	return state.PeerCertificates[0].VerifyHostname(name)
}

// VerifyChain reports an error unless the peer's certificate was issued by a
// trusted authority for servers. It does not check the name.
func (i *Identity) VerifyChain(state tls.ConnectionState) error {
	i.mu.RLock()
	defer i.mu.RUnlock()
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: i.trusted, Intermediates: intermediates})
	return err
}
