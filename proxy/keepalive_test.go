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

// keptOptions let all requests share kept connections, and name the headers by which
// answers are told apart.
func keptOptions() []proxy.Option {
	headers := proxy.DefaultHeaders()
	headers.RequestID, headers.OriginProof = idHeader, proofHeader
	return []proxy.Option{proxy.KeepConnections(4 * time.Second), proxy.HeaderNames(headers)}
}

// keeper is a raw backend server that answers the first request of each connection
// and leaves the rest of the connection to a function.
type keeper struct {
	listener net.Listener
	// first counts the connections whose first request was answered.
	first atomic.Int64
}

// startKeeper starts a backend server; rest gets each connection after its first
// answer, with the number of connections before it.
func startKeeper(t *testing.T, rest func(n int64, conn *net.TCPConn, reader *bufio.Reader)) *keeper {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := &keeper{listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(conn.(*net.TCPConn), rest)
		}
	}()
	return k
}

func (k *keeper) serve(conn *net.TCPConn, rest func(int64, *net.TCPConn, *bufio.Reader)) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	io.Copy(io.Discard, request.Body)
	n := k.first.Add(1) - 1
	io.WriteString(conn, keptAnswer(request.Header.Get(idHeader), "first"))
	if rest != nil {
		rest(n, conn, reader)
	}
}

// keptAnswer returns the bytes of a whole answer.
func keptAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: p\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, proofHeader, len(body), body)
}

func (k *keeper) target(name string) fleet.Target {
	return fleet.Target{Name: name, Pool: "p", Addr: k.listener.Addr().String(), Slots: 4}
}

func askOnce(t *testing.T, base, id string) (*http.Response, string) {
	t.Helper()
	response := ask(t, http.MethodPost, base+"/once/1", strings.NewReader("sign this"), http.Header{idHeader: {id}})
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(body)
}

// A kept connection that is reset after any number of bytes of a request that must
// run once: no second backend server and no second connection sees any of it, and
// the outcome is true.
func TestOnceAtMostWithKeptConnectionsResetAtEveryByte(t *testing.T) {
	for after := range 360 {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			t.Parallel()
			resetKept(t, after)
		})
	}
}

func resetKept(t *testing.T, after int) {
	var reached atomic.Int64
	cut := func(_ int64, conn *net.TCPConn, reader *bufio.Reader) {
		if n, _ := io.ReadFull(reader, make([]byte, after)); n > 0 {
			reached.Add(1)
		}
		conn.SetLinger(0)
	}
	k := startKeeper(t, cut)
	server := serve(t, &fixedPicker{targets: []fleet.Target{k.target("b1")}}, keptOptions()...)
	if response, body := askOnce(t, server.URL, "one"); response.StatusCode != http.StatusOK || body != "first" {
		t.Fatalf("first request: %d %q", response.StatusCode, body)
	}
	response, body := askOnce(t, server.URL, "two")
	again := k.first.Load() > 1
	if reached.Load() > 0 && again {
		t.Fatalf("reset after %d bytes: the request was sent twice", after)
	}
	outcome := response.Header.Get(proxy.OutcomeHeader)
	switch {
	case again && body != "first":
		t.Fatalf("reset after %d bytes: sent anew, but answered %d %q", after, response.StatusCode, body)
	case !again && response.StatusCode < 500, outcome == string(proxy.NotRun) && reached.Load() > 0:
		t.Fatalf("reset after %d bytes: status %d, outcome %q, %d reached", after, response.StatusCode, outcome, reached.Load())
	}
}

// An extra answer after a complete one never reaches another caller, whether it
// comes at once, while the connection is idle, or when the next request is expected
// to be answered.
func TestExtraAnswersReachNoCaller(t *testing.T) {
	extra := keptAnswer("one", "extra")
	whens := map[string]func(conn *net.TCPConn, reader *bufio.Reader){
		"at once": func(conn *net.TCPConn, _ *bufio.Reader) { io.WriteString(conn, extra) },
		"while idle": func(conn *net.TCPConn, _ *bufio.Reader) {
			time.Sleep(5 * time.Millisecond)
			io.WriteString(conn, extra)
		},
		"in place of the next answer": func(conn *net.TCPConn, reader *bufio.Reader) {
			reader.Peek(1)
			io.WriteString(conn, extra)
		},
		"before the next answer": func(conn *net.TCPConn, reader *bufio.Reader) {
			reader.Peek(1)
			io.WriteString(conn, extra+keptAnswer("two", "second"))
		},
		"torn, in place of the next answer": func(conn *net.TCPConn, reader *bufio.Reader) {
			reader.Peek(1)
			io.WriteString(conn, extra[:len(extra)-2])
		},
	}
	for when, send := range whens {
		for range 20 {
			k := startKeeper(t, func(n int64, conn *net.TCPConn, reader *bufio.Reader) {
				if n > 0 {
					return
				}
				send(conn, reader)
				io.Copy(io.Discard, reader)
			})
			server := serve(t, &fixedPicker{targets: []fleet.Target{k.target("b1")}}, keptOptions()...)
			askOnce(t, server.URL, "one")
			response, body := askOnce(t, server.URL, "two")
			if strings.Contains(body, "extra") || response.StatusCode == http.StatusOK && response.Header.Get(idHeader) != "two" {
				t.Fatalf("%s: got %d %q", when, response.StatusCode, body)
			}
			server.Close()
		}
	}
}
