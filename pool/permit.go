package pool

import (
	"context"
	"time"

	"github.com/dottereldeal/dottereldeal/wire"
)

const (
	// permitAskTimeout is the time after which an unanswered ask is repeated.
	permitAskTimeout = 200 * time.Millisecond
	// permitPause is the wait after an ask for which there was no permit.
	permitPause = 50 * time.Millisecond
	// permitWait bounds how long a request waits for a permit if there is no warm
	// backend server.
	permitWait = time.Second
)

// permits is this VM's side of one pool's permits.
type permits struct {
	// target may get one request until the instant.
	target string
	until  time.Time
	asked  time.Time
	next   time.Time
	done   []doneWith
	unused []string
	ready  chan struct{} // closed when a permit comes
}

// doneWith is a permit to give back.
type doneWith struct {
	target string
	well   bool
}

// take uses the permit at hand.
func (m *permits) take(now time.Time) (string, bool) {
	if m.target == "" {
		return "", false
	}
	target := m.target
	m.target = ""
	if !now.Before(m.until) {
		m.unused = append(m.unused, target)
		return "", false
	}
	return target, true
}

// askPermit asks for a permit if none is at hand or asked for, and gives back
// those that are done with.
func (p *Balancer) askPermit(m *member, want bool, now time.Time) {
	want = want && m.permits.target == "" && !now.Before(m.permits.next)
	if want && now.Sub(m.permits.asked) < permitAskTimeout {
		want = false
	}
	if !want && len(m.permits.done)+len(m.permits.unused) == 0 {
		return
	}
	ask := &wire.PermitAsk{Pool: m.name, Want: want, Unused: m.permits.unused}
	for _, d := range m.permits.done {
		ask.Done = append(ask.Done, d.target)
		ask.Well = append(ask.Well, d.well)
	}
	m.permits.done, m.permits.unused = nil, nil
	if want {
		m.permits.asked = now
	}
	if h := p.holding(m.name); h != nil {
		m.takePermit(p.answerPermit(h, ask, now), now)
		return
	}
	if holder, ok := p.leases.Holder(LeaseName(m.name)); ok && holder != p.options.VM {
		p.link.Send(holder, &wire.Envelope{Body: &wire.Envelope_PermitAsk{PermitAsk: ask}})
	}
}

// answerPermit takes permits back and gives one if there is one.
func (p *Balancer) answerPermit(h *holder, m *wire.PermitAsk, now time.Time) *wire.PermitAnswer {
	well := m.GetWell()
	for i, target := range m.GetDone() {
		h.done(target, i < len(well) && well[i], now)
	}
	for _, target := range m.GetUnused() {
		h.returned(target)
	}
	answer := &wire.PermitAnswer{Pool: m.GetPool(), LifetimeMicros: uint64(permitLife.Microseconds())}
	if !m.GetWant() {
		return answer
	}
	if target, ok := h.permit(now); ok {
		answer.Target = target
	}
	return answer
}

func (p *Balancer) receivePermitAsk(from string, m *wire.PermitAsk, now time.Time) {
	p.mu.Lock()
	h := p.holding(m.GetPool())
	answer := &wire.PermitAnswer{Pool: m.GetPool(), NotHolder: true}
	if h != nil {
		answer = p.answerPermit(h, m, now)
	}
	p.mu.Unlock()
	if m.GetWant() {
		p.link.Send(from, &wire.Envelope{Body: &wire.Envelope_PermitAnswer{PermitAnswer: answer}})
	}
}

func (p *Balancer) receivePermitAnswer(m *wire.PermitAnswer, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.member(m.GetPool()).takePermit(m, now)
}

// takePermit stores a permit. Its life counts from the asking.
func (m *member) takePermit(answer *wire.PermitAnswer, now time.Time) {
	asked := m.permits.asked
	m.permits.asked = time.Time{}
	if answer.GetTarget() == "" {
		m.permits.next = now.Add(permitPause)
		return
	}
	if m.permits.target != "" {
		m.permits.unused = append(m.permits.unused, answer.GetTarget())
		return
	}
	m.permits.target = answer.GetTarget()
	m.permits.until = asked.Add(time.Duration(answer.GetLifetimeMicros()) * time.Microsecond)
	if m.permits.ready != nil {
		close(m.permits.ready)
		m.permits.ready = nil
	}
}

// awaitPermit waits until a permit may have come.
func (p *Balancer) awaitPermit(ctx context.Context, m *member) bool {
	p.mu.Lock()
	if m.permits.ready == nil {
		m.permits.ready = make(chan struct{})
	}
	ready := m.permits.ready
	p.mu.Unlock()
	timer := time.NewTimer(permitPause)
	defer timer.Stop()
	select {
	case <-ready:
		return true
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
