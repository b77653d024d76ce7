package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dottereldeal/dottereldeal/health"
)

// answer is a backend server's answer: whole in memory, or a stream.
type answer struct {
	response *http.Response
	attempt  *attempt
	started  time.Time
	latency  time.Duration
	// held is the start of the body, and all of it if whole is true.
	held  []byte
	whole bool
	// chunks brings the rest of a body of unknown length.
	chunks <-chan chunk
	done   bool
	// cancel ends the attempt's context.
	cancel context.CancelCauseFunc
}

// chunk is a part of a body.
type chunk struct {
	data []byte
	err  error
}

// receive reads a small answer whole, so that a torn one can be tried again.
func (a *attempt) receive(ctx context.Context, r *http.Response, started time.Time) (*answer, *failure) {
	got := &answer{response: r, attempt: a, started: started, latency: time.Since(started)}
	var err error
	switch {
	case a.exchange.request.Method == http.MethodHead || r.ContentLength == 0:
		got.whole = true
	case r.ContentLength > bufferBytes:
	case r.ContentLength > 0:
		got.held = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, got.held)
		got.whole = err == nil
	default:
		err = got.hold(ctx)
	}
	if err != nil {
		r.Body.Close()
		return nil, a.tear(ctx, err, started)
	}
	if got.whole {
		got.finish()
	}
	return got, nil
}

// tear ends an attempt whose answer broke off.
func (a *attempt) tear(ctx context.Context, err error, started time.Time) *failure {
	f := &failure{kind: health.Torn, outcome: Unknown, arrived: true, cause: err}
	f.blame(ctx)
	a.detail = f.cause.Error()
	a.report(f.kind, time.Since(started))
	return f
}

// hold reads a body of unknown length until its end, until there is too much
// to hold, or for a short time.
func (g *answer) hold(ctx context.Context) error {
	g.chunks = pump(ctx, g.response.Body)
	timer := time.NewTimer(bufferWait)
	defer timer.Stop()
	for len(g.held) < bufferBytes {
		select {
		case <-timer.C:
			return nil
		case c := <-g.chunks:
			g.held = append(g.held, c.data...)
			if c.err == io.EOF {
				g.whole = true
				return nil
			}
			if c.err != nil {
				return c.err
			}
		}
	}
	return nil
}

// pump reads a body in a goroutine that ends with the body or the context.
func pump(ctx context.Context, body io.Reader) <-chan chunk {
	chunks := make(chan chunk)
	go func() {
		for {
			buffer := make([]byte, readBufferBytes)
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

// finish reports the result of an answer that is whole.
func (g *answer) finish() {
	if g.done {
		return
	}
	g.done = true
	kind := health.OK
	if g.response.StatusCode >= http.StatusInternalServerError {
		kind = health.Failed
	}
	g.attempt.report(kind, g.latency)
}

// close releases the answer.
func (g *answer) close() {
	g.response.Body.Close()
	if g.cancel != nil {
		g.cancel(nil)
	}
	if !g.done {
		g.done = true
		g.attempt.report(health.Cancelled, g.latency)
	}
}

// answer sends an answer to the caller. One that breaks off ends the caller's
// connection, so that it cannot be taken for whole.
func (x *exchange) answer(ctx context.Context, g *answer, limit *deadline) {
	header := x.writer.Header()
	for name, values := range x.handler.options.Headers.answerHeader(g.response.Header) {
		header[name] = values
	}
	if g.whole && x.request.Method != http.MethodHead && len(g.response.Trailer) == 0 && bodyAllowed(g.response.StatusCode) {
		header.Set("Content-Length", strconv.Itoa(len(g.held)))
	}
	x.writer.WriteHeader(g.response.StatusCode)
	if len(g.held) > 0 {
		if _, err := x.writer.Write(g.held); err != nil {
			return
		}
	}
	if !g.whole {
		x.stream(ctx, g, limit)
	}
	for name, values := range g.response.Trailer {
		header[http.TrailerPrefix+name] = values
	}
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// stream copies the rest of a body to the caller.
func (x *exchange) stream(ctx context.Context, g *answer, limit *deadline) {
	limit.progress()
	control := http.NewResponseController(x.writer)
	control.Flush()
	next := g.chunkReader()
	for {
		c := next(ctx)
		if len(c.data) > 0 {
			if _, err := x.writer.Write(c.data); err != nil {
				return
			}
			control.Flush()
			limit.progress()
		}
		if c.err == io.EOF {
			g.finish()
			return
		}
		if c.err != nil {
			x.handler.metrics.cut.Inc()
			g.done = true
			g.attempt.tear(ctx, c.err, g.started)
			panic(http.ErrAbortHandler)
		}
	}
}

// chunkReader returns a function that reads the next part of the body.
func (g *answer) chunkReader() func(context.Context) chunk {
	if g.chunks != nil {
		return func(ctx context.Context) chunk {
			select {
			case c := <-g.chunks:
				return c
			case <-ctx.Done():
				return chunk{err: context.Cause(ctx)}
			}
		}
	}
	buffer := make([]byte, readBufferBytes*4)
	return func(context.Context) chunk {
		n, err := g.response.Body.Read(buffer)
		return chunk{data: buffer[:n], err: err}
	}
}
