package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/dottereldeal/dottereldeal/health"
)

// BenchmarkDecision measures one decision on an arrival while all slots are taken: whether it
// may wait, its place, and which request at the end of the queue gives up its own.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{100, 1000, 9900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			a := newAdmission()
			routes := []string{"refund", "lookup", "statement", "report"}
			for i, route := range routes {
				for range 20 {
					a.works.learn(route, time.Duration(50+100*i)*time.Millisecond, startTime)
				}
			}
			now := startTime
			id := uint64(0)
			next := func() Request {
				id++
				return Request{
					VM: "e", ID: id, Rank: int(id % 3), Route: routes[id%4], Workspace: benchWorkspaces[id%64],
					Objective: now.Add(time.Minute), Deadline: now.Add(2 * time.Minute),
				}
			}
			const slots = 400
			for a.order.len() < n {
				a.enqueue(a.judge(next(), slots, now))
			}
			b.ReportAllocs()
			waited := 0
			for b.Loop() {
				now = now.Add(2 * time.Millisecond)
				req := next()
				a.arrived(req, now)
				if v := a.judge(req, slots, now); v.wait {
					waited++
					a.enqueue(v)
				}
				a.displace(slots, now)
				a.decided(req, now)
				if a.order.len() > n {
					at, q := a.order.nth(0)
					a.drop(at, *q)
				}
			}
			b.ReportMetric(float64(waited)/float64(b.N), "waited/op")
			b.ReportMetric(float64(a.order.len()), "queued")
		})
	}
}

var benchWorkspaces = func() []string {
	var names []string
	for i := range 64 {
		names = append(names, fmt.Sprint("w", i))
	}
	return names
}()

// BenchmarkArrivalAtFullPool measures an arrival with the search for a server.
func BenchmarkArrivalAtFullPool(b *testing.B) {
	for _, mode := range []AdmissionMode{AdmissionRank, AdmissionWork} {
		b.Run(string(mode), func(b *testing.B) {
			s := newScheduler()
			if mode == AdmissionWork {
				s.admission = newAdmission()
			}
			view := poolView{ramp: func(string) *Ramp { return nil }, targets: newTargets(100)}
			now, id := startTime, uint64(0)
			place := func() Placement {
				id++
				return s.place(Request{VM: "e", ID: id, Workspace: benchWorkspaces[id%64], Route: "r", Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}, view, now)
			}
			for range 800 {
				place()
			}
			for b.Loop() {
				now = now.Add(time.Microsecond)
				if p := place(); p.Queued {
					s.done(p.Request.key(), health.Result{}, now)
				}
				s.displaced = nil
			}
		})
	}
}
