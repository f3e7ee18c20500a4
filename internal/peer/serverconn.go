package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/trace"
)

// serverConn is one connection of a Server.
type serverConn struct {
	server     *Server
	conn       net.Conn
	ctx        context.Context
	cancel     context.CancelFunc
	in         *frameReader
	firstFrame bool
	semaphore  chan struct{}

	// receiving is the memory of the message that is being received, or nil.
	receiving *largeMessage
	// progressAt is when bytes were last received or sent, in Unix nanoseconds.
	progressAt atomic.Int64

	writing sync.Mutex
	out     *frameEncoder
}

func newServerConn(s *Server, conn net.Conn) *serverConn {
	ctx, cancel := context.WithCancel(s.ctx)
	c := &serverConn{
		server:     s,
		ctx:        ctx,
		cancel:     cancel,
		firstFrame: true,
		semaphore:  make(chan struct{}, s.opts.MaxCallsPerConn),
		out:        newFrameEncoder(),
	}
	c.conn = countingConn{progressConn{conn, &c.progressAt}, &s.counters.bytesIn, &s.counters.bytesOut}
	c.in = newFrameReader(c.conn)
	c.in.admit = c.admit
	return c
}

// admit waits for the memory of a message of n bytes.
func (c *serverConn) admit(n int) error {
	c.receiving = c.server.large.acquire(c, largeCost*int64(n), c.server.opts.MessageTimeout)
	if c.receiving == nil {
		return errNoMemory
	}
	return nil
}

const errNoMemory = errors.ConstError("no memory for a large message")

// received drops a large message that has been decoded.
func (c *serverConn) received() {
	if c.receiving != nil {
		c.in.reset()
		c.receiving.release()
		c.receiving = nil
	}
}

func (c *serverConn) close() {
	c.cancel()
	_ = c.conn.Close()
}

// serve reads calls one after the other. Each call runs in the goroutine that
// has read it, by rpc.Server.ServeRequest, so that a panic of the method can be
// recovered there. With rpc.Server.ServeCodec a panic would end the process.
func (c *serverConn) serve() {
	defer c.server.removeConn(c)
	defer c.close()
	for {
		select {
		case c.semaphore <- struct{}{}:
		case <-c.ctx.Done():
			return
		}
		call := &serverCall{conn: c, readDone: make(chan bool, 1)}
		c.server.running.Go(call.run)
		if !<-call.readDone {
			return
		}
	}
}

func (c *serverConn) readFrame() error {
	idle := c.server.opts.IdleTimeout
	if c.firstFrame {
		idle = c.server.opts.HeaderTimeout
	}
	err := c.in.next(idle, c.server.opts.MessageTimeout)
	c.firstFrame = false
	if errors.Is(err, ErrTooLarge) {
		c.server.counters.malformed.Add(1)
	}
	return err
}

// write sends one response. It closes the connection after an error.
func (c *serverConn) write(head responseHeader, body any) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	frame, err := c.out.encode(head, body)
	if err == nil && len(frame) > maxKeptBufferBytes {
		defer c.out.reset()
		large := c.server.large.acquire(c, int64(len(frame)), c.server.opts.MessageTimeout)
		defer large.release()
		if large == nil {
			err = errNoMemory
		}
	}
	if err == nil {
		_ = c.conn.SetWriteDeadline(time.Now().Add(c.server.opts.MessageTimeout))
		_, err = c.conn.Write(frame)
	}
	if err != nil {
		c.close()
	}
	return err
}

// serverCall is the rpc.ServerCodec of a single call.
type serverCall struct {
	conn *serverConn
	head requestHeader
	// readDone receives one value when this call no longer reads from the
	// connection: whether the next call can read from it.
	readDone     chan bool
	readFinished bool
	cancel       context.CancelFunc
	span         trace.Span
}

func (s *serverCall) run() {
	defer func() { <-s.conn.semaphore }()
	defer s.end()
	defer s.recoverPanic()
	_ = s.conn.server.rpc.ServeRequest(s)
}

func (s *serverCall) recoverPanic() {
	value := recover()
	if value == nil {
		return
	}
	s.conn.server.panicked(s.head.Method, value)
	failure := responseHeader{Seq: s.head.Seq, Error: fmt.Sprintf("%s panicked", s.head.Method)}
	_ = s.conn.write(failure, struct{}{})
}

func (s *serverCall) end() {
	s.finishRead(false)
	if s.cancel != nil {
		s.cancel()
	}
	if s.span != nil {
		s.span.End()
	}
}

// finishRead lets the next call read from the connection, or ends the connection
// if the stream is not usable. Only the first call has an effect.
func (s *serverCall) finishRead(usable bool) {
	if s.readFinished {
		return
	}
	s.readFinished = true
	s.conn.received()
	s.readDone <- usable
}

// ReadRequestHeader implements rpc.ServerCodec.
func (s *serverCall) ReadRequestHeader(r *rpc.Request) error {
	if err := s.conn.readFrame(); err != nil {
		return io.EOF
	}
	if err := s.conn.in.dec.Decode(&s.head); err != nil {
		s.conn.server.counters.malformed.Add(1)
		return io.EOF
	}
	r.ServiceMethod = s.head.Method
	r.Seq = s.head.Seq
	return nil
}

// ReadRequestBody implements rpc.ServerCodec. A nil body discards the
// arguments of an unknown method.
func (s *serverCall) ReadRequestBody(body any) error {
	if err := s.conn.in.dec.Decode(body); err != nil {
		s.conn.server.counters.malformed.Add(1)
		return errors.Annotate(err, "decoding arguments")
	}
	s.conn.server.counters.calls.Add(1)
	s.setContext(body)
	s.finishRead(true)
	return nil
}

func (s *serverCall) setContext(body any) {
	receiver, ok := body.(ContextReceiver)
	if !ok && s.head.Traceparent == "" {
		return
	}
	ctx := s.conn.ctx
	if s.head.TimeoutMS > 0 {
		ctx, s.cancel = context.WithTimeout(ctx, time.Duration(s.head.TimeoutMS)*time.Millisecond)
	}
	if s.head.Traceparent != "" {
		ctx, s.span = startServerSpan(ctx, s.head.Method, s.head.Traceparent)
	}
	if ok {
		receiver.SetCallContext(ctx)
	}
}

// WriteResponse implements rpc.ServerCodec.
func (s *serverCall) WriteResponse(r *rpc.Response, body any) error {
	return s.conn.write(responseHeader{Seq: r.Seq, Error: r.Error}, body)
}

// Close implements rpc.ServerCodec. ServeRequest does not call it.
func (s *serverCall) Close() error { return nil }
