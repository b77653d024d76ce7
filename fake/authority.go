package fake

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/dottereldeal/dottereldeal/cert"
)

// certLifetime is the validity of the authority and of the certificates it issues.
const certLifetime = 24 * time.Hour

// Authority is a certificate authority for tests.
type Authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pem  []byte
}

// NewAuthority returns an authority with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certLifetime),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{key: key, cert: parsed, pem: encodePEM("CERTIFICATE", der)}, nil
}

// Issue writes a certificate for a name, its key and the authority to a folder.
func (a *Authority) Issue(dir, name string) (cert.Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return cert.Files{}, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certLifetime),
		DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return cert.Files{}, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return cert.Files{}, err
	}
	files := cert.Files{
		Cert: filepath.Join(dir, name+".pem"),
		Key:  filepath.Join(dir, name+".key"),
		CA:   filepath.Join(dir, "ca.pem"),
	}
	for path, data := range map[string][]byte{
		files.Cert: encodePEM("CERTIFICATE", der), files.Key: encodePEM("PRIVATE KEY", keyDER), files.CA: a.pem,
	} {
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return cert.Files{}, err
		}
	}
	return files, nil
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
