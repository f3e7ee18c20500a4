package exchange

import (
	"io"
	"net/http"

	"github.com/juju/errors"
)

const (
	// minBodyBytes is the initial size of the buffer for a body of unknown
	// length. It grows with the bytes that arrive, whatever length the response
	// declares.
	minBodyBytes = 4 << 10
	// freeBodyBytes is the part of each body that does not count towards the
	// following limits, so that small responses never fail because of them.
	freeBodyBytes = 64 << 10
	// maxBufferedBytes bounds the bodies that are being read from all
	// endpoints, and maxEndpointBufferedBytes those from one.
	maxBufferedBytes         = 32 << 20
	maxEndpointBufferedBytes = maxBufferedBytes / 2
)

const errBuffersFull = errors.ConstError("responses being read exceed the memory limit")

// bodyBuffer is the buffer of a body that is being read.
type bodyBuffer struct {
	pool *pool
	data []byte
	// reserved is the number of bytes counted towards the limits.
	reserved int64
}

// readBody reads the whole body of a response.
func (p *pool) readBody(resp *http.Response) ([]byte, error) {
	if resp.Body == http.NoBody {
		return nil, nil // The length in a response to HEAD is that of GET.
	}
	limit := int64(maxResponseBytes)
	if resp.ContentLength > limit {
		return nil, errTooLarge
	}
	if resp.ContentLength >= 0 {
		limit = resp.ContentLength
	}
	b := bodyBuffer{pool: p}
	defer b.release()
	for {
		if len(b.data) == cap(b.data) {
			if err := b.grow(limit); err != nil {
				return nil, err
			}
		}
		n, err := resp.Body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case int64(len(b.data)) > limit:
			return nil, errTooLarge
		case errors.Is(err, io.EOF):
			return b.data, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow doubles the buffer, up to one byte more than the limit, so that a longer
// body is detected. The old buffer is counted until the next growth, because its memory is
// not free before a collection.
func (b *bodyBuffer) grow(limit int64) error {
	old := int64(cap(b.data))
	size := min(max(2*old, minBodyBytes), limit+1)
	if err := b.reserve(max(size+old-freeBodyBytes, 0) - b.reserved); err != nil {
		return err
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	return nil
}

// reserve counts n more bytes towards the limits.
func (b *bodyBuffer) reserve(n int64) error {
	cfg := &b.pool.client.cfg
	if n > 0 && cfg.Reserve != nil && !cfg.Reserve(n) {
		return errBuffersFull
	}
	b.reserved += n
	ofEndpoint, all := b.pool.buffered.Add(n), b.pool.client.buffered.Add(n)
	if n > 0 && (ofEndpoint > maxEndpointBufferedBytes || all > maxBufferedBytes) {
		return errBuffersFull
	}
	return nil
}

// release ends the reservation.
func (b *bodyBuffer) release() {
	if cfg := &b.pool.client.cfg; cfg.Unreserve != nil && b.reserved > 0 {
		cfg.Unreserve(b.reserved)
	}
	b.pool.buffered.Add(-b.reserved)
	b.pool.client.buffered.Add(-b.reserved)
}
