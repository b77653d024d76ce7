package proxy

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/dottereldeal/dottereldeal/meter"
)

// metrics holds the counters of the handler.
type metrics struct {
	requests  prometheus.Counter
	refused   *prometheus.CounterVec
	attempts  *prometheus.CounterVec
	retries   *prometheus.CounterVec
	truncated prometheus.Counter
	// misdirected counts attempts that found another server at the address.
	misdirected prometheus.Counter
	panics      prometheus.Counter
	// withheld counts responses that callers would take for the promise that the request has not run.
	withheld *prometheus.CounterVec
}

func newMetrics(m *meter.Meter) *metrics {
	return &metrics{
		requests:    m.Counter("requests_total", "Requests received from callers."),
		refused:     m.CounterVec("requests_refused_total", "Requests refused with a problem response, by kind.", "kind"),
		attempts:    m.CounterVec("attempts_total", "Attempts to send a request to a backend server, by result.", "result"),
		retries:     m.CounterVec("retries_total", "Retries and hedged attempts, by reason.", "reason"),
		truncated:   m.Counter("answers_cut_total", "Truncated responses, signalled to the caller by closing the connection."),
		misdirected: m.Counter("attempts_misdirected_total", "Attempts that found another server at the address."),
		panics:      m.Counter("panics_total", "Requests and attempts that ended in a panic."),
		withheld:    m.CounterVec("answers_withheld_total", "Responses of backend servers that callers would take for a promise that the request has not run, by status.", "status"),
	}
}
