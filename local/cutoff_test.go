package local_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/entry"
	"github.com/dottereldeal/dottereldeal/local"
	"github.com/dottereldeal/dottereldeal/pool"
)

// cutKind is what happens to the connections of an entry that is cut off.
type cutKind string

const (
	cutNone cutKind = "none"
	// cutHang lets old connections hang and new ones too.
	cutHang cutKind = "hang"
	// cutReset resets old connections, and new ones hang.
	cutReset cutKind = "reset"
	// cutRefuse lets old connections live on, and refuses new ones.
	cutRefuse cutKind = "refuse"
)

// cut is the network between one entry and all backend servers.
type cut struct {
	mu      sync.Mutex
	kind    cutKind
	changed chan struct{}
	conns   []*cutConn
}

// cutConn is a connection across the cut.
type cutConn struct {
	net.Conn
	cut *cut
}

func newCut() *cut { return &cut{kind: cutNone, changed: make(chan struct{})} }

func (c *cut) set(kind cutKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kind = kind
	close(c.changed)
	c.changed = make(chan struct{})
	for _, conn := range c.conns {
		if kind == cutReset {
			conn.Conn.Close()
		}
	}
}

// wait waits until connections pass the cut, or the context ends.
func (c *cut) wait(ctx context.Context, open func(cutKind) bool) error {
	for {
		c.mu.Lock()
		kind, changed := c.kind, c.changed
		c.mu.Unlock()
		if open(kind) {
			return nil
		}
		if kind == cutRefuse {
			return errors.New("connection refused")
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *cut) connect(ctx context.Context, addr string) (net.Conn, error) {
	if err := c.wait(ctx, func(kind cutKind) bool { return kind == cutNone }); err != nil {
		return nil, err
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	wrapped := &cutConn{conn, c}
	c.conns = append(c.conns, wrapped)
	return wrapped, nil
}

// Write loses what is sent while the connection hangs.
func (c *cutConn) Write(p []byte) (int, error) {
	c.cut.mu.Lock()
	hangs := c.cut.kind == cutHang
	c.cut.mu.Unlock()
	if hangs {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// An entry that lost its links to all backend servers served nothing, though others reached them.
func TestEntriesThatAreCutOffFromAllServersServeThroughOthers(t *testing.T) {
	for _, kind := range []cutKind{cutHang, cutReset, cutRefuse} {
		t.Run(string(kind), func(t *testing.T) { testCutOff(t, kind) })
	}
}

func testCutOff(t *testing.T, kind cutKind) {
	is := is.New(t)
	network := newCut()
	f, err := local.Start(local.Controls(1), local.Entries(2, "d1"), local.Folder(t.TempDir()), local.EntryOptions(entry.Placement(pool.PlacementHolder)))
	is.NoErr(err)
	f.Configure(entry.Connect(network.connect))
	for i := range 2 {
		_, err := f.AddEntry(fmt.Sprint("cut", i), "d1")
		is.NoErr(err)
	}
	s := startPool(t, f, 6)
	served := func(span time.Duration) (ok, all int) {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			for _, vm := range []string{"cut0", "cut1", "e1"} {
				for method, path := range map[string]string{http.MethodGet: "/get/1", http.MethodPost: "/once/1"} {
					result, err := s.send(s.ctx, vm, method, path, "key-east")
					is.NoErr(err)
					all++
					if result.status == http.StatusOK && result.bodyMatches {
						ok++
					}
				}
			}
		}
		return ok, all
	}
	network.set(kind)
	// The rule leaves the entry three seconds to notice.
	served(3 * time.Second)
	ok, all := served(2 * time.Second)
	if ok < all*98/100 {
		t.Errorf("%d of %d requests were served while two of four entries were cut off", ok, all)
	}
	network.set(cutNone)
	served(3 * time.Second)
	ok, all = served(time.Second)
	is.Equal(ok, all)
	for _, vm := range []string{"cut0", "cut1"} {
		is.True(!s.entry(vm).CutOff())
	}
}
