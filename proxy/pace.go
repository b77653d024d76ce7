package proxy

import (
	"context"
	"io"

	"golang.org/x/time/rate"
)

const (
	// pacedShare is the part of the link that bodies may use. The rest is for small requests,
	// and for the messages of the fleet that hold leases and grant slots.
	pacedShare = 0.75
	// pacedChunkBytes is the number of bytes sent or received at a time, and pacedBurstBytes
	// how many may follow each other without a pause.
	pacedChunkBytes = 4 << 10
	pacedBurstBytes = 4 * pacedChunkBytes
)

// pacer spreads the bytes of large bodies over time. On a slow link they would otherwise fill
// its queue, and everything behind them would be late: an upload of 60 KB takes a quarter of
// a second on 2 Mbit/s. The nil pacer does not wait.
type pacer struct {
	limiter *rate.Limiter
}

// newPacer returns the pacer for one direction of a link, or nil if its rate is not known.
func newPacer(bytesPerSecond float64) *pacer {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &pacer{limiter: rate.NewLimiter(rate.Limit(pacedShare*bytesPerSecond), pacedBurstBytes)}
}

// next returns the part of a buffer to send or receive next.
func (p *pacer) next(buffer []byte) []byte {
	if p == nil || len(buffer) <= pacedChunkBytes {
		return buffer
	}
	return buffer[:pacedChunkBytes]
}

// wait waits until n bytes, at most pacedChunkBytes, fit into the rate.
func (p *pacer) wait(ctx context.Context, n int) error {
	if p == nil || n == 0 {
		return nil
	}
	return p.limiter.WaitN(ctx, n)
}

// write writes data in chunks at the rate.
func (p *pacer) write(ctx context.Context, w io.Writer, data []byte) error {
	for len(data) > 0 {
		chunk := p.next(data)
		if err := p.wait(ctx, len(chunk)); err != nil {
			return err
		}
		if _, err := w.Write(chunk); err != nil {
			return err
		}
		data = data[len(chunk):]
	}
	return nil
}

// pacedReader reads at the rate of a pacer.
type pacedReader struct {
	ctx    context.Context
	reader io.Reader
	pacer  *pacer
}

func (r *pacedReader) Read(b []byte) (int, error) {
	n, err := r.reader.Read(r.pacer.next(b))
	if waitErr := r.pacer.wait(r.ctx, n); waitErr != nil && err == nil {
		err = waitErr
	}
	return n, err
}
