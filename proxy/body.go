package proxy

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// requestBody is the body of a caller's request. Small bodies are buffered, so that
// they can be sent again.
type requestBody struct {
	buffer []byte
	stream *peekedBody
	length int64
	// consumed is set once any part of the stream has been read.
	consumed atomic.Bool
	deadline *requestDeadline
}

// newRequestBody returns the body of a request and buffers it if it is small.
func newRequestBody(r *http.Request, deadline *requestDeadline, received *pacer) (*requestBody, error) {
	b := &requestBody{length: r.ContentLength, deadline: deadline}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.length = 0
		return b, nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxBufferBytes {
		b.peek(r.Context(), r.Body)
		return b, nil
	}
	paced := &pacedReader{ctx: r.Context(), reader: r.Body, pacer: received}
	data, err := io.ReadAll(io.LimitReader(paced, maxBufferBytes))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) != r.ContentLength {
		return nil, errors.Errorf("request body truncated: got %d of %d bytes", len(data), r.ContentLength)
	}
	b.buffer = data
	return b, nil
}

const (
	// headBytes is the part of a streamed body that identifies it, together with its length.
	headBytes = 4 << 10
	// maxHeadWait limits the wait for it. A caller may want an answer before it sends more.
	maxHeadWait = 50 * time.Millisecond
)

// peek waits, for a limited time, for the start of a body that is streamed.
func (b *requestBody) peek(ctx context.Context, body io.ReadCloser) {
	reader := bufio.NewReaderSize(body, headBytes)
	stream := &peekedBody{reader: reader, Closer: body, peeked: make(chan struct{})}
	b.stream = stream
	go func() {
		defer close(stream.peeked)
		if head, err := reader.Peek(headBytes); err == nil || err == io.EOF {
			stream.head, stream.whole = bytes.Clone(head), err == io.EOF
		}
	}()
	waitCtx, cancel := context.WithTimeout(ctx, maxHeadWait)
	defer cancel()
	b.awaitStart(waitCtx)
}

// awaitStart waits until the bytes that identify the body have arrived, or the context ends.
func (b *requestBody) awaitStart(ctx context.Context) {
	if b.buffered() {
		return
	}
	select {
	case <-b.stream.peeked:
	case <-ctx.Done():
	}
}

// start returns the bytes that identify the body and its length, -1 if it is not known. It returns
// false if they have not arrived yet.
func (b *requestBody) start() (head []byte, length int64, ok bool) {
	if b.buffered() {
		return b.buffer, b.length, true
	}
	select {
	case <-b.stream.peeked:
	default:
		return nil, 0, false
	}
	if b.stream.whole {
		return b.stream.head, int64(len(b.stream.head)), true
	}
	return b.stream.head, b.length, b.stream.head != nil
}

// peekedBody reads a body whose start has been peeked at.
type peekedBody struct {
	io.Closer
	reader *bufio.Reader
	// peeked is closed when the start has arrived, and head and whole are set: the start, nil if
	// it cannot be read, and whether it is all of the body.
	peeked chan struct{}
	head   []byte
	whole  bool
}

func (p *peekedBody) Read(data []byte) (int, error) {
	<-p.peeked
	return p.reader.Read(data)
}

// replayable reports whether the body can be sent again from its start.
func (b *requestBody) replayable() bool { return b.stream == nil || !b.consumed.Load() }

// buffered reports whether the whole body is in memory, so that several attempts can
// send it at the same time.
func (b *requestBody) buffered() bool { return b.stream == nil }

// newReader returns a reader for one attempt. The type of the reader prevents net/http from
// retrying on its own, which it does for requests without a body and for bodies that it can
// rewind: no retry budget and no evidence of crashes would count that.
func (b *requestBody) newReader(ctx context.Context, sent *pacer) io.ReadCloser {
	if b.stream != nil {
		// The bytes are sent as they are received, at the same rate.
		return &streamedBody{reader: pacedReader{ctx: ctx, reader: b.stream, pacer: sent}, body: b}
	}
	return &bufferedBody{pacedReader{ctx: ctx, reader: bytes.NewReader(b.buffer), pacer: sent}}
}

// bufferedBody reads a body from memory.
type bufferedBody struct {
	pacedReader
}

func (*bufferedBody) Close() error { return nil }

// streamedBody reads the caller's body while it is forwarded.
type streamedBody struct {
	reader pacedReader
	body   *requestBody
}

func (s *streamedBody) Read(p []byte) (int, error) {
	s.body.consumed.Store(true)
	n, err := s.reader.Read(p)
	switch {
	case err == io.EOF:
		s.body.deadline.restart()
	case n > 0:
		s.body.deadline.noteProgress()
	}
	return n, err
}

// Close does nothing: the HTTP server closes the caller's body.
func (s *streamedBody) Close() error { return nil }
