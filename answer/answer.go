// Package answer checks what a backend server sends as its answer, before any other reader of HTTP
// sees it. A server in trouble may send bytes that are no answer, and a reader that passes over
// what it does not understand makes one of them.
//
// Scanner follows the bytes of a connection without keeping or copying them. It refuses a head that
// is not exactly one of HTTP/1, and stops at the end of each answer, so that bytes which nobody
// asked for are never taken for the next one. Conn tells whether the server itself has ended a
// connection, on which the end of an answer without a length depends.
//
// # Usage
//
//	var scanner answer.Scanner
//	scanner.Begin(http.MethodGet) // before the request is written
//	n, err := conn.Read(p)
//	n, err = scanner.Scan(p[:n]) // the bytes that belong to the answer
package answer

import (
	"net/http"

	"github.com/go-faster/errors"
)

// Errors of bytes that are no answer.
var (
	ErrStatusLine = errors.New("malformed status line in an answer")
	ErrField      = errors.New("malformed field in the head of an answer")
	ErrFolded     = errors.New("folded line in the head of an answer")
	ErrFraming    = errors.New("odd or conflicting length of an answer")
	ErrChunk      = errors.New("malformed chunk in an answer")
	ErrUpgrade    = errors.New("the answer changes the protocol, which was not asked for")
	ErrUnasked    = errors.New("bytes that no request has asked for")
	ErrUnfinished = errors.New("the previous answer has not ended")
)

const (
	// maxLengthDigits is the number of digits of a length that always fits 63 bits.
	maxLengthDigits = 18
	// maxChunkDigits is the number of hexadecimal digits of a chunk's size that always fits 63 bits.
	maxChunkDigits = 15
	// maxWord is longer than the longest name and value that matter for the length of an answer.
	maxWord = 24

	fieldLength   = "content-length"
	fieldEncoding = "transfer-encoding"
	chunked       = "chunked"
)

// step consumes bytes of one part of an answer. It returns how many.
type step func(s *Scanner, p []byte) (int, error)

// Scanner follows the answers on a connection. The zero value expects no answer.
type Scanner struct {
	// next is the step for the next byte, nil while no answer is expected.
	next step
	// afterLine is the step that follows the line feed of the present line, nil after an empty
	// line, which ends the fields.
	afterLine step
	err       error

	// bodyless is set if the answer has no body whatever its head says, as that to HEAD.
	bodyless bool
	// trailer is set while the fields are those after the last chunk, where a line feed alone
	// ends no line.
	trailer bool
	// at counts the bytes of the present part.
	at      int
	version byte
	status  int

	// name and value are the present field's, in lower case, if they are short enough to matter.
	name, value word
	// length is what Content-Length says, -1 without one.
	length   int64
	encoding bool
	// left is the rest of the body or of the present chunk.
	left int64
}

// word is the start of a text.
type word struct {
	bytes [maxWord]byte
	n     int
	// blank is set if blanks follow the text so far, odd if text follows them.
	blank, odd bool
}

func (w *word) add(b byte) {
	if 'A' <= b && b <= 'Z' {
		b += 'a' - 'A'
	}
	if w.n < maxWord {
		w.bytes[w.n] = b
	}
	w.n++
}

func (w *word) is(text string) bool {
	return w.n == len(text) && string(w.bytes[:w.n]) == text
}

// Begin expects the answer to a request with the given method.
func (s *Scanner) Begin(method string) error {
	if s.err == nil && s.next != nil {
		s.err = ErrUnfinished
	}
	if s.err != nil {
		return s.err
	}
	*s = Scanner{bodyless: method == http.MethodHead}
	s.beginHead()
	return nil
}

// Scan checks the next bytes. It returns the number of those that belong to the answer, which is
// less than there are if others follow its end. After an error, and after such bytes, the
// connection is of no further use and Scan always fails.
func (s *Scanner) Scan(p []byte) (int, error) {
	n := 0
	for n < len(p) && s.err == nil {
		if s.next == nil {
			s.err = ErrUnasked
			break
		}
		taken, err := s.next(s, p[n:])
		n += taken
		s.err = err
	}
	if s.err == ErrUnasked && n > 0 {
		return n, nil
	}
	if s.err != nil {
		return 0, s.err
	}
	return n, nil
}

// Err returns the error with which Scan or Begin fails from now on.
func (s *Scanner) Err() error { return s.err }

func (s *Scanner) beginHead() {
	s.next, s.at, s.status, s.length, s.encoding = (*Scanner).statusLine, 0, 0, -1, false
}

// statusForm is the start of a status line: x stands for the minor version, 0 for any digit.
const statusForm = "HTTP/1.x 000"

func (s *Scanner) statusLine(p []byte) (int, error) {
	for i, b := range p {
		if s.at == len(statusForm) {
			return s.statusEnd(i, b)
		}
		switch form := statusForm[s.at]; {
		case form == 'x' && (b == '0' || b == '1'):
			s.version = b
		case form == '0' && '0' <= b && b <= '9':
			s.status = s.status*10 + int(b-'0')
		case form == 'x' || form == '0' || form != b:
			return i, ErrStatusLine
		}
		s.at++
	}
	return len(p), nil
}

// statusEnd ends the status with the byte at position i.
func (s *Scanner) statusEnd(i int, b byte) (int, error) {
	if s.status < 100 || s.status > 599 {
		return i, ErrStatusLine
	}
	if s.status == http.StatusSwitchingProtocols {
		return i, ErrUpgrade
	}
	s.afterLine = (*Scanner).lineStart
	switch b {
	case ' ':
		s.next = (*Scanner).reason
	case '\r':
		s.next = (*Scanner).lineFeed
	case '\n':
		s.next = s.afterLine
	default:
		return i, ErrStatusLine
	}
	return i + 1, nil
}

func (s *Scanner) reason(p []byte) (int, error) { return s.text(p, ErrStatusLine) }

// text consumes the rest of a line that is free text.
func (s *Scanner) text(p []byte, wrong error) (int, error) {
	for i, b := range p {
		if isText[b] {
			continue
		}
		switch {
		case b == '\r':
			s.next = (*Scanner).lineFeed
		case b == '\n' && !s.trailer:
			s.next = s.afterLine
		default:
			return i, wrong
		}
		return i + 1, nil
	}
	return len(p), nil
}

// lineFeed consumes the line feed that a carriage return needs.
func (s *Scanner) lineFeed(p []byte) (int, error) {
	if p[0] != '\n' {
		return 0, ErrField
	}
	s.next = s.afterLine
	if s.next == nil && !s.trailer {
		return 1, s.endHead()
	}
	return 1, nil
}

func (s *Scanner) lineStart(p []byte) (int, error) {
	switch b := p[0]; {
	case b == '\r':
		s.next, s.afterLine = (*Scanner).lineFeed, nil
		return 1, nil
	case b == '\n' && !s.trailer:
		return 1, s.endHead()
	case b == ' ' || b == '\t':
		return 0, ErrFolded
	}
	s.next, s.name, s.value = (*Scanner).fieldName, word{}, word{}
	return 0, nil
}

func (s *Scanner) fieldName(p []byte) (int, error) {
	for i, b := range p {
		if isToken[b] {
			s.name.add(b)
			continue
		}
		if b != ':' || s.name.n == 0 {
			return i, ErrField
		}
		s.afterLine = (*Scanner).lineStart
		s.next = (*Scanner).fieldValue
		if s.name.is(fieldLength) || s.name.is(fieldEncoding) {
			if s.trailer {
				return i, ErrFraming
			}
			s.next = (*Scanner).framingValue
		}
		return i + 1, nil
	}
	return len(p), nil
}

func (s *Scanner) fieldValue(p []byte) (int, error) { return s.text(p, ErrField) }

// framingValue consumes the value of a field that decides where the answer ends.
func (s *Scanner) framingValue(p []byte) (int, error) {
	n, err := s.text(p, ErrField)
	if err != nil {
		return n, err
	}
	for _, b := range p[:n] {
		switch b {
		case '\r', '\n':
			return n, s.frame()
		case ' ', '\t':
			s.value.blank = s.value.n > 0
		default:
			s.value.odd = s.value.odd || s.value.blank
			s.value.add(b)
		}
	}
	return n, nil
}

// frame takes in a field that decides where the answer ends.
func (s *Scanner) frame() error {
	if s.value.odd {
		return ErrFraming
	}
	if s.name.is(fieldEncoding) {
		if s.encoding || !s.value.is(chunked) {
			return ErrFraming
		}
		s.encoding = true
		return nil
	}
	if s.value.n == 0 || s.value.n > maxLengthDigits || s.value.n > 1 && s.value.bytes[0] == '0' {
		return ErrFraming
	}
	var length int64
	for _, b := range s.value.bytes[:s.value.n] {
		if b < '0' || b > '9' {
			return ErrFraming
		}
		length = length*10 + int64(b-'0')
	}
	if s.length >= 0 && s.length != length {
		return ErrFraming
	}
	s.length = length
	return nil
}

// endHead decides what follows a head.
func (s *Scanner) endHead() error {
	interim := s.status < http.StatusOK
	noBody := interim || s.status == http.StatusNoContent
	if s.encoding && (s.length >= 0 || s.version == '0' || noBody) || noBody && s.length > 0 {
		return ErrFraming
	}
	switch {
	case interim:
		s.beginHead()
	case s.bodyless, noBody, s.status == http.StatusNotModified, s.length == 0:
		s.next = nil
	case s.encoding:
		s.beginChunk()
	case s.length > 0:
		s.next, s.left = (*Scanner).body, s.length
	default:
		s.next = (*Scanner).rest
	}
	return nil
}

func (s *Scanner) body(p []byte) (int, error) {
	n := int(min(s.left, int64(len(p))))
	if s.left -= int64(n); s.left == 0 {
		s.next = nil
	}
	return n, nil
}

// rest consumes a body that lasts until the end of the connection.
func (s *Scanner) rest(p []byte) (int, error) { return len(p), nil }

func (s *Scanner) beginChunk() { s.next, s.left, s.at = (*Scanner).chunkSize, 0, 0 }

func (s *Scanner) chunkSize(p []byte) (int, error) {
	for i, b := range p {
		digit, ok := hexDigit(b)
		if ok && s.at < maxChunkDigits {
			s.left = s.left<<4 | digit
			s.at++
			continue
		}
		if s.at == 0 {
			return i, ErrChunk
		}
		switch b {
		case '\r':
			s.next = (*Scanner).chunkLineFeed
		case ';':
			s.next = (*Scanner).chunkExtension
		default:
			return i, ErrChunk
		}
		return i + 1, nil
	}
	return len(p), nil
}

func hexDigit(b byte) (int64, bool) {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + 10, true
	}
	return 0, false
}

func (s *Scanner) chunkExtension(p []byte) (int, error) {
	for i, b := range p {
		if isText[b] {
			continue
		}
		if b != '\r' {
			return i, ErrChunk
		}
		s.next = (*Scanner).chunkLineFeed
		return i + 1, nil
	}
	return len(p), nil
}

func (s *Scanner) chunkLineFeed(p []byte) (int, error) {
	if p[0] != '\n' {
		return 0, ErrChunk
	}
	s.next = (*Scanner).chunkData
	if s.left == 0 {
		s.next, s.trailer = (*Scanner).lineStart, true
	}
	return 1, nil
}

func (s *Scanner) chunkData(p []byte) (int, error) {
	n := int(min(s.left, int64(len(p))))
	if s.left -= int64(n); s.left == 0 {
		s.next, s.at = (*Scanner).chunkEnd, 0
	}
	return n, nil
}

// chunkEnd consumes the line end after a chunk's data.
func (s *Scanner) chunkEnd(p []byte) (int, error) {
	if p[0] != "\r\n"[s.at] {
		return 0, ErrChunk
	}
	if s.at++; s.at == len("\r\n") {
		s.beginChunk()
	}
	return 1, nil
}

// isToken holds the bytes of field names, isText those of free text (RFC 9110, 5.5 and 5.6.2).
var isToken, isText = byteClasses()

func byteClasses() (token, text [256]bool) {
	for b := range 256 {
		text[b] = b == '\t' || b >= ' ' && b != 0x7f
		token[b] = '0' <= b && b <= '9' || 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z'
	}
	for _, b := range []byte("!#$%&'*+-.^_`|~") {
		token[b] = true
	}
	return token, text
}
