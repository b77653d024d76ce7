package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/proxy"
)

// aheadServer is a backend server that counts, and a proxy before it.
type aheadServer struct {
	front *httptest.Server
	// arrivals counts the requests that reached the backend server, running those that run there.
	arrivals, running atomic.Int64
}

func startAheadServer(t *testing.T, serviceTime time.Duration, answer string) *aheadServer {
	t.Helper()
	s := &aheadServer{}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.arrivals.Add(1)
		s.running.Add(1)
		defer s.running.Add(-1)
		select {
		case <-time.After(serviceTime):
		case <-r.Context().Done():
		}
		io.WriteString(w, r.URL.Path+answer)
	}))
	t.Cleanup(backend.Close)
	picker := &fixedPicker{targets: []fleet.Target{{Name: "b1", Pool: "p", Addr: backend.Listener.Addr().String(), Slots: 4}}}
	config := newConfig(t)
	s.front = httptest.NewUnstartedServer(proxy.New(
		proxy.ConfigFunc(func() *proxy.Config { return config }), proxy.Limiter(openLimiter{}), proxy.Picker(picker),
	))
	s.front.Listener = proxy.WatchCallers(s.front.Config, s.front.Listener)
	s.front.Config.IdleTimeout = 300 * time.Millisecond
	s.front.Start()
	t.Cleanup(s.front.Close)
	return s
}

func (s *aheadServer) dial(t *testing.T) *net.TCPConn {
	conn, err := net.Dial("tcp", s.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn.(*net.TCPConn)
}

// safeRequest returns the bytes of a request that may be repeated.
func safeRequest(n int, header string) string {
	return fmt.Sprintf("GET /read/%d HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s\r\n", n, secret, header)
}

// Pieces of requests arrive in any order of reads, more than are read ahead at a time.
func TestRequestsSentAheadAreAnsweredInOrder(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 5))
			s := startAheadServer(t, 0, "")
			conn := s.dial(t)
			const count = 1000
			go func() {
				var all strings.Builder
				for i := range count {
					all.WriteString(safeRequest(i, ""))
				}
				for rest := all.String(); rest != ""; {
					n := min(len(rest), 1+random.IntN([]int{3, 300, 30_000}[random.IntN(3)]))
					io.WriteString(conn, rest[:n]) // a failure shows in the answers
					rest = rest[n:]
					time.Sleep(time.Duration(random.IntN(2)) * time.Millisecond)
				}
			}()
			reader := bufio.NewReader(conn)
			for i := range count {
				response, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				body, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.Equal(string(body), fmt.Sprint("/read/", i))
			}
			conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			_, err := reader.ReadByte()
			is.Equal(err, io.EOF) // the idle time ends
			is.Equal(s.arrivals.Load(), int64(count))
		})
	}
}

// Backend servers went on to work on the request of a caller that had sent on and left, and then got
// the next one.
func TestCallerThatHasSentAheadAndLeavesIsNoticed(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn) error{
		"closed": (*net.TCPConn).Close, "half closed": (*net.TCPConn).CloseWrite,
		"reset": func(c *net.TCPConn) error {
			c.SetLinger(0)
			return c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startAheadServer(t, 900*time.Millisecond, "")
			conn := s.dial(t)
			io.WriteString(conn, safeRequest(0, ""))
			for s.running.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			for i := range 20 {
				io.WriteString(conn, safeRequest(i, ""))
			}
			time.Sleep(50 * time.Millisecond)
			is.Equal(s.running.Load(), int64(1))
			is.NoErr(leave(conn))
			time.Sleep(400 * time.Millisecond)
			is.Equal(s.running.Load(), int64(0))
			time.Sleep(800 * time.Millisecond)
			is.Equal(s.arrivals.Load(), int64(1))
		})
	}
}

// The kernel discarded the rest of an answer whose caller reads slowly when the connection was
// closed behind it, because nobody had read the requests that waited there.
func TestAnswerThatClosesTheConnectionIsWholeBeforeRequestsThatWait(t *testing.T) {
	is := is.New(t)
	const length = 1 << 20
	s := startAheadServer(t, 100*time.Millisecond, strings.Repeat("x", length))
	conn := s.dial(t)
	is.NoErr(conn.SetReadBuffer(16 << 10))
	io.WriteString(conn, safeRequest(0, "Connection: close\r\n"))
	time.Sleep(30 * time.Millisecond)
	for i := range 5 {
		io.WriteString(conn, safeRequest(i, ""))
	}
	time.Sleep(200 * time.Millisecond)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	read, buffer := 0, make([]byte, 64<<10)
	for err == nil {
		var n int
		n, err = response.Body.Read(buffer)
		read += n
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(err, io.EOF)
	is.Equal(read, length+len("/read/0"))
	is.Equal(s.arrivals.Load(), int64(1))
}

// What waits behind the request that a planned stop lets end has not run, and never will.
func TestPlannedStopRunsNothingThatWaitsBehindARequest(t *testing.T) {
	is := is.New(t)
	s := startAheadServer(t, 200*time.Millisecond, "")
	conn := s.dial(t)
	io.WriteString(conn, safeRequest(0, ""))
	time.Sleep(20 * time.Millisecond)
	for i := range 5 {
		io.WriteString(conn, safeRequest(i, ""))
	}
	time.Sleep(20 * time.Millisecond)
	is.NoErr(s.front.Config.Shutdown(t.Context()))
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), "/read/0")
	is.True(response.Close)
	_, err = reader.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(s.arrivals.Load(), int64(1))
}

// net/http ends its read for the end of the connection by a deadline that has passed, which may meet
// the first byte of the next request. Such a deadline ended connections that were in use.
func TestDeadlineThatEndsReadingAheadHarmsNoLaterRead(t *testing.T) {
	is := is.New(t)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer plain.Close()
	listener := proxy.WatchCallers(&http.Server{}, plain)
	caller, err := net.Dial("tcp", plain.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	conn, err := listener.Accept()
	is.NoErr(err)
	defer conn.Close()
	buffer := make([]byte, 10)
	for i := range 2000 {
		caller.Write([]byte("a"))
		n, err := conn.Read(buffer[:1])
		is.NoErr(err)
		is.Equal(n, 1)
		time.Sleep(time.Duration(i%5) * 10 * time.Microsecond) // until it is read ahead
		conn.SetReadDeadline(time.Unix(1, 0))
		time.Sleep(time.Duration(i%3) * 10 * time.Microsecond)
		conn.SetReadDeadline(time.Time{})
		caller.Write([]byte("bc"))
		_, err = io.ReadFull(conn, buffer[:2])
		is.NoErr(err)
		is.Equal(string(buffer[:2]), "bc")
	}
	conn.SetReadDeadline(time.Unix(1, 0))
	_, err = conn.Read(buffer)
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}

func BenchmarkPlainConnection(b *testing.B) {
	for _, watched := range []bool{false, true} {
		b.Run(fmt.Sprint(watched), func(b *testing.B) {
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "ok") }))
			if watched {
				server.Listener = proxy.WatchCallers(server.Config, server.Listener)
			}
			server.Start()
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			reader := bufio.NewReader(conn)
			request := safeRequest(1, "")
			b.ReportAllocs()
			for b.Loop() {
				io.WriteString(conn, request)
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				io.Copy(io.Discard, response.Body)
			}
		})
	}
}
