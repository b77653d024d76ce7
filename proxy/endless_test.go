package proxy_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/proxy"
)

// endlessServer answers each request with a start and then repeats bytes until its
// connection is closed.
type endlessServer struct {
	listener net.Listener
	sent     atomic.Int64
}

func startEndlessServer(t *testing.T, start, repeat string) *endlessServer {
	t.Helper()
	s := &endlessServer{}
	block := bytes.Repeat([]byte(repeat), 1+(16<<10)/len(repeat))
	s.listener = acceptRaw(t, func(conn *net.TCPConn) { s.serve(conn, start, block) })
	return s
}

func (s *endlessServer) serve(conn net.Conn, start string, block []byte) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	if _, err := io.WriteString(conn, start); err != nil {
		return
	}
	for {
		n, err := conn.Write(block)
		s.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// A server in trouble may send bytes that are no answer, without end, until its caller
// closes. The attempt must end by a bound on bytes and time, hold little memory, and count
// against the server; the request is tried elsewhere only if it may run twice.
func TestBytesWithoutEndAreCutOff(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\n" + proofHeader + ": p\r\n"
	cases := map[string][2]string{
		"no line end":            {"", "x"},
		"status line":            {"HTTP/1.1 200 ", "O"},
		"header lines":           {"HTTP/1.1 200 OK\r\n", "X-More: and more\r\n"},
		"one header":             {"HTTP/1.1 200 OK\r\nX-More: ", "y"},
		"interim responses":      {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"body of another answer": {answer + "\r\n", "z"},
		"chunks of another":      {answer + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nz\r\n"},
		"trailer":                {answer + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: and more\r\n"},
		"chunk extension":        {answer + "Transfer-Encoding: chunked\r\n\r\n1;x=", "y"},
		"chunk header":           {answer[:len(answer)-2] + "\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startEndlessServer(t, c[0], c[1])
			picker := &fixedPicker{targets: []fleet.Target{{Name: "b1", Pool: "p", Addr: s.listener.Addr().String(), Slots: 4}}}
			server := serve(t, picker, keepAliveOptions()...)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			started := time.Now()
			response, _ := sendNonIdempotent(t, server.URL, "one")
			runtime.ReadMemStats(&after)
			is.Equal(response.StatusCode, http.StatusBadGateway)
			is.Equal(response.Header.Get(proxy.OutcomeHeader), string(proxy.Unknown))
			is.True(time.Since(started) < 400*time.Millisecond) // before its deadline
			is.True(after.TotalAlloc-before.TotalAlloc < 2<<20)
			_, torn := picker.results.Load(health.Torn)
			is.True(torn)
			sent := s.sent.Load()
			time.Sleep(20 * time.Millisecond)
			is.True(s.sent.Load()-sent < 4<<20) // the connection is closed
			is.True(sent < 16<<20)
		})
	}
}
