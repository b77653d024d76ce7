package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"

	"github.com/go-faster/errors"

	"github.com/dottereldeal/dottereldeal/fleet"
)

// dialTunnel connects to a backend server through one relay after another.
func (d *Dialer) dialTunnel(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	failure := ErrNoRelay
	var tried []string
	for range maxRelays {
		vm, ok := d.chooseRelay(tried)
		if !ok {
			break
		}
		tried = append(tried, vm)
		conn, err := d.openTunnel(ctx, vm, addr)
		d.recordTunnel(vm, err)
		if err == nil {
			return conn, nil
		}
		failure = errors.Wrap(err, vm)
		if ctx.Err() != nil {
			break
		}
	}
	return nil, failure
}

// canRelay reports whether a member is believed to reach the backend servers.
func canRelay(m fleet.Member) bool { return m.Eligible() && !m.CutOff }

// chooseRelay returns an entry that is believed to reach the backend servers and has not been
// tried.
func (d *Dialer) chooseRelay(tried []string) (string, bool) {
	members := d.options.Members()
	now := d.options.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var usable, near []string
	for _, m := range members {
		failed, known := d.failedRelays[m.VM]
		if m.VM != d.options.VM && canRelay(m) && !slices.Contains(tried, m.VM) && (!known || now.Sub(failed) >= relayFailureTTL) {
			usable = append(usable, m.VM)
			if m.DataCentre == d.options.DataCentre {
				near = append(near, m.VM)
			}
		}
	}
	if len(near) > 0 {
		usable = near
	}
	d.preferred = slices.DeleteFunc(d.preferred, func(vm string) bool { return !slices.Contains(usable, vm) })
	// A relay that has just worked comes first while this VM depends on it.
	dependent := d.path.cutOff && len(tried) == 0 && len(d.preferred) > 0
	if dependent || len(d.preferred) >= preferredRelays {
		usable = d.preferred
	}
	if len(usable) == 0 {
		return "", false
	}
	return usable[rand.IntN(len(usable))], true
}

// recordTunnel notes whether a relay has connected to a server.
func (d *Dialer) recordTunnel(vm string, err error) {
	now := d.options.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.path.relayFailed(now)
		d.preferred = slices.DeleteFunc(d.preferred, func(other string) bool { return other == vm })
		if !errors.Is(err, ErrUnreachable) {
			// That a relay does not reach one server says little about it.
			d.failedRelays[vm] = now
		}
		return
	}
	delete(d.failedRelays, vm)
	d.path.relayed()
	if len(d.preferred) < preferredRelays && !slices.Contains(d.preferred, vm) {
		d.preferred = append(d.preferred, vm)
	}
}
