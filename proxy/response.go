package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dottereldeal/dottereldeal/health"
)

// backendResponse is a backend server's response, either completely buffered or streamed.
type backendResponse struct {
	response *http.Response
	attempt  *attempt
	started  time.Time
	latency  time.Duration
	// buffered is the start of the body, or all of it if complete is set.
	buffered []byte
	complete bool
	// chunks delivers the rest of a body of unknown length.
	chunks   <-chan chunk
	reported bool
	// cancel cancels the attempt's context.
	cancel context.CancelCauseFunc
}

// chunk is a part of a body.
type chunk struct {
	data []byte
	err  error
}

// receive buffers small responses completely, so that a request whose response is
// truncated can be retried.
func (a *attempt) receive(ctx context.Context, r *http.Response, started time.Time) (*backendResponse, *failure) {
	response := &backendResponse{response: r, attempt: a, started: started, latency: time.Since(started)}
	var err error
	switch {
	case a.exchange.request.Method == http.MethodHead || r.ContentLength == 0:
		response.complete = true
	case r.ContentLength > maxBufferBytes:
	case r.ContentLength > 0:
		response.buffered = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, response.buffered)
		response.complete = err == nil
	default:
		err = response.bufferBody(ctx)
	}
	if err != nil {
		r.Body.Close()
		return nil, a.failTruncated(ctx, err, started)
	}
	if response.complete {
		response.reportComplete()
	}
	return response, nil
}

// failTruncated ends an attempt whose response is truncated or invalid.
func (a *attempt) failTruncated(ctx context.Context, err error, started time.Time) *failure {
	f := &failure{kind: health.Torn, outcome: Unknown, reachedBackend: true, cause: err}
	f.applyContextCause(ctx)
	a.detail = f.cause.Error()
	a.report(f.kind, time.Since(started))
	return f
}

// bufferBody reads a body of unknown length until its end, until maxBufferBytes are
// buffered or until maxBufferWait has passed.
func (r *backendResponse) bufferBody(ctx context.Context) error {
	r.chunks = readChunks(ctx, r.response.Body)
	timer := time.NewTimer(maxBufferWait)
	defer timer.Stop()
	for len(r.buffered) < maxBufferBytes {
		select {
		case <-timer.C:
			return nil
		case c := <-r.chunks:
			r.buffered = append(r.buffered, c.data...)
			if c.err == io.EOF {
				r.complete = true
				return nil
			}
			if c.err != nil {
				return c.err
			}
		}
	}
	return nil
}

// readChunks reads a body in a goroutine, which ends at the end of the body or with the
// context.
func readChunks(ctx context.Context, body io.Reader) <-chan chunk {
	chunks := make(chan chunk)
	go func() {
		for {
			buffer := make([]byte, ioBufferBytes)
			n, err := body.Read(buffer)
			select {
			case chunks <- chunk{data: buffer[:n], err: err}:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return chunks
}

// reportComplete reports the result of a response that was received completely.
func (r *backendResponse) reportComplete() {
	if r.reported {
		return
	}
	r.reported = true
	kind := health.OK
	if r.response.StatusCode >= http.StatusInternalServerError {
		kind = health.Failed
	}
	r.attempt.report(kind, r.latency)
}

// close releases the response and its connection.
func (r *backendResponse) close() {
	r.response.Body.Close()
	if r.cancel != nil {
		r.cancel(nil)
	}
	if !r.reported {
		r.reported = true
		r.attempt.report(health.Cancelled, r.latency)
	}
}

// sendResponse sends a response to the caller. If the response is truncated, the
// caller's connection is closed, so that the caller does not take it for complete.
func (x *exchange) sendResponse(ctx context.Context, r *backendResponse, deadline *requestDeadline) {
	header := x.writer.Header()
	for name, values := range x.handler.options.Headers.responseHeader(r.response.Header) {
		header[name] = values
	}
	if r.complete && x.request.Method != http.MethodHead && len(r.response.Trailer) == 0 && bodyAllowed(r.response.StatusCode) {
		header.Set("Content-Length", strconv.Itoa(len(r.buffered)))
	}
	x.writer.WriteHeader(r.response.StatusCode)
	x.begun = true
	if len(r.buffered) > 0 {
		if err := x.handler.sent.write(ctx, x.writer, r.buffered); err != nil {
			panic(http.ErrAbortHandler) // the response must not look complete
		}
	}
	if !r.complete {
		x.streamBody(ctx, r, deadline)
	}
	for name, values := range r.response.Trailer {
		header[http.TrailerPrefix+name] = values
	}
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// streamBody copies the rest of the body to the caller.
func (x *exchange) streamBody(ctx context.Context, r *backendResponse, deadline *requestDeadline) {
	deadline.noteProgress()
	controller := http.NewResponseController(x.writer)
	controller.Flush()
	next := r.chunkReader()
	for {
		c := next(ctx)
		if len(c.data) > 0 {
			if err := x.handler.sent.write(ctx, x.writer, c.data); err != nil {
				panic(http.ErrAbortHandler)
			}
			controller.Flush()
			deadline.noteProgress()
		}
		if c.err == io.EOF {
			r.reportComplete()
			return
		}
		if c.err != nil {
			x.handler.metrics.truncated.Inc()
			r.reported = true
			r.attempt.failTruncated(ctx, c.err, r.started)
			panic(http.ErrAbortHandler)
		}
	}
}

// chunkReader returns a function that reads the next chunk of the body.
func (r *backendResponse) chunkReader() func(context.Context) chunk {
	if r.chunks != nil {
		return func(ctx context.Context) chunk {
			select {
			case c := <-r.chunks:
				return c
			case <-ctx.Done():
				return chunk{err: context.Cause(ctx)}
			}
		}
	}
	buffer := make([]byte, ioBufferBytes*4)
	return func(context.Context) chunk {
		n, err := r.response.Body.Read(buffer)
		return chunk{data: buffer[:n], err: err}
	}
}
