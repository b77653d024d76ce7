package proxy_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/proxy"
)

// After a restart of the whole fleet the configuration arrives within half a second.
// Requests received before must wait for it instead of being refused.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	is := is.New(t)
	backend := startKeepAliveServer(t, nil)
	configured := make(chan struct{})
	serving := func() error {
		select {
		case <-configured:
			return nil
		default:
			return errors.New("nothing is configured yet")
		}
	}
	picker := &fixedPicker{targets: []fleet.Target{backend.target("b1")}}
	server := serve(t, picker, append(keepAliveOptions(), proxy.ServingCheck(serving), proxy.Configured(configured))...)
	time.AfterFunc(300*time.Millisecond, func() { close(configured) })
	response, body := sendNonIdempotent(t, server.URL, "one")
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(body, "first")
}

// If no configuration arrives, requests must be refused as not-run well before the
// caller's time-out.
func TestWaitForTheFirstConfigurationIsLimited(t *testing.T) {
	is := is.New(t)
	headers := proxy.DefaultHeaders()
	headers.CallerDeadline = "X-Deadline"
	serving := func() error { return errors.New("nothing is configured yet") }
	server := serve(t, &fixedPicker{}, proxy.ServingCheck(serving), proxy.Configured(make(chan struct{})), proxy.HeaderNames(headers))
	start := time.Now()
	response := send(t, http.MethodGet, server.URL+"/read/1", nil, http.Header{"X-Deadline": {"800"}})
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get(proxy.OutcomeHeader), string(proxy.NotRun))
	is.True(time.Since(start) < 600*time.Millisecond) // the caller waits for 800 ms
}

// An entry that lacks an accepted change may not know a key or a route that others know. Its
// callers are told to come back, and not that there is no such key.
func TestOutdatedConfigurationCallsNoKeyOrRouteUnknown(t *testing.T) {
	is := is.New(t)
	current := false
	check := proxy.CurrentCheck(func() error {
		if current {
			return nil
		}
		return errors.New("a change has not arrived")
	})
	server := serve(t, &fixedPicker{}, check)
	requests := map[string]http.Header{"/read/1": {"Authorization": {"Bearer added"}}, "/added/1": nil}
	statuses := map[string]int{"/read/1": http.StatusUnauthorized, "/added/1": http.StatusNotFound}
	for path, header := range requests {
		current = false
		response := send(t, http.MethodGet, server.URL+path, nil, header)
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.Equal(response.Header.Get(proxy.OutcomeHeader), string(proxy.NotRun))
		is.True(response.Header.Get("Retry-After") != "")
		current = true
		is.Equal(send(t, http.MethodGet, server.URL+path, nil, header).StatusCode, statuses[path])
	}
}
