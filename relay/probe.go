package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/event"
	"github.com/dottereldeal/dottereldeal/fleet"
)

// relays are the entries that can relay, and the number of others that are cut off.
type relays struct {
	usable map[string]bool
	cutOff int
}

// relaysAmong returns the relays that a VM has among the members of the fleet.
func relaysAmong(members []fleet.Member, vm string) relays {
	known := relays{usable: make(map[string]bool)}
	for _, m := range members {
		known.usable[m.VM] = canRelay(m)
		if m.CutOff && m.VM != vm {
			known.cutOff++
		}
	}
	return known
}

// Tick finds out whether this VM is cut off, and drops idle tunnels through entries that stop.
func (d *Dialer) Tick(now time.Time) {
	members := d.options.Members()
	quietAfter := d.options.QuietAfter()
	d.mu.Lock()
	known := d.relays.Of(members)
	lost := false
	for vm := range d.open {
		lost = lost || !known.usable[vm]
	}
	for vm, at := range d.failedRelays {
		if now.Sub(at) >= relayFailureTTL {
			delete(d.failedRelays, vm)
		}
	}
	suspicious := d.quietLocked(quietAfter, now) || known.cutOff > d.othersCutOff
	d.othersCutOff = known.cutOff
	probe := d.path.probeDue(suspicious, now)
	d.mu.Unlock()
	if lost {
		d.options.CloseIdle()
	}
	if probe {
		go d.probe()
	}
}

// probe dials a few servers at once, and decides by that whether this VM is cut off.
func (d *Dialer) probe() {
	addrs := d.options.Servers()
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	count := d.probeCount()
	addrs = addrs[:min(len(addrs), count)]
	timeout := connectTimeout
	if count > 1 {
		timeout = confirmTimeout
	}
	results := make(chan error, len(addrs))
	for _, addr := range addrs {
		go func() {
			conn, err := d.connect(context.Background(), addr, timeout)
			if err == nil {
				conn.Close()
			}
			results <- err
		}()
	}
	reached, timedOut := 0, false
	for range addrs {
		err := <-results
		if err == nil {
			reached++
		}
		var netErr net.Error
		timedOut = timedOut || errors.As(err, &netErr) && netErr.Timeout()
	}
	d.mu.Lock()
	changed := d.path.probed(len(addrs), reached, d.options.Clock.Now())
	cutOff := d.path.cutOff
	d.mu.Unlock()
	if changed {
		d.announce(cutOff, timedOut)
	}
}

// probeCount returns the number of servers to dial. One is enough while nothing is known to be
// wrong, and to see whether a cut has ended.
func (d *Dialer) probeCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.path.probeCount()
}

// announce tells all entries whether this one is cut off.
func (d *Dialer) announce(cutOff, silent bool) {
	if !cutOff {
		d.options.EventLog.Record(event.BackendsReached, d.options.VM, "")
		d.options.Changed(false)
		return
	}
	d.options.EventLog.Record(event.BackendsLost, d.options.VM, d.detail())
	d.options.Changed(true)
	if silent {
		// Idle connections lead nowhere. If new connections are refused instead, old ones may
		// well go on.
		d.options.CloseIdle()
	}
}

func (d *Dialer) detail() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.path.reason
}
