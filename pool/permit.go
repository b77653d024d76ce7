package pool

import (
	"context"
	"time"

	"github.com/dottereldeal/dottereldeal/sched"
	"github.com/dottereldeal/dottereldeal/wire"
)

const (
	// permitRequestTimeout is the time after which an unanswered permit request is repeated.
	permitRequestTimeout = 200 * time.Millisecond
	// permitRetryInterval is the pause after a permit request that was not granted.
	permitRetryInterval = 50 * time.Millisecond
	// maxPermitWait limits how long a request waits for a permit if there is no warm backend
	// server.
	maxPermitWait = time.Second
)

// permits holds the permits of this VM for one pool.
type permits struct {
	// target is the server of the permit at hand, which is valid for one request until
	// expires.
	target      string
	expires     time.Time
	requestedAt time.Time
	nextRequest time.Time
	finished    []finishedPermit
	unused      []string
	ready       chan struct{} // closed when a permit comes
}

// finishedPermit is a used permit that has to be returned to the holder.
type finishedPermit struct {
	target  string
	success bool
}

// take consumes the permit at hand, if it is still valid.
func (p *permits) take(now time.Time) (string, bool) {
	if p.target == "" {
		return "", false
	}
	target := p.target
	p.target = ""
	if !now.Before(p.expires) {
		p.unused = append(p.unused, target)
		return "", false
	}
	return target, true
}

// requestPermit asks the holder for a permit if none is at hand or requested, and
// returns the finished and unused ones.
func (b *Balancer) requestPermit(cs *cellState, want bool, now time.Time) {
	want = want && cs.permits.target == "" && !now.Before(cs.permits.nextRequest)
	if want && now.Sub(cs.permits.requestedAt) < permitRequestTimeout {
		want = false
	}
	if !want && len(cs.permits.finished)+len(cs.permits.unused) == 0 {
		return
	}
	m := &wire.PermitAsk{Pool: cs.name, Want: want, Unused: cs.permits.unused}
	for _, d := range cs.permits.finished {
		m.Done = append(m.Done, d.target)
		m.Well = append(m.Well, d.success)
	}
	cs.permits.finished, cs.permits.unused = nil, nil
	if want {
		cs.permits.requestedAt = now
	}
	if h := b.localHolder(cs.name); h != nil {
		cs.storePermit(b.answerPermit(h, m, now), now)
		return
	}
	if holder, ok := b.leases.Holder(LeaseName(cs.name)); ok && holder != b.options.VM {
		b.link.Send(holder, &wire.Envelope{Body: &wire.Envelope_PermitAsk{PermitAsk: m}})
	}
}

// answerPermit takes back the returned permits and grants a new one if available.
func (b *Balancer) answerPermit(h *sched.Holder, m *wire.PermitAsk, now time.Time) *wire.PermitAnswer {
	successes := m.GetWell()
	for i, target := range m.GetDone() {
		h.PermitDone(target, i < len(successes) && successes[i], now)
	}
	for _, target := range m.GetUnused() {
		h.ReturnPermit(target)
	}
	answer := &wire.PermitAnswer{Pool: m.GetPool(), LifetimeMicros: uint64(sched.PermitLifetime.Microseconds())}
	if !m.GetWant() {
		return answer
	}
	if target, ok := h.Permit(now); ok {
		answer.Target = target
	}
	return answer
}

func (b *Balancer) receivePermitAsk(from string, m *wire.PermitAsk, now time.Time) {
	b.mu.Lock()
	h := b.localHolder(m.GetPool())
	answer := &wire.PermitAnswer{Pool: m.GetPool(), NotHolder: true}
	if h != nil {
		answer = b.answerPermit(h, m, now)
	}
	b.mu.Unlock()
	if m.GetWant() {
		b.link.Send(from, &wire.Envelope{Body: &wire.Envelope_PermitAnswer{PermitAnswer: answer}})
	}
}

func (b *Balancer) receivePermitAnswer(m *wire.PermitAnswer, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cellState(m.GetPool()).storePermit(m, now)
}

// storePermit stores a granted permit. Its lifetime starts with the request for it.
func (cs *cellState) storePermit(answer *wire.PermitAnswer, now time.Time) {
	requestedAt := cs.permits.requestedAt
	cs.permits.requestedAt = time.Time{}
	if answer.GetTarget() == "" {
		cs.permits.nextRequest = now.Add(permitRetryInterval)
		return
	}
	if cs.permits.target != "" {
		cs.permits.unused = append(cs.permits.unused, answer.GetTarget())
		return
	}
	cs.permits.target = answer.GetTarget()
	cs.permits.expires = requestedAt.Add(time.Duration(answer.GetLifetimeMicros()) * time.Microsecond)
	if cs.permits.ready != nil {
		close(cs.permits.ready)
		cs.permits.ready = nil
	}
}

// awaitPermit waits until a permit may be available. It reports false if the context
// ends first.
func (b *Balancer) awaitPermit(ctx context.Context, cs *cellState) bool {
	b.mu.Lock()
	if cs.permits.ready == nil {
		cs.permits.ready = make(chan struct{})
	}
	ready := cs.permits.ready
	b.mu.Unlock()
	timer := time.NewTimer(permitRetryInterval)
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
