package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	host = "ficu95.example"
	key  = "i9n73hh2b9wu3fexd9dn"
)

// evacuation checks that an evacuation that was acknowledged stays in force: the operator
// evacuates a zone, takes that back and evacuates it again, while a control machine that does not
// lead is frozen. The order to take the evacuation back is sent to that machine first.
func evacuation(p *play) (verdict, error) {
	if err := p.begin(config, serviceSpec{name: "huvo11a", targets: 9, slots: 4, work: 100 * time.Millisecond}); err != nil {
		return verdict{}, err
	}
	frozen, other, err := p.follower()
	if err != nil {
		return verdict{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newClients(p.fleet, host, key, p.record)
	c.traffic(ctx, http.MethodGet, "/lohu930/", 30, 1200*time.Millisecond)
	op := operator{p.fleet, p.record}
	const zone = "kagoshima"
	const limit = ack
	if _, err := op.order(names.Evacuate+zone, "", other, limit); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	p.freeze(frozen)
	frozenAt := time.Now()
	time.Sleep(100 * time.Millisecond)
	if _, err := op.order(names.TakeBack+zone, "", frozen, limit); err != nil {
		return verdict{}, err
	}
	// Copies of an order are sent for at most ack; later ones than these must not come any more.
	time.Sleep(time.Until(frozenAt.Add(100*time.Millisecond + ack + 500*time.Millisecond)))
	acked, err := op.order(names.Evacuate+zone, "", other, limit)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Until(frozenAt.Add(6 * time.Second)))
	p.thaw(frozen)
	from, to := acked.Add(evacuate+maxStretch), acked.Add(evacuate+maxStretch+10*time.Second)
	time.Sleep(time.Until(to))
	cancel()
	c.group.Wait()
	c.writeAll()
	p.writeArrivals()
	late := 0
	for _, t := range p.targets {
		if t.zone != zone {
			continue
		}
		late += len(t.ranAfter(from, to))
	}
	text := fmt.Sprintf("%d requests ran at targets in %s between %.1f s and %.1f s; its evacuation was acknowledged at %.1f s and not taken back",
		late, zone, p.record.since(from), p.record.since(to), p.record.since(acked))
	return verdict{broken: late > 0, text: text}, nil
}

// deregister checks that a target that starts again under its id serves: the targets of a service
// are replaced, the first of them while a control machine that does not lead is frozen. It is the one that the
// first target has registered with so far.
func deregister(p *play) (verdict, error) {
	if err := p.begin(config, serviceSpec{name: "huvo11a", targets: 3, slots: 4, work: 200 * time.Millisecond}); err != nil {
		return verdict{}, err
	}
	frozen, other, err := p.follower()
	if err != nil {
		return verdict{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newClients(p.fleet, host, key, p.record)
	c.traffic(ctx, http.MethodGet, "/lohu930/", 48, 1200*time.Millisecond)
	time.Sleep(3 * time.Second)
	t := p.targets[0]
	t.setNode(p.fleet.addr(frozen, "control"))
	t.setState("draining")
	t.register()
	time.Sleep(drain + 500*time.Millisecond)
	p.freeze(frozen)
	frozenAt := time.Now()
	time.Sleep(100 * time.Millisecond)
	t.setSilent(true)
	t.deregister()
	t.end("has left")
	time.Sleep(500 * time.Millisecond)
	t.setSilent(false)
	// The new start knows nothing of before; the node that it happens to call first is awake.
	t.setNode(p.fleet.addr(other, "control"))
	if err := t.start(); err != nil {
		return verdict{}, err
	}
	started := time.Now()
	time.Sleep(time.Until(frozenAt.Add(3500 * time.Millisecond)))
	p.thaw(frozen)
	thawed := time.Now()
	from := started.Add(2 * contact)
	if after := thawed.Add(2 * contact); after.After(from) {
		from = after
	}
	to := from.Add(10 * time.Second)
	time.Sleep(time.Until(to))
	cancel()
	c.group.Wait()
	c.writeAll()
	p.writeArrivals()
	windows, text := p.floorWindows(c, from, to)
	return verdict{broken: windows > 0, text: text}, nil
}

// floorWindows returns the number of windows of 2 s in which the rule FLOOR was broken, and says what
// was seen. All targets must be sound from the first to the last.
func (p *play) floorWindows(c *clients, from, to time.Time) (windows int, text string) {
	text = "enough targets get requests"
	for at := from; !at.Add(2 * time.Second).After(to); at = at.Add(500 * time.Millisecond) {
		end := at.Add(2 * time.Second)
		used := 0
		for _, t := range p.targets {
			if len(t.ranAfter(at, end)) > 0 {
				used++
			}
		}
		asked, unserved := 0, 0
		for _, a := range c.between(at, end) {
			asked++
			if a.status != 200 {
				unserved++
			}
		}
		p.record.logf("window from %.1f s: %d of %d targets get requests, %d of %d requests not served", p.record.since(at), used, len(p.targets), unserved, asked)
		share := float64(unserved) / float64(max(1, asked))
		if used > 0 && float64(used) < floorShare*float64(len(p.targets)) && share > 0.1 && share < 0.5 {
			windows++
			text = fmt.Sprintf("in %d windows of 2 s, the last from %.1f s, %d of %d sound targets got requests and %.0f%% of the requests were not served",
				windows, p.record.since(at), used, len(p.targets), 100*share)
		}
	}
	return windows, text
}

// crashing checks that a request that crashes the targets that run it is kept from them. Its body
// arrives a little after its head.
func crashing(p *play) (verdict, error) { return p.crashing(100 * time.Millisecond) }

// crashingNow is the same without the pause before the body; the rule holds then.
func crashingNow(p *play) (verdict, error) { return p.crashing(0) }

func (p *play) crashing(pause time.Duration) (verdict, error) {
	if err := p.begin(config, serviceSpec{name: "huvo11a", targets: 6, slots: 4, work: 100 * time.Millisecond}); err != nil {
		return verdict{}, err
	}
	const path = "/pule252/2f"
	for _, t := range p.targets {
		if p.trouble {
			t.crashPath = path
		}
		t.restartAfter(2 * time.Second)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newClients(p.fleet, host, key, p.record)
	c.traffic(ctx, http.MethodGet, "/lohu930/", 30, 1200*time.Millisecond)
	c.traffic(ctx, http.MethodPost, "/pufi791/", 30, 1500*time.Millisecond)
	began := time.Now()
	body := strings.Repeat("licence scan ", 6000)
	for i := 0; time.Since(began) < 30*time.Second; i++ {
		m := p.fleet.entries[i%len(p.fleet.entries)]
		a := c.upload(m, path, body, pause)
		p.record.logAt(a.sent, "client: upload %s of %d bytes to %s: %d after %s", a.id, len(body), m.name, a.status, a.took.Round(time.Millisecond))
		time.Sleep(time.Second)
	}
	cancel()
	c.group.Wait()
	c.writeAll()
	p.writeArrivals()
	var crashes, runs []time.Time
	for _, t := range p.targets {
		t.mu.Lock()
		crashes = append(crashes, t.crashes...)
		for _, a := range t.arrivals {
			if a.path == path {
				runs = append(runs, a.at)
			}
		}
		t.mu.Unlock()
	}
	sortTimes(crashes)
	sortTimes(runs)
	lost := 0
	for _, a := range c.between(began, time.Now()) {
		if strings.HasPrefix(a.path, "/pufi791/") && a.status != 200 && a.status != 503 {
			lost++
		}
	}
	if len(crashes) < 3 {
		return verdict{text: fmt.Sprintf("%d crashes, the request reached targets %d times", len(crashes), len(runs))}, nil
	}
	from := crashes[2].Add(contact)
	late := 0
	for _, at := range runs {
		if at.After(from) {
			late++
		}
	}
	text := fmt.Sprintf("the request reached targets %d times later than %s after it had crashed the third at %.1f s; %d crashes in all; %d unsafe requests of others got neither a success nor a promise",
		late, contact, p.record.since(crashes[2]), len(crashes), lost)
	return verdict{broken: late > 3, text: text}, nil
}

// founding checks that a new system accepts its first configuration. Its machines start within
// 0.3 s of each other; one of the three seeds is killed 150 ms after its start, and its process is
// started again a second later with the settings of a restart.
func founding(p *play) (verdict, error) {
	first := p.fleet.controls[2]
	if err := p.fleet.startMachine(first, true); err != nil {
		return verdict{}, err
	}
	p.record.logf("platform: %s starts, bootstrap true", first.name)
	time.Sleep(150 * time.Millisecond)
	if p.trouble {
		p.fleet.kill(first)
	}
	time.Sleep(100 * time.Millisecond)
	for _, m := range p.fleet.machines() {
		if m == first {
			continue
		}
		if err := p.fleet.startMachine(m, true); err != nil {
			return verdict{}, err
		}
	}
	p.record.logf("platform: all other machines start, bootstrap true")
	time.Sleep(900 * time.Millisecond)
	if p.trouble {
		if err := p.fleet.startMachine(first, false); err != nil {
			return verdict{}, err
		}
		p.record.logf("platform: %s starts again, bootstrap false", first.name)
	}
	stable := time.Now().Add(contact)
	op := operator{p.fleet, p.record}
	acked, err := op.order(names.Configure, config, nil, 60*time.Second)
	if err != nil {
		return verdict{broken: true, text: fmt.Sprintf("no acknowledgement in %.0f s in which the core was stable; the bound is %s", time.Since(stable).Seconds(), ack)}, nil
	}
	return verdict{text: fmt.Sprintf("acknowledged at %.1f s; the core was stable from %.1f s on", p.record.since(acked), p.record.since(stable))}, nil
}
