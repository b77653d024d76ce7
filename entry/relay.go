package entry

import (
	"net"
	"time"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/pick"
	"github.com/dottereldeal/dottereldeal/relay"
)

const (
	// quietFactor is the multiple of the hedge delay after which an entry without any answer
	// looks whether it is cut off from the backend servers.
	quietFactor   = 1.5
	minQuietAfter = 400 * time.Millisecond
	maxQuietAfter = 1500 * time.Millisecond
)

func (e *Entry) relayOptions() []relay.Option {
	return []relay.Option{
		relay.VM(e.options.VM), relay.DataCentre(e.options.DataCentre), relay.Members(func() []fleet.Member { return e.fleet.Members() }),
		relay.Servers(e.serverAddrs, e.isServerAddr), relay.QuietAfter(e.quietAfter),
		relay.Changed(e.fleet.SetCutOff), relay.CloseIdle(func() { e.proxy.CloseIdle() }),
		relay.Connect(e.options.Connect), relay.Clock(e.options.Clock), relay.EventLog(e.options.EventLog),
	}
}

// serveTunnel connects another entry, which is cut off, to a backend server.
func (e *Entry) serveTunnel(from, addr string, conn net.Conn) {
	<-e.assembled
	e.relay.Serve(from, addr, conn)
}

// serverAddrs returns the addresses of the backend servers that may receive requests.
func (e *Entry) serverAddrs() []string {
	directory, current := e.fleet.Directory(), e.State()
	var addrs []string
	for _, name := range directory.Pools() {
		for _, t := range pick.Eligible(directory.Pool(name), current) {
			addrs = append(addrs, t.Addr)
		}
	}
	return addrs
}

// isServerAddr reports whether an address is that of a known backend server.
func (e *Entry) isServerAddr(addr string) bool {
	directory := e.fleet.Directory()
	for _, name := range directory.Pools() {
		for _, t := range directory.Pool(name) {
			if t.Addr == addr {
				return true
			}
		}
	}
	return false
}

// quietAfter returns the time after which an answer is later than usual in every pool.
func (e *Entry) quietAfter() time.Duration {
	var longest time.Duration
	for _, settings := range e.config.Load().Pools {
		longest = max(longest, e.pools.HedgeDelay(settings.Name))
	}
	if longest == 0 {
		return maxQuietAfter
	}
	return min(max(time.Duration(quietFactor*float64(longest)), minQuietAfter), maxQuietAfter)
}

// CutOff reports whether this VM reaches no backend servers by itself.
func (e *Entry) CutOff() bool { return e.relay.CutOff() }
