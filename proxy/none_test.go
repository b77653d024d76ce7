package proxy_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/fleet"
	"github.com/dottereldeal/dottereldeal/health"
	"github.com/dottereldeal/dottereldeal/meter"
	"github.com/dottereldeal/dottereldeal/pick"
	"github.com/dottereldeal/dottereldeal/proxy"
)

// sealed is the start of a head that is in order, up to the fields that differ.
const sealed = "HTTP/1.1 200 OK\r\n" + idHeader + ": one\r\n" + proofHeader + ": p\r\n"

// startServer starts a raw backend server that reads the head of a request and lets play go on.
func startServer(t testing.TB, name string, play func(*net.TCPConn, *http.Request)) fleet.Target {
	t.Helper()
	listener := acceptRaw(t, func(conn *net.TCPConn) {
		defer conn.Close()
		if request, err := http.ReadRequest(bufio.NewReaderSize(conn, 16)); err == nil {
			play(conn, request)
		}
	})
	return fleet.Target{Name: name, Pool: "p", Addr: listener.Addr().String(), Slots: 4}
}

func reset(conn *net.TCPConn) {
	conn.SetLinger(0)
	conn.Close()
}

// uploadBytes is more than the buffers of two connections hold.
const uploadBytes = 8 << 20

var uploaded = make([]byte, uploadBytes)

// sendUpload uploads some megabytes and returns what the caller got, and whether it looks whole. The
// caller writes on whatever it gets.
func sendUpload(t *testing.T, base, path string, expect bool) (status int, body []byte, whole bool) {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\n%s: one\r\nContent-Length: %d\r\n", path, secret, idHeader, uploadBytes)
	if expect {
		head += "Expect: 100-continue\r\n"
	}
	go func() {
		if _, err := io.WriteString(conn, head+"\r\n"); err == nil {
			conn.Write(uploaded)
		}
	}()
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	for err == nil && response.StatusCode == http.StatusContinue {
		response, err = http.ReadResponse(reader, nil)
	}
	if err != nil {
		return 0, nil, false // closed, which promises nothing
	}
	defer response.Body.Close()
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err == nil
}

// A server answered a long upload at once, without a length, sent a part of the body and reset the
// connection while the upload was still being written. The caller got the part as a whole answer.
func TestResetDuringAnUploadIsNoEndOfAnAnswer(t *testing.T) {
	for name, part := range map[string]int{"buffered": 1000, "streamed": 200 << 10, "empty": 0} {
		for _, expect := range []bool{false, true} {
			for _, delay := range []time.Duration{0, 20 * time.Millisecond, 80 * time.Millisecond} {
				t.Run(fmt.Sprint(name, expect, delay), func(t *testing.T) {
					t.Parallel()
					target := startServer(t, "b1", func(conn *net.TCPConn, _ *http.Request) {
						io.WriteString(conn, sealed+"\r\n"+strings.Repeat("a", part))
						time.Sleep(delay)
						reset(conn)
					})
					picker := &fixedPicker{targets: []fleet.Target{target}}
					server := serve(t, picker, keepAliveOptions()...)
					status, body, whole := sendUpload(t, server.URL, "/once/1", expect)
					if whole && status < http.StatusBadRequest {
						t.Errorf("the answer looks whole: status %d, %d bytes", status, len(body))
					}
					if _, torn := picker.results.Load(health.Torn); !torn {
						t.Error("the server is not judged by it")
					}
				})
			}
		}
	}
}

// A reset after the end of an answer that tells its own end changes nothing.
func TestResetAfterAFramedAnswerChangesNothing(t *testing.T) {
	answers := map[string]string{
		"length":   sealed + "Content-Length: 5\r\n\r\nhello",
		"chunks":   sealed + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"trailers": sealed + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x\r\nllo\r\n0\r\nX-Sum: 1\r\n\r\n",
	}
	for name, bytes := range answers {
		for i := range 10 {
			t.Run(fmt.Sprint(name, i), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				target := startServer(t, "b1", func(conn *net.TCPConn, _ *http.Request) {
					io.WriteString(conn, bytes)
					time.Sleep(time.Duration(i) * time.Millisecond)
					reset(conn)
				})
				server := serve(t, &fixedPicker{targets: []fleet.Target{target}}, keepAliveOptions()...)
				status, body, whole := sendUpload(t, server.URL, "/once/1", false)
				is.True(whole)
				is.Equal(status, http.StatusOK)
				is.Equal(string(body), "hello")
			})
		}
	}
}

// A connection may break off at any byte of an answer and at any point of an upload.
func TestAnswerThatIsResetAtAnyByteIsNotWhole(t *testing.T) {
	answers := map[string]string{
		"close":  sealed + "\r\nhello",
		"length": sealed + "Content-Length: 5\r\n\r\nhello",
		"chunks": sealed + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n",
	}
	target := startServer(t, "b1", func(conn *net.TCPConn, request *http.Request) {
		part := strings.Split(request.URL.Path, "/")[2:]
		cut, err := strconv.Atoi(part[1])
		upload, err2 := strconv.ParseInt(part[2], 10, 64)
		if err != nil || err2 != nil {
			return
		}
		io.CopyN(io.Discard, request.Body, upload)
		io.WriteString(conn, answers[part[0]][:cut])
		reset(conn)
	})
	server := serve(t, &fixedPicker{targets: []fleet.Target{target}}, keepAliveOptions()...)
	for name, answer := range answers {
		for cut := range len(answer) {
			for _, upload := range []int{0, 1, 100_000} {
				if upload > 0 && cut%5 != 0 {
					continue
				}
				path := fmt.Sprint("/once/", name, "/", cut, "/", upload)
				if status, body, whole := sendUpload(t, server.URL, path, false); whole && status < http.StatusBadRequest {
					t.Errorf("%s: reset after %q, but the answer looks whole: %d %q", path, answer[max(0, cut-12):cut], status, body)
				}
			}
		}
	}
}

// A server that ends the connection in order has ended its answer.
func TestAnswerWithoutALengthIsWholeOnceItsServerHasEndedIt(t *testing.T) {
	is := is.New(t)
	target := startServer(t, "b1", func(conn *net.TCPConn, request *http.Request) {
		io.WriteString(conn, sealed+"\r\nhello")
		conn.CloseWrite()
		io.Copy(io.Discard, request.Body)
	})
	server := serve(t, &fixedPicker{targets: []fleet.Target{target}}, keepAliveOptions()...)
	for range 5 {
		status, body, whole := sendUpload(t, server.URL, "/once/1", false)
		is.True(whole)
		is.Equal(status, http.StatusOK)
		is.Equal(string(body), "hello")
	}
}

// noAnswers are bytes that are no answer, though the standard library takes some of them for one.
var noAnswers = map[string]string{
	"status 000":           strings.Replace(sealed, "200", "000", 1) + "Content-Length: 2\r\n\r\nno",
	"status 099":           strings.Replace(sealed, "200", "099", 1) + "Content-Length: 2\r\n\r\nno",
	"status 600":           strings.Replace(sealed, "200", "600", 1) + "Content-Length: 2\r\n\r\nno",
	"status of two digits": strings.Replace(sealed, "200", "20", 1) + "Content-Length: 2\r\n\r\nno",
	"status with a sign":   strings.Replace(sealed, "200", "+20", 1) + "Content-Length: 2\r\n\r\nno",
	"no version":           strings.Replace(sealed, "HTTP/1.1", "HTTP/1", 1) + "Content-Length: 2\r\n\r\nno",
	"another protocol":     strings.Replace(sealed, "200 OK", "101 On", 1) + "Upgrade: x\r\nConnection: upgrade\r\n\r\n",
	"control in reason":    strings.Replace(sealed, "OK", "O\x01K", 1) + "Content-Length: 2\r\n\r\nno",
	"blank in a name":      sealed + "X Odd: 1\r\nContent-Length: 2\r\n\r\nno",
	"control in a name":    sealed + "X\x01Odd: 1\r\nContent-Length: 2\r\n\r\nno",
	"byte over 127":        sealed + "X\xe9Odd: 1\r\nContent-Length: 2\r\n\r\nno",
	"blank before colon":   sealed + "X-Odd : 1\r\nContent-Length: 2\r\n\r\nno",
	"no colon":             sealed + "X-Odd\r\nContent-Length: 2\r\n\r\nno",
	"no name":              sealed + ": 1\r\nContent-Length: 2\r\n\r\nno",
	"control in a value":   sealed + "X-Odd: a\x01b\r\nContent-Length: 2\r\n\r\nno",
	"zero in a value":      sealed + "X-Odd: a\x00b\r\nContent-Length: 2\r\n\r\nno",
	"lone return":          sealed + "X-Odd: a\rb\r\nContent-Length: 2\r\n\r\nno",
	"delete in a value":    sealed + "X-Odd: a\x7fb\r\nContent-Length: 2\r\n\r\nno",
	"folded":               sealed + "X-Odd: a\r\n b\r\nContent-Length: 2\r\n\r\nno",
	"folded at once":       strings.Replace(sealed, "OK\r\n", "OK\r\n ", 1) + "Content-Length: 2\r\n\r\nno",
	"two lengths":          sealed + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nno",
	"list of lengths":      sealed + "Content-Length: 2, 2\r\n\r\nno",
	"signed length":        sealed + "Content-Length: +2\r\n\r\nno",
	"empty length":         sealed + "Content-Length:\r\n\r\nno",
	"huge length":          sealed + "Content-Length: 99999999999999999999\r\n\r\nno",
	"length and chunks":    sealed + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	"chunks twice":         sealed + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	"unknown encoding":     sealed + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	"chunks in 1.0":        strings.Replace(sealed, "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
	"204 with a length":    strings.Replace(sealed, "200 OK", "204 No", 1) + "Content-Length: 2\r\n\r\nno",
	"204 in chunks":        strings.Replace(sealed, "200 OK", "204 No", 1) + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"odd interim head":     "HTTP/1.1 103 Early\r\nX Odd: 1\r\n\r\n" + sealed + "Content-Length: 2\r\n\r\nno",
	"odd chunk":            sealed + "Transfer-Encoding: chunked\r\n\r\n2x\r\nno\r\n0\r\n\r\n",
	"odd trailer":          sealed + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\nX Odd: 1\r\n\r\n",
	"length in a trailer":  sealed + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\nContent-Length: 2\r\n\r\n",
}

// Servers in trouble sent a status of 000, and fields whose name held a blank or a control byte.
// Callers got them as answers. They are attempts that failed.
func TestBytesThatAreNoAnswerAreFailedAttempts(t *testing.T) {
	sound := keepAliveResponse("one", "sound")
	for name, bytes := range noAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			target := startServer(t, "b1", func(conn *net.TCPConn, request *http.Request) {
				io.Copy(io.Discard, request.Body)
				io.WriteString(conn, bytes)
				time.Sleep(50 * time.Millisecond)
			})
			picker := &fixedPicker{targets: []fleet.Target{target}}
			server := serve(t, picker, keepAliveOptions()...)
			response, body := sendNonIdempotent(t, server.URL, "one")
			is.Equal(response.StatusCode, http.StatusBadGateway)
			is.Equal(response.Header.Get(proxy.OutcomeHeader), string(proxy.Unknown))
			is.True(json.Valid([]byte(body)))
			_, torn := picker.results.Load(health.Torn)
			is.True(torn)

			good := startServer(t, "b2", func(conn *net.TCPConn, _ *http.Request) { io.WriteString(conn, sound) })
			picker = &fixedPicker{targets: []fleet.Target{good, target}}
			server = serve(t, picker, append(keepAliveOptions(), proxy.RetryBudget(0.2, 10))...)
			response = send(t, http.MethodGet, server.URL+"/read/1", nil, http.Header{idHeader: {"one"}})
			data, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(string(data), "sound")
		})
	}
}

// Interim answers come before the answer, and their fields are not the answer's.
func TestInterimAnswersPrecedeTheAnswer(t *testing.T) {
	is := is.New(t)
	target := startServer(t, "b1", func(conn *net.TCPConn, request *http.Request) {
		io.Copy(io.Discard, request.Body)
		io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: <a>\r\n\r\n"+keepAliveResponse("one", "sound"))
	})
	server := serve(t, &fixedPicker{targets: []fleet.Target{target}}, keepAliveOptions()...)
	response, body := sendNonIdempotent(t, server.URL, "one")
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(body, "sound")
}

// panickingPicker panics when it is asked, or when it is told a result.
type panickingPicker struct {
	*fixedPicker
	late bool
}

func (p panickingPicker) Pick(ctx context.Context, pool string, r pick.Request) (pick.Choice, error) {
	if !p.late {
		panic("no choice")
	}
	choice, err := p.fixedPicker.Pick(ctx, pool, r)
	choice.Done = func(health.Result) { panic("no result") }
	return choice, err
}

// lockedBuffer collects the lines of a log.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// A panic ended the caller's connection without an answer, or the whole process.
func TestPanicIsAnsweredCountedAndLogged(t *testing.T) {
	target := startServer(t, "b1", func(conn *net.TCPConn, _ *http.Request) { io.WriteString(conn, keepAliveResponse("one", "sound")) })
	for late, want := range map[bool]struct {
		status  int
		outcome proxy.Outcome
	}{false: {http.StatusInternalServerError, proxy.NotRun}, true: {http.StatusBadGateway, proxy.Unknown}} {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			is := is.New(t)
			log := &lockedBuffer{}
			m := meter.New()
			picker := panickingPicker{&fixedPicker{targets: []fleet.Target{target}}, late}
			server := serve(t, picker, append(keepAliveOptions(), proxy.Logger(slog.New(slog.NewTextHandler(log, nil))), proxy.Meter(m))...)
			response, body := sendNonIdempotent(t, server.URL, "one")
			is.Equal(response.StatusCode, want.status)
			is.Equal(response.Header.Get(proxy.OutcomeHeader), string(want.outcome))
			is.True(json.Valid([]byte(body)))
			is.Equal(strings.Count(log.String(), "request panicked"), 1)
			families, err := m.Gatherer().Gather()
			is.NoErr(err)
			for _, f := range families {
				if f.GetName() == "dottereldeal_panics_total" {
					is.Equal(f.GetMetric()[0].GetCounter().GetValue(), 1.0)
				}
			}
		})
	}
}

// BenchmarkRoundTrip measures one request on a kept connection, its answer included.
func BenchmarkRoundTrip(b *testing.B) {
	listener := acceptRaw(b, func(conn *net.TCPConn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, request.Body)
			io.WriteString(conn, keepAliveResponse("one", "a body of an ordinary length, say"))
		}
	})
	config := newConfig(b)
	target := fleet.Target{Name: "b1", Pool: "p", Addr: listener.Addr().String(), Slots: 4}
	handler := proxy.New(append(keepAliveOptions(), proxy.ConfigFunc(func() *proxy.Config { return config }),
		proxy.Limiter(openLimiter{}), proxy.Picker(&fixedPicker{targets: []fleet.Target{target}}))...)
	b.ReportAllocs()
	for b.Loop() {
		request := httptest.NewRequest(http.MethodGet, "/read/1", nil)
		request.Header.Set("Authorization", "Bearer "+secret)
		request.Header.Set(idHeader, "one")
		recorder := httptest.NewRecorder()
		if handler.ServeHTTP(recorder, request); recorder.Code != http.StatusOK {
			b.Fatal(recorder.Code, recorder.Body)
		}
	}
}
