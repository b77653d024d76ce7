package prog

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/cert"
	"github.com/dottereldeal/dottereldeal/conf"
)

const (
	// askTimeout bounds one question to one process.
	askTimeout = 5 * time.Second
	// askPause is the wait before all processes are asked again.
	askPause = 300 * time.Millisecond
	// maxAnswerBytes bounds an answer, such as the whole state.
	maxAnswerBytes = 256 << 20
)

var errNoAnswer = errors.New("no control VM could answer")

// deskSettings are the settings of the operators' tools.
type deskSettings struct {
	admin    *[]netip.AddrPort
	certFile *string
	keyFile  *string
	caFile   *string
	name     *string
}

func newDeskSettings(set *conf.Set) deskSettings {
	return deskSettings{
		admin:    set.Addrs("admin", "operators' interfaces to ask, as IP:PORT,...", conf.Required()),
		certFile: set.String("tls-cert", "PEM certificate of the operator"),
		keyFile:  set.String("tls-key", "PEM key of the certificate"),
		caFile:   set.String("tls-ca", "PEM certificates of the authorities for VMs"),
		name:     set.String("tls-name", "name expected in the VMs' certificates, if it is the same for all"),
	}
}

// desk asks the fleet's processes.
type desk struct {
	addrs  []netip.AddrPort
	scheme string
	client *http.Client
	author string
}

func (d deskSettings) open(set *conf.Set, author string) *desk {
	result := &desk{addrs: *d.admin, scheme: "http", client: &http.Client{}, author: author}
	if *d.certFile == "" && *d.caFile == "" {
		return result
	}
	identity, err := cert.Load(cert.Files{Cert: *d.certFile, Key: *d.keyFile, CA: *d.caFile})
	if err != nil {
		set.AddFinding("--tls-cert", "%s", err)
		return result
	}
	result.scheme = "https"
	result.client.Transport = &http.Transport{TLSClientConfig: clientTLS(identity, *d.name)}
	return result
}

// clientTLS checks the authority of a VM's certificate, and its name if one is given:
// operators address VMs by IP numbers, which certificates need not carry.
func clientTLS(identity *cert.Identity, name string) *tls.Config {
	c := identity.ClientConfig(name)
	if name == "" {
		c.InsecureSkipVerify = true
		c.VerifyConnection = identity.VerifyChain
	}
	return c
}

// reply is the answer of one process.
type reply struct {
	status int
	body   []byte
}

// ask sends one request to one process.
func (d *desk) ask(ctx context.Context, addr netip.AddrPort, method, path string, body []byte) (reply, error) {
	url := fmt.Sprintf("%s://%s%s", d.scheme, addr, path)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	if d.author != "" {
		request.Header.Set("Dottereldeal-Author", d.author)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return reply{response.StatusCode, data}, err
}

// askLeader asks one control VM after another until the leader answers or the
// context ends. It reports whether any request may have taken effect.
func (d *desk) askLeader(ctx context.Context, method, path string, body []byte) (reply, error) {
	last := errNoAnswer
	for {
		for _, addr := range d.addrs {
			r, err := d.ask(ctx, addr, method, path, body)
			if err == nil && r.status != http.StatusServiceUnavailable {
				return r, nil
			}
			if err != nil {
				last = err
			} else {
				last = errors.Errorf("%s: %s", addr, bytes.TrimSpace(r.body))
			}
		}
		select {
		case <-ctx.Done():
			return reply{}, last
		case <-time.After(askPause):
		}
	}
}

// decode reads a JSON answer.
func decode[T any](r reply) (T, error) {
	var v T
	err := json.Unmarshal(r.body, &v)
	return v, err
}
