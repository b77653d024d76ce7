package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fleet"
)

// A backend server stopped in the middle of its answer's head and closed. The caller got a 200
// with an empty or short body, framed as whole.
func TestAnswerWhoseHeadEndsInTheMiddleIsNotWhole(t *testing.T) {
	heads := map[string]string{
		"with a length":    "HTTP/1.1 200 OK\r\n" + idHeader + ": one\r\n" + proofHeader + ": p\r\nContent-Length: 12\r\n\r\n",
		"length first":     "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + idHeader + ": one\r\n" + proofHeader + ": p\r\n\r\n",
		"without a length": "HTTP/1.1 200 OK\r\n" + idHeader + ": one\r\n" + proofHeader + ": p\r\n\r\n",
		"in chunks":        "HTTP/1.1 200 OK\r\n" + idHeader + ": one\r\n" + proofHeader + ": p\r\nTransfer-Encoding: chunked\r\n\r\n",
		"bare line feeds":  "HTTP/1.1 200 OK\n" + idHeader + ": one\n" + proofHeader + ": p\n\n",
	}
	for name, head := range heads {
		for end := range len(head) {
			t.Run(fmt.Sprint(name, end), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				listener := acceptRaw(t, func(conn *net.TCPConn) {
					defer conn.Close()
					if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						io.Copy(io.Discard, request.Body)
						io.WriteString(conn, head[:end])
					}
				})
				picker := &fixedPicker{targets: []fleet.Target{{Name: "b1", Pool: "p", Addr: listener.Addr().String(), Slots: 4}}}
				server := serve(t, picker, keepAliveOptions()...)
				request, err := http.NewRequest(http.MethodPost, server.URL+"/once/1", nil)
				is.NoErr(err)
				request.Header.Set("Authorization", "Bearer "+secret)
				request.Header.Set(idHeader, "one")
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					return // closed, which promises nothing
				}
				defer response.Body.Close()
				if _, err := io.ReadAll(response.Body); err == nil && response.StatusCode < http.StatusBadRequest {
					t.Errorf("the head ends with %q, but the answer looks whole: %d", head[max(0, end-12):end], response.StatusCode)
				}
			})
		}
	}
}
