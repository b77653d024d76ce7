package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/proxy"
)

const (
	idHeader    = "X-Request-Id"
	proofHeader = "X-Proof"
)

// keepAliveOptions let all requests reuse connections, and set the headers that identify
// responses.
func keepAliveOptions() []proxy.Option {
	headers := proxy.DefaultHeaders()
	headers.RequestID, headers.OriginProof = idHeader, proofHeader
	return []proxy.Option{proxy.KeepConnections(4 * time.Second), proxy.HeaderNames(headers)}
}

// keepAliveServer is a raw backend server that answers the first request of each
// connection and passes the connection to a function afterwards.
type keepAliveServer struct {
	listener net.Listener
	// firstResponses counts the connections whose first request was answered.
	firstResponses atomic.Int64
}

// startKeepAliveServer starts a backend server. After the first response on a connection
// it calls rest with the number of earlier connections.
func startKeepAliveServer(t *testing.T, rest func(n int64, conn *net.TCPConn, reader *bufio.Reader)) *keepAliveServer {
	t.Helper()
	s := &keepAliveServer{}
	s.listener = acceptRaw(t, func(conn *net.TCPConn) { s.serve(conn, rest) })
	return s
}

func (s *keepAliveServer) serve(conn *net.TCPConn, rest func(int64, *net.TCPConn, *bufio.Reader)) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	io.Copy(io.Discard, request.Body)
	n := s.firstResponses.Add(1) - 1
	io.WriteString(conn, keepAliveResponse(request.Header.Get(idHeader), "first"))
	if rest != nil {
		rest(n, conn, reader)
	}
}

// keepAliveResponse returns the bytes of a complete response.
func keepAliveResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: p\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, proofHeader, len(body), body)
}

func (s *keepAliveServer) target(name string) fleet.Target {
	return fleet.Target{Name: name, Pool: "p", Addr: s.listener.Addr().String(), Slots: 4}
}

func sendNonIdempotent(t *testing.T, base, id string) (*http.Response, string) {
	t.Helper()
	response := send(t, http.MethodPost, base+"/once/1", strings.NewReader("sign this"), http.Header{idHeader: {id}})
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(body)
}

// A backend server may reset a reused connection after any number of bytes of a request.
// If any byte of a non-idempotent request arrived, the request must not be sent again,
// and its outcome must not be not-run.
func TestReusedConnectionResetAtEveryByte(t *testing.T) {
	for after := range 360 {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			t.Parallel()
			testResetAfter(t, after)
		})
	}
}

func testResetAfter(t *testing.T, after int) {
	var reached atomic.Int64
	reset := func(_ int64, conn *net.TCPConn, reader *bufio.Reader) {
		if n, _ := io.ReadFull(reader, make([]byte, after)); n > 0 {
			reached.Add(1)
		}
		conn.SetLinger(0)
	}
	backend := startKeepAliveServer(t, reset)
	server := serve(t, &fixedPicker{targets: []fleet.Target{backend.target("b1")}}, keepAliveOptions()...)
	if response, body := sendNonIdempotent(t, server.URL, "one"); response.StatusCode != http.StatusOK || body != "first" {
		t.Fatalf("first request: %d %q", response.StatusCode, body)
	}
	response, body := sendNonIdempotent(t, server.URL, "two")
	resent := backend.firstResponses.Load() > 1
	if reached.Load() > 0 && resent {
		t.Fatalf("reset after %d bytes: the request was sent twice", after)
	}
	outcome := response.Header.Get(proxy.OutcomeHeader)
	switch {
	case resent && body != "first":
		t.Fatalf("reset after %d bytes: sent again, but answered %d %q", after, response.StatusCode, body)
	case !resent && response.StatusCode < 500, outcome == string(proxy.NotRun) && reached.Load() > 0:
		t.Fatalf("reset after %d bytes: status %d, outcome %q, %d reached", after, response.StatusCode, outcome, reached.Load())
	}
}

// A backend server may send an unsolicited response on a reused connection: at once, while
// the connection is idle, or in place of the next response. It must never be returned to
// another caller.
func TestUnsolicitedResponsesAreDiscarded(t *testing.T) {
	extra := keepAliveResponse("one", "extra")
	cases := map[string]func(conn *net.TCPConn, reader *bufio.Reader){
		"at once": func(conn *net.TCPConn, _ *bufio.Reader) { io.WriteString(conn, extra) },
		"while idle": func(conn *net.TCPConn, _ *bufio.Reader) {
			time.Sleep(5 * time.Millisecond)
			io.WriteString(conn, extra)
		},
		"in place of the next response": func(conn *net.TCPConn, reader *bufio.Reader) {
			reader.Peek(1)
			io.WriteString(conn, extra)
		},
		"before the next response": func(conn *net.TCPConn, reader *bufio.Reader) {
			reader.Peek(1)
			io.WriteString(conn, extra+keepAliveResponse("two", "second"))
		},
		"truncated, in place of the next response": func(conn *net.TCPConn, reader *bufio.Reader) {
			reader.Peek(1)
			io.WriteString(conn, extra[:len(extra)-2])
		},
	}
	for name, send := range cases {
		for range 20 {
			s := startKeepAliveServer(t, func(n int64, conn *net.TCPConn, reader *bufio.Reader) {
				if n > 0 {
					return
				}
				send(conn, reader)
				io.Copy(io.Discard, reader)
			})
			server := serve(t, &fixedPicker{targets: []fleet.Target{s.target("b1")}}, keepAliveOptions()...)
			sendNonIdempotent(t, server.URL, "one")
			response, body := sendNonIdempotent(t, server.URL, "two")
			if strings.Contains(body, "extra") || response.StatusCode == http.StatusOK && response.Header.Get(idHeader) != "two" {
				t.Fatalf("%s: got %d %q", name, response.StatusCode, body)
			}
			server.Close()
		}
	}
}
