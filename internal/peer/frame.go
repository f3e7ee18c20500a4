package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	frameHeaderBytes = 4
	// maxKeptBufferBytes is the largest buffer that is kept between messages.
	// Larger messages are rare, and keeping their buffers would cost memory
	// for each connection.
	maxKeptBufferBytes = 16 << 10
	readBufferBytes    = 2 << 10
)

// requestHeader precedes the arguments of a call.
type requestHeader struct {
	Method string
	Seq    uint64
	// TimeoutMS is the time to the deadline of the call, in milliseconds.
	TimeoutMS uint32
	// Traceparent is the caller's span in W3C Trace Context format, or empty.
	// gob does not transmit empty fields.
	Traceparent string
}

// responseHeader precedes the result of a call. It has no method name, because
// net/rpc matches calls by Seq.
type responseHeader struct {
	Seq   uint64
	Error string
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	in, out *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(int64(n))
	return n, err
}

// frameReader decodes the frames of one direction of a connection.
type frameReader struct {
	conn net.Conn
	br   *bufio.Reader
	buf  bytes.Buffer
	dec  *gob.Decoder
	// admit is called before a frame of more than maxKeptBufferBytes is read, if it is
	// not nil.
	admit func(n int) error
}

func newFrameReader(conn net.Conn) *frameReader {
	r := &frameReader{conn: conn, br: bufio.NewReaderSize(conn, readBufferBytes)}
	r.dec = gob.NewDecoder(&r.buf)
	return r
}

// next reads one frame into the buffer. It waits up to idle for the first byte
// (zero means no limit) and up to rest for the other bytes. The buffer grows
// with the bytes that arrive, so that no memory is allocated for a length that
// the frame declares but does not have, unless admit has granted it.
func (r *frameReader) next(idle, rest time.Duration) error {
	if err := r.conn.SetReadDeadline(deadlineAfter(idle)); err != nil {
		return err
	}
	if _, err := r.br.Peek(1); err != nil {
		return err
	}
	if err := r.conn.SetReadDeadline(deadlineAfter(rest)); err != nil {
		return err
	}
	var head [frameHeaderBytes]byte
	if _, err := io.ReadFull(r.br, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > MaxMessageBytes {
		return errors.Annotatef(ErrTooLarge, "frame of %d bytes", n)
	}
	r.reset()
	if n > maxKeptBufferBytes && r.admit != nil {
		if err := r.admit(int(n)); err != nil {
			return err
		}
		if err := r.conn.SetReadDeadline(deadlineAfter(rest)); err != nil {
			return err
		}
		r.buf.Grow(int(n) + bytes.MinRead)
	}
	_, err := io.CopyN(&r.buf, r.br, int64(n))
	return err
}

func (r *frameReader) reset() {
	if r.buf.Cap() > maxKeptBufferBytes {
		r.buf = bytes.Buffer{}
		return
	}
	r.buf.Reset()
}

func deadlineAfter(d time.Duration) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return time.Now().Add(d)
}

// frameEncoder encodes the frames of one direction of a connection. After an
// error it must not be used again, because gob does not repeat the type
// descriptions that were in the failed frame.
type frameEncoder struct {
	buf bytes.Buffer
	enc *gob.Encoder
}

func newFrameEncoder() *frameEncoder {
	e := &frameEncoder{}
	e.enc = gob.NewEncoder(&e.buf)
	return e
}

func (e *frameEncoder) reset() {
	if e.buf.Cap() > maxKeptBufferBytes {
		e.buf = bytes.Buffer{}
		return
	}
	e.buf.Reset()
}

// encode returns a frame with the header and the body. The frame is valid until
// the next call.
func (e *frameEncoder) encode(head, body any) ([]byte, error) {
	e.reset()
	e.buf.Write(make([]byte, frameHeaderBytes))
	if err := e.enc.Encode(head); err != nil {
		return nil, err
	}
	if err := e.enc.Encode(body); err != nil {
		return nil, err
	}
	frame := e.buf.Bytes()
	n := len(frame) - frameHeaderBytes
	if n > MaxMessageBytes {
		return nil, errors.Annotatef(ErrTooLarge, "frame of %d bytes", n)
	}
	binary.BigEndian.PutUint32(frame, uint32(n))
	return frame, nil
}
