// Package meter registers the Prometheus metrics of a process. Metric names start
// with "dottereldeal_", use base units and end in "_total" for counters. Labels must
// have few values: never workspaces, keys or callers.
//
// # Usage
//
//	m := meter.New()
//	refused := m.CounterVec("requests_refused_total", "Requests refused, by reason.", "reason")
//	refused.WithLabelValues("no-route").Inc()
package meter

import (
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

const namespace = "dottereldeal"

// Meter creates metrics in the registry of a process.
type Meter struct {
	registry *prometheus.Registry
	factory  promauto.Factory
}

// New returns a Meter whose registry holds the metrics of the Go runtime and the process.
func New() *Meter {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return &Meter{registry: registry, factory: promauto.With(registry)}
}

// ProcessorTime returns the processor time that this process has used.
func ProcessorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Gatherer returns the source of the /metrics page.
func (m *Meter) Gatherer() prometheus.Gatherer { return m.registry }

// Counter registers a counter without labels.
func (m *Meter) Counter(name, help string) prometheus.Counter {
	return m.factory.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

// CounterVec registers a counter with labels.
func (m *Meter) CounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return m.factory.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// CounterFunc registers a counter whose value read returns on each scrape.
func (m *Meter) CounterFunc(name, help string, read func() float64) {
	m.factory.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, read)
}

// GaugeFunc registers a gauge whose value read returns on each scrape.
func (m *Meter) GaugeFunc(name, help string, read func() float64) {
	m.factory.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read)
}

// Histogram registers a histogram of durations in seconds.
func (m *Meter) Histogram(name, help string, buckets []float64) prometheus.Histogram {
	return m.factory.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: buckets,
	})
}
