package answer_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/dottereldeal/dottereldeal/answer"
)

const ordinary = "HTTP/1.1 200 OK\r\nDate: Sun, 06 Dec 2026 23:00:00 GMT\r\nContent-Type: application/json\r\n" +
	"X-Request-Id: 7d1f0a52\r\nX-Proof: 0f5c8e\r\nContent-Length: 5\r\n\r\nhello"

// scan passes the answer to a request to a new scanner, in two parts.
func scan(method string, data []byte, cut int) (scanner answer.Scanner, taken int, err error) {
	scanner.Begin(method)
	for _, part := range [][]byte{data[:cut], data[cut:]} {
		n, err := scanner.Scan(part)
		if taken += n; err == answer.ErrUnasked && taken > 0 {
			err = nil // the answer ended with the first part
		}
		if err != nil || n < len(part) {
			return scanner, taken, err
		}
	}
	return scanner, taken, nil
}

func TestScannerStopsAtTheEndOfAnAnswer(t *testing.T) {
	is := is.New(t)
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
	answers := map[string]string{
		ordinary: http.MethodGet,
		"HTTP/1.0 200\nContent-Length:5\nContent-Length: 5 \n\nhello":                                         http.MethodGet,
		"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\nA;x=\"y\"\r\n0123456789\r\n000\r\nX: 1\r\n\r\n": http.MethodGet,
		head: http.MethodHead,
		"HTTP/1.1 304 Not\r\nContent-Length: 5\r\n\r\n": http.MethodGet,
		"HTTP/1.1 204 No\r\nContent-Length: 0\r\n\r\n":  http.MethodGet,
		"HTTP/1.1 100 Go on\r\n\r\n" + head + "hello":   http.MethodGet,
	}
	for text, method := range answers {
		for cut := range len(text) {
			scanner, taken, err := scan(method, []byte(text+"HTTP/1.1 200 OK\r\n"), cut)
			is.NoErr(err)
			is.Equal(taken, len(text))
			is.Equal(scanner.Begin(http.MethodGet), answer.ErrUnasked)
			_, err = scanner.Scan([]byte("x"))
			is.Equal(err, answer.ErrUnasked)

			scanner, _, err = scan(method, []byte(text), cut)
			is.NoErr(err)
			is.NoErr(scanner.Begin(http.MethodGet)) // the connection may be used again
		}
		scanner, _, _ := scan(method, []byte(text[:len(text)-1]), 0)
		is.Equal(scanner.Begin(http.MethodGet), answer.ErrUnfinished)
	}
}

// FuzzScanner compares the scanner with the standard library, which reads after it: what both take
// for a whole answer must end at the same byte, and the standard library sees no end where the scanner
// sees none.
func FuzzScanner(f *testing.F) {
	f.Add([]byte(ordinary), uint16(20))
	f.Fuzz(func(t *testing.T, data []byte, cut uint16) {
		at := int(cut) % (len(data) + 1)
		scanner, taken, err := scan(http.MethodGet, data, at)
		whole, wholeTaken, wholeErr := scan(http.MethodGet, data, 0)
		if err != wholeErr || err == nil && (taken != wholeTaken || scanner.Err() != whole.Err()) {
			t.Fatalf("cut at %d: %d bytes, %v; whole: %d bytes, %v", at, taken, err, wholeTaken, wholeErr)
		}
		if err != nil {
			return
		}
		reader := bufio.NewReader(bytes.NewReader(data[:taken]))
		response, err := http.ReadResponse(reader, nil)
		for err == nil && response.StatusCode < http.StatusOK {
			response, err = http.ReadResponse(reader, nil)
		}
		if err != nil {
			return // the attempt fails
		}
		untilClose := response.ContentLength < 0 && len(response.TransferEncoding) == 0
		_, err = io.Copy(io.Discard, response.Body)
		if ended := scanner.Begin(http.MethodGet) != answer.ErrUnfinished; err == nil && ended == untilClose || ended && reader.Buffered() > 0 && err == nil {
			t.Fatalf("ended %v, %d bytes are left", ended, reader.Buffered())
		}
	})
}

func BenchmarkScanner(b *testing.B) {
	data := []byte(ordinary)
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	var scanner answer.Scanner
	for b.Loop() {
		scanner.Begin(http.MethodGet)
		if _, err := scanner.Scan(data); err != nil {
			b.Fatal(err)
		}
	}
}
