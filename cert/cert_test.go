package cert_test

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/cert"
	"github.com/dottereldeal/dottereldeal/fake"
)

func issue(t *testing.T, ca *fake.Authority, dir, name string) cert.Files {
	t.Helper()
	files, err := ca.Issue(dir, name)
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// shake makes one handshake over loopback and returns the first error of either side.
func shake(server, client *tls.Config) error {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		return err
	}
	defer listener.Close()
	failed := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			err = conn.(*tls.Conn).Handshake()
			conn.Close()
		}
		failed <- err
	}()
	dialer := &net.Dialer{Timeout: 5 * time.Second}
	conn, err := tls.DialWithDialer(dialer, "tcp", listener.Addr().String(), client)
	if err == nil {
		defer conn.Close()
		return <-failed
	}
	return err
}

func TestOnlyTrustedNamesConnect(t *testing.T) {
	is := is.New(t)
	ca, err := fake.NewAuthority()
	is.NoErr(err)
	other, err := fake.NewAuthority()
	is.NoErr(err)
	c1, err := cert.Load(issue(t, ca, t.TempDir(), "c1"))
	is.NoErr(err)
	e1, err := cert.Load(issue(t, ca, t.TempDir(), "e1"))
	is.NoErr(err)
	stranger, err := cert.Load(issue(t, other, t.TempDir(), "e1"))
	is.NoErr(err)

	is.NoErr(shake(c1.ServerConfig(cert.RequireClientCert), e1.ClientConfig("c1")))
	is.True(shake(c1.ServerConfig(cert.RequireClientCert), e1.ClientConfig("c2")) != nil)
	is.True(shake(c1.ServerConfig(cert.RequireClientCert), stranger.ClientConfig("c1")) != nil)
	is.True(shake(c1.ServerConfig(cert.RequireClientCert), &tls.Config{InsecureSkipVerify: true}) != nil)
}

func TestReloadKeepsTheOldIdentityAfterABadFile(t *testing.T) {
	is := is.New(t)
	ca, err := fake.NewAuthority()
	is.NoErr(err)
	dir := t.TempDir()
	files := issue(t, ca, dir, "e1")
	id, err := cert.Load(files)
	is.NoErr(err)
	changed, err := id.Reload()
	is.NoErr(err)
	is.True(!changed)

	renewed := issue(t, ca, t.TempDir(), "e1")
	for _, pair := range [][2]string{{renewed.Cert, files.Cert}, {renewed.Key, files.Key}} {
		data, err := os.ReadFile(pair[0])
		is.NoErr(err)
		is.NoErr(os.WriteFile(pair[1], data, 0o600))
	}
	changed, err = id.Reload()
	is.NoErr(err)
	is.True(changed)

	is.NoErr(os.WriteFile(filepath.Join(dir, filepath.Base(files.Cert)), []byte("garbage"), 0o600))
	_, err = id.Reload()
	is.True(err != nil)
	is.NoErr(shake(id.ServerConfig(cert.RequireClientCert), id.ClientConfig("e1")))
}
