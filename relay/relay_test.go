package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fleet"
)

// network connects dialers in place of links.
type network struct {
	mu      sync.Mutex
	dialers map[string]*Dialer
	asked   []string
}

func (n *network) Open(vm, addr string) (net.Conn, error) {
	n.mu.Lock()
	d := n.dialers[vm]
	n.asked = append(n.asked, vm)
	n.mu.Unlock()
	if d == nil {
		return nil, errors.New("no such VM")
	}
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		d.Serve("other", addr, far)
	}()
	return near, nil
}

// errCut is the failure of a connection across a cut that refuses connections.
var errCut = errors.New("connection refused")

// relayFixture is a fleet of entries, the first of which are cut off.
type relayFixture struct {
	network *network
	cut     atomic.Int64
	names   []string
}

func newFixture(t *testing.T, names []string, cutOff int, servers ...string) *relayFixture {
	t.Helper()
	f := &relayFixture{network: &network{dialers: make(map[string]*Dialer)}, names: names}
	f.cut.Store(int64(cutOff))
	members := make([]fleet.Member, len(names))
	for i, vm := range names {
		members[i] = fleet.Member{VM: vm, Condition: fleet.Alive}
	}
	for i, vm := range names {
		direct := &net.Dialer{}
		d := New(f.network, VM(vm), Members(func() []fleet.Member { return members }),
			Servers(func() []string { return slices.Clone(servers) }, func(addr string) bool { return slices.Contains(servers, addr) }),
			Connect(func(ctx context.Context, addr string) (net.Conn, error) {
				if int64(i) < f.cut.Load() {
					return nil, errCut
				}
				return direct.DialContext(ctx, "tcp", addr)
			}),
		)
		f.network.dialers[vm] = d
	}
	return f
}

func (f *relayFixture) client(vm string) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return f.network.dialers[vm].Dial(ctx, addr)
		},
	}}
}

func startServer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

func TestRequestsOfAnEntryThatIsCutOffTakeARelay(t *testing.T) {
	is := is.New(t)
	body := make([]byte, 1<<20)
	addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		w.Write(data)
	})
	f := newFixture(t, []string{"e1", "e2", "e3"}, 1, addr)
	client := f.client("e1")
	for range 3 {
		response, err := client.Post("http://"+addr, "text/plain", newReader(body))
		is.NoErr(err)
		data, err := io.ReadAll(response.Body)
		is.NoErr(err)
		response.Body.Close()
		is.Equal(len(data), len(body))
	}
	client.CloseIdleConnections()
	tunnels := func() int {
		n := 0
		for _, vm := range f.names {
			open, served := f.network.dialers[vm].Relays()
			n += len(open) + served
		}
		return n
	}
	for end := time.Now().Add(5 * time.Second); tunnels() > 0 && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
	}
	is.Equal(tunnels(), 0)
}

func newReader(body []byte) io.Reader { return &sliceReader{body} }

// sliceReader hides the length of a body, so that it is sent in chunks.
type sliceReader struct{ left []byte }

func (r *sliceReader) Read(p []byte) (int, error) {
	if len(r.left) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.left)
	r.left = r.left[n:]
	return n, nil
}

// A body without a length ends with its connection. If that is reset on the way, the answer must
// not look complete behind a relay either.
func TestAnswerThatBreaksOffBehindARelayDoesNotLookComplete(t *testing.T) {
	is := is.New(t)
	for _, reset := range []bool{false, true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer listener.Close()
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conn.Read(make([]byte, 1024))
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
			time.Sleep(50 * time.Millisecond)
			if reset {
				conn.(*net.TCPConn).SetLinger(0)
			}
			conn.Close()
		}()
		f := newFixture(t, []string{"e1", "e2"}, 1, listener.Addr().String())
		response, err := f.client("e1").Get("http://" + listener.Addr().String())
		is.NoErr(err)
		_, err = io.ReadAll(response.Body)
		is.Equal(err != nil, reset)
		response.Body.Close()
	}
}

func TestRelayConnectsOnlyToBackendServers(t *testing.T) {
	is := is.New(t)
	addr := startServer(t, func(http.ResponseWriter, *http.Request) {})
	f := newFixture(t, []string{"e1", "e2"}, 1)
	_, err := f.network.dialers["e1"].openTunnel(context.Background(), "e2", addr)
	is.Equal(err, ErrRefused)
}

func TestRelayThatIsCutOffOrStopsRefuses(t *testing.T) {
	is := is.New(t)
	addr := startServer(t, func(http.ResponseWriter, *http.Request) {})
	f := newFixture(t, []string{"e1", "e2"}, 2, addr)
	e1, e2 := f.network.dialers["e1"], f.network.dialers["e2"]
	_, err := e1.openTunnel(context.Background(), "e2", addr)
	is.Equal(err, ErrUnreachable)
	e2.probe()
	e2.probe()
	is.True(e2.CutOff())
	_, err = e1.openTunnel(context.Background(), "e2", addr)
	is.Equal(err, ErrRefused)
	f.cut.Store(1)
	e2.probe()
	e2.probe()
	is.True(!e2.CutOff())
	conn, err := e1.openTunnel(context.Background(), "e2", addr)
	is.NoErr(err)
	conn.Close()
	e2.Close()
	_, err = e1.openTunnel(context.Background(), "e2", addr)
	is.Equal(err, ErrRefused)
}

// A connection that hangs is tried through a relay before its time-out has passed.
func TestConnectionThatHangsIsTriedThroughARelay(t *testing.T) {
	is := is.New(t)
	addr := startServer(t, func(http.ResponseWriter, *http.Request) {})
	f := newFixture(t, []string{"e1", "e2"}, 1, addr)
	e1 := f.network.dialers["e1"]
	e1.options.Connect = func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := e1.Dial(context.Background(), addr)
	is.NoErr(err)
	defer conn.Close()
	relayed, ok := conn.(interface{ Relay() string })
	is.True(ok)
	is.Equal(relayed.Relay(), "e2")
	e1.mu.Lock()
	defer e1.mu.Unlock()
	is.Equal(len(e1.path.failures), 1) // it counts for the belief that this VM is cut off
}

// A server that is down is refused by the relay as well; no relay is held to have failed.
func TestServerThatIsDownIsNotHeldAgainstRelays(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := listener.Addr().String()
	listener.Close()
	f := newFixture(t, []string{"e1", "e2", "e3"}, 0, addr)
	e1 := f.network.dialers["e1"]
	_, err = e1.Dial(context.Background(), addr)
	is.True(err != nil)
	is.Equal(len(e1.failedRelays), 0)
	is.True(!e1.CutOff())
}

func TestEntryWithoutAnyWayIsNotReady(t *testing.T) {
	is := is.New(t)
	addr := startServer(t, func(http.ResponseWriter, *http.Request) {})
	f := newFixture(t, []string{"e1", "e2"}, 2, addr)
	e1 := f.network.dialers["e1"]
	e1.probe()
	e1.probe()
	is.True(e1.CutOff())
	is.NoErr(e1.Check())
	_, err := e1.Dial(context.Background(), addr)
	is.True(errors.Is(err, errCut))
	e1.mu.Lock()
	is.True(e1.path.relaysFail(time.Now().Add(relaySilence + time.Millisecond)))
	e1.mu.Unlock()
}

// A server resets its connection while an upload through a relay is being written. The relay must not
// pass that on as the server's regular end, and what the server has sent before still arrives.
func TestResetDuringAnUploadThroughARelayIsNoRegularEnd(t *testing.T) {
	uploadThroughRelay(t, func(conn *net.TCPConn) { conn.SetLinger(0) }, func(err error) bool { return err != nil })
}

func TestServersEndDuringAnUploadThroughARelayIsRegular(t *testing.T) {
	uploadThroughRelay(t, func(conn *net.TCPConn) {
		conn.CloseWrite()
		io.Copy(io.Discard, conn)
	}, func(err error) bool { return err == nil })
}

// uploadThroughRelay uploads to servers that end their connections after a part, sooner and later.
func uploadThroughRelay(t *testing.T, end func(*net.TCPConn), want func(error) bool) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for delay := time.Duration(0); ; delay += time.Millisecond {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				// A reset that comes before the relay has seen its connection open is a failure to connect.
				io.ReadFull(conn, make([]byte, 1))
				io.WriteString(conn, "part")
				time.Sleep(delay)
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	addr := listener.Addr().String()
	f := newFixture(t, []string{"e1", "e2"}, 1, addr)
	for range 25 {
		is := is.New(t)
		conn, err := f.network.dialers["e1"].Dial(context.Background(), addr)
		is.NoErr(err)
		go conn.Write(make([]byte, 16<<20))
		data, err := io.ReadAll(conn)
		conn.Close()
		is.True(want(err))
		is.Equal(string(data), "part")
	}
}

// Guards against entries that take themselves for cut off, and serve nobody, because their links are full of
// bodies for a moment (SHORT after a power loss).
func TestEntryOnAFullLinkIsNotCutOff(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	servers := []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80"}
	slow := func(ctx context.Context, _ string) (net.Conn, error) {
		select {
		case <-time.After(2 * connectTimeout):
			conn, _ := net.Pipe()
			return conn, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	d := New(nil, VM("e1"), Servers(func() []string { return slices.Clone(servers) }, nil), Connect(slow),
		Changed(func(bool) {}), CloseIdle(func() {}), QuietAfter(func() time.Duration { return time.Hour }),
		Members(func() []fleet.Member { return nil }))
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(Period) {
		for _, addr := range servers[:2] {
			d.noteSlow(addr) // requests find the same
		}
		d.Tick(time.Now())
		is.True(!d.CutOff())
	}
}
