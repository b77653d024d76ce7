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

// The whole fleet has started again and gets its configuration in half a second.
// Requests of that time are answered then, and not refused.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	is := is.New(t)
	k := startKeeper(t, nil)
	first := make(chan struct{})
	serving := func() error {
		select {
		case <-first:
			return nil
		default:
			return errors.New("nothing is configured yet")
		}
	}
	picker := &fixedPicker{targets: []fleet.Target{k.target("b1")}}
	server := serve(t, picker, append(keptOptions(), proxy.ServingCheck(serving), proxy.Configured(first))...)
	time.AfterFunc(300*time.Millisecond, func() { close(first) })
	response, body := askOnce(t, server.URL, "one")
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(body, "first")
}

// Without a configuration for longer, requests are refused well before their time is
// up, as not run.
func TestRequestsDoNotWaitLongForAConfiguration(t *testing.T) {
	is := is.New(t)
	headers := proxy.DefaultHeaders()
	headers.CallerDeadline = "X-Deadline"
	serving := func() error { return errors.New("nothing is configured yet") }
	server := serve(t, &fixedPicker{}, proxy.ServingCheck(serving), proxy.Configured(make(chan struct{})), proxy.HeaderNames(headers))
	began := time.Now()
	response := ask(t, http.MethodGet, server.URL+"/read/1", nil, http.Header{"X-Deadline": {"800"}})
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get(proxy.OutcomeHeader), string(proxy.NotRun))
	is.True(time.Since(began) < 600*time.Millisecond) // the caller waits for 800 ms
}
