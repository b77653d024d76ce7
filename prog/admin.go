package prog

import (
	"crypto/tls"
	"net"

	"github.com/dottereldeal/dottereldeal/admin"
	"github.com/dottereldeal/dottereldeal/cert"
)

// serveAdmin serves the operators' interface and returns a function that ends it.
func serveAdmin(server *admin.Server, l net.Listener, identity *cert.Identity) (stop func()) {
	l = secureAdmin(l, identity)
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.Serve(l)
	}()
	return func() {
		server.Stop()
		<-done
	}
}

// secureAdmin adds TLS with client certificates if there is an identity.
func secureAdmin(l net.Listener, identity *cert.Identity) net.Listener {
	if identity == nil {
		return l
	}
	return tls.NewListener(l, identity.ServerConfig(cert.RequireClientCert, "http/1.1"))
}
