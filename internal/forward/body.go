package forward

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/bound"
)

const (
	// bodyPart is the size of the parts in which a body of unknown length is held, and
	// the length up to which a body is charged to the reserve of small requests. Parts
	// are never copied to grow, which would hold a body twice.
	bodyPart = 64 << 10
	// bodyWait bounds the time for which a body waits unread for memory: as long as a
	// body of 20 MB takes at 100 Mbit/s, but no more than a third of the time that
	// the request has left.
	bodyWait      = 2 * time.Second
	bodyWaitShare = 1.0 / 3
	// bodyGrace is how long after a request's deadline its body may still arrive,
	// because the caller may take a refusal before it gives up.
	bodyGrace = time.Second
	// drainWait bounds reading the body of a request that is answered without it.
	// A body that is not read by then ends the connection.
	drainWait = 200 * time.Millisecond
)

const (
	errBodyRefused = errors.ConstError("the body does not fit into the memory budget")
	errBodyTooLong = errors.ConstError("the body exceeds the limit")
)

// requestCharge is the charge for the header section and the body of a request. It ends
// when neither the handler nor an attempt holds them: the attempts of a request that may
// not be repeated go on after its caller has left.
type requestCharge struct {
	guard *Guard
	conn  *guardedConn
	// charged are the bytes by class.
	charged [2]int64
	refs    atomic.Int64
	// answered is set once the connection no longer holds the bytes, though an attempt
	// may.
	answered atomic.Bool
	// body is the class of the body.
	body bound.Class
	// waitEnd bounds all waits of the body together, once one has begun: bodies in
	// chunks that each hold a part would otherwise wait for each other again and
	// again.
	waitEnd time.Time
}

func (c *requestCharge) retain() {
	if c != nil {
		c.refs.Add(1)
	}
}

func (c *requestCharge) release() {
	if c == nil || c.refs.Add(-1) != 0 {
		return
	}
	c.leaveConn()
	for class, n := range c.charged {
		c.guard.budget.Release(bound.Class(class), n)
	}
}

// leaveConn ends what the connection holds: closing it would not free the bytes that an
// attempt holds.
func (c *requestCharge) leaveConn() {
	if c.answered.CompareAndSwap(false, true) {
		c.conn.held.Add(-c.charged[bound.Small] - c.charged[bound.Large])
	}
}

// end ends what the handler holds.
func (c *requestCharge) end() {
	c.leaveConn()
	c.release()
}

// add charges n more bytes of the body and waits for them for a bounded time.
func (c *requestCharge) add(ctx context.Context, n int64, deadline time.Time) error {
	if !c.guard.budget.TryAcquire(c.body, n) {
		if c.waitEnd.IsZero() {
			c.waitEnd = time.Now().Add(min(bodyWait, time.Duration(bodyWaitShare*float64(time.Until(deadline)))))
		}
		before := phase(c.conn.phase.Load())
		c.conn.resume() // The caller is not to blame for the wait.
		granted := c.guard.await(ctx, c.body, n, time.Until(c.waitEnd))
		c.conn.enter(before)
		if !granted {
			return errBodyRefused
		}
	}
	c.charged[c.body] += n
	c.conn.held.Add(n)
	return nil
}

// readBody reads the body of a request. A body of known length is charged before it is
// read, others as they arrive.
func (h *Handler) readBody(a *guardedConn, r *http.Request, req *Request, limit int64) error {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	if r.ContentLength > limit {
		return errBodyTooLong
	}
	c := req.charge
	if r.ContentLength > bodyPart || r.ContentLength < 0 {
		c.body = bound.Large
	}
	if r.ContentLength > 0 {
		if err := c.add(r.Context(), r.ContentLength, req.Deadline); err != nil {
			return err
		}
	}
	a.enter(phaseBody)
	defer a.resume()
	if err := a.SetReadDeadline(req.Deadline.Add(bodyGrace)); err != nil {
		return errors.Trace(err)
	}
	// net/http would take an end of the deadline for the end of the connection.
	defer func() { _ = a.SetReadDeadline(time.Time{}) }()
	if r.ContentLength >= 0 {
		return req.readParts(r.Body, r.ContentLength)
	}
	return req.readChunks(r.Context(), r.Body, limit)
}

// readParts reads a body of known length.
func (req *Request) readParts(body io.Reader, n int64) error {
	for n > 0 {
		part := make([]byte, min(n, bodyPart))
		if _, err := io.ReadFull(body, part); err != nil {
			return err
		}
		req.addPart(part)
		n -= int64(len(part))
	}
	return nil
}

// minChunk is the size of the first part of a body of unknown length.
const minChunk = 4 << 10

// readChunks reads a body of unknown length. Each part is charged before it is read.
func (req *Request) readChunks(ctx context.Context, body io.Reader, limit int64) error {
	size, total := int64(minChunk), int64(0)
	for {
		if err := req.charge.add(ctx, size, req.Deadline); err != nil {
			return err
		}
		part := make([]byte, size)
		n, err := io.ReadFull(body, part)
		req.addPart(part[:n])
		total += int64(n)
		switch {
		case total > limit:
			return errBodyTooLong
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && int64(n) < size && bodyEnded(body):
			return nil
		case err != nil:
			return err
		}
		size = min(4*size, bodyPart)
	}
}

// bodyEnded tells the end of a body from an end of its connection, both of which
// io.ReadFull reports as io.ErrUnexpectedEOF.
func bodyEnded(body io.Reader) bool {
	_, err := body.Read(make([]byte, 1))
	return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}

func (req *Request) addPart(part []byte) {
	if req.Body == nil {
		req.Body = part
		return
	}
	if len(part) > 0 {
		req.MoreBody = append(req.MoreBody, part)
	}
}

// drain reads a short body of a request that is answered without it, so that the
// connection can be used again. Otherwise the connection is closed after the answer.
func (a *guardedConn) drain(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	if r.ContentLength > 0 && r.ContentLength <= bodyPart {
		a.enter(phaseBody)
		defer a.resume()
		_ = a.SetReadDeadline(time.Now().Add(drainWait)) // Never fails.
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			_ = a.SetReadDeadline(time.Time{})
			return
		}
	}
	a.closeUnread(w)
}
