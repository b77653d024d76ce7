package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/proxy"
)

// refusal returns the bytes of an answer that the request has not run.
func refusal(status int, id string) string {
	header := ""
	if id != "" {
		header = idHeader + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d No\r\n%s%s: 1\r\nContent-Length: 0\r\n\r\n", status, header, proxy.ShedHeader)
}

// A backend server wrote an earlier refusal once more on a kept connection, while it ran the next
// request. The caller was told that this one had not run, or it ran at a second server.
func TestEarlierRefusalIsNotTakenForTheNextRequest(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusMisdirectedRequest} {
		for name, stale := range map[string]string{"of another request": refusal(status, "one"), "without an id": refusal(status, "")} {
			t.Run(fmt.Sprint(status, name), func(t *testing.T) {
				is := is.New(t)
				var runs atomic.Int64
				backend := startKeepAliveServer(t, func(_ int64, conn *net.TCPConn, reader *bufio.Reader) {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					io.Copy(io.Discard, request.Body)
					runs.Add(1)
					io.WriteString(conn, stale)
					reader.Peek(1) // until the connection is closed
				})
				other := startKeepAliveServer(t, nil)
				picker := &sequentialPicker{targets: []fleet.Target{backend.target("b1"), backend.target("b1"), other.target("b2")}}
				server := serve(t, picker, keepAliveOptions()...)
				response, _ := sendNonIdempotent(t, server.URL, "one")
				is.Equal(response.StatusCode, http.StatusOK)
				response, _ = sendNonIdempotent(t, server.URL, "two")
				is.Equal(runs.Load(), int64(1))
				is.Equal(other.firstResponses.Load(), int64(0)) // it may have run, so it must not run elsewhere
				is.Equal(response.StatusCode, http.StatusBadGateway)
				is.Equal(response.Header.Get(proxy.OutcomeHeader), string(proxy.Unknown))
			})
		}
	}
}

// A refusal of the request itself is a promise, on a kept connection as on a fresh one.
func TestRefusalOfTheRequestItselfIsBelieved(t *testing.T) {
	is := is.New(t)
	backend := startKeepAliveServer(t, func(_ int64, conn *net.TCPConn, reader *bufio.Reader) {
		if request, err := http.ReadRequest(reader); err == nil {
			io.Copy(io.Discard, request.Body)
			io.WriteString(conn, refusal(http.StatusServiceUnavailable, "two"))
		}
	})
	other := startKeepAliveServer(t, nil)
	picker := &sequentialPicker{targets: []fleet.Target{backend.target("b1"), backend.target("b1"), other.target("b2")}}
	server := serve(t, picker, keepAliveOptions()...)
	sendNonIdempotent(t, server.URL, "one")
	response, body := sendNonIdempotent(t, server.URL, "two")
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(body, "first")
	is.Equal(other.firstResponses.Load(), int64(1))
}
