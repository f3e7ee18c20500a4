package peer

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// maxQueuedBytes limits the messages that are queued for writing on one
	// connection.
	maxQueuedBytes = 4 << 20
	// responseTimeout is the timeout for reading the rest of a response after
	// its first byte.
	responseTimeout = 5 * time.Second
)

// callArgs carries a call's arguments, timeout and trace context through
// rpc.Client to the codec.
type callArgs struct {
	args        any
	timeout     time.Duration
	traceparent string
}

// clientConn is one connection to another instance. It is the
// rpc.ClientCodec of its rpc.Client.
type clientConn struct {
	remote *remote
	addr   netip.AddrPort
	conn   net.Conn
	rpc    *rpc.Client
	in     *frameReader
	out    *frameEncoder

	// unanswered holds the sequence numbers of the calls that were sent and got
	// no response. It includes those that have timed out.
	unansweredMu sync.Mutex
	unanswered   map[uint64]struct{}
	// pending counts the calls that wait for a response.
	pending atomic.Int64
	// lastRead and lastUse are in nanoseconds since the Unix epoch; zero
	// means never.
	lastRead, lastUse atomic.Int64
	retired           atomic.Bool

	// Messages are queued and written by one goroutine, because rpc.Client
	// holds a lock while the codec writes: with direct writes, a call on a
	// blocked connection would hold up other calls beyond their deadlines.
	queueMu sync.Mutex
	queue   bytes.Buffer
	wake    chan struct{}
	closing sync.Once
	closed  chan struct{}
}

func newClientConn(r *remote, addr netip.AddrPort, conn net.Conn) *clientConn {
	counted := countingConn{conn, &r.pool.counters.bytesIn, &r.pool.counters.bytesOut}
	c := &clientConn{
		remote: r,
		addr:   addr,
		conn:   counted,
		in:     newFrameReader(counted),
		out:    newFrameEncoder(),
		wake:   make(chan struct{}, 1),
		closed: make(chan struct{}),

		unanswered: map[uint64]struct{}{},
	}
	c.lastUse.Store(time.Now().UnixNano())
	return c
}

func (c *clientConn) start() bool {
	if !c.remote.pool.start(c.writeQueued) {
		return false
	}
	c.rpc = rpc.NewClientWithCodec(c)
	return true
}

// idleTime returns how long no call has been sent, or 0 while a call is pending.
func (c *clientConn) idleTime(now time.Time) time.Duration {
	if c.pending.Load() > 0 {
		return 0
	}
	return now.Sub(time.Unix(0, c.lastUse.Load()))
}

// call sends one call and waits for its response or the end of the context. It
// reports whether any byte of the call may have been sent.
func (c *clientConn) call(ctx context.Context, method string, args, reply any) (sent bool, err error) {
	if err := ctx.Err(); err != nil {
		return false, err
	}
	start := time.Now()
	c.pending.Add(1)
	c.lastUse.Store(start.UnixNano())
	defer c.finish()
	// The response is decoded into a separate value, because it may arrive
	// after the call has ended and the caller has reused its reply.
	fresh := reflect.New(reflect.TypeOf(reply).Elem())
	deadline, _ := ctx.Deadline()
	out := &callArgs{args, time.Until(deadline), traceparent(ctx)}
	call := c.rpc.Go(method, out, fresh.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(fresh.Elem())
		}
		notSent := errors.Is(call.Error, rpc.ErrShutdown) || errors.Is(call.Error, ErrNotSent)
		return !notSent, call.Error
	case <-ctx.Done():
		c.timedOut(ctx, start)
		return true, ctx.Err()
	}
}

// timedOut retires the connection if nothing was read on it since the start of
// a call that reached its deadline. The next call then opens a new connection.
// Other calls in flight keep waiting for their responses, because a long poll
// gets no response for a long time without any fault.
func (c *clientConn) timedOut(ctx context.Context, start time.Time) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return
	}
	c.remote.pool.counters.timeouts.Add(1)
	if c.lastRead.Load() >= start.UnixNano() {
		return
	}
	c.remote.pool.counters.silent.Add(1)
	c.remote.retire(c)
}

func (c *clientConn) finish() {
	c.pending.Add(-1)
	c.closeIfDone()
}

func (c *clientConn) closeIfDone() {
	if c.retired.Load() && c.pending.Load() == 0 {
		c.close()
	}
}

func (c *clientConn) close() {
	c.closing.Do(func() {
		close(c.closed)
		_ = c.conn.Close()
	})
}

// WriteRequest implements rpc.ClientCodec. It queues the request.
func (c *clientConn) WriteRequest(r *rpc.Request, body any) error {
	out, _ := body.(*callArgs)
	head := requestHeader{
		Method:      r.ServiceMethod,
		Seq:         r.Seq,
		TimeoutMS:   uint32(max(1, min(out.timeout.Milliseconds(), 1<<31))),
		Traceparent: out.traceparent,
	}
	frame, err := c.out.encode(head, out.args)
	if err == nil {
		c.unansweredMu.Lock()
		c.unanswered[r.Seq] = struct{}{}
		c.unansweredMu.Unlock()
		err = c.enqueue(frame)
	}
	if err != nil {
		c.close()
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return nil
}

func (c *clientConn) enqueue(frame []byte) error {
	c.queueMu.Lock()
	defer c.queueMu.Unlock()
	if c.queue.Len()+len(frame) > maxQueuedBytes {
		return errors.QuotaLimitExceededf("bytes queued on a connection")
	}
	c.queue.Write(frame)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// writeQueued writes queued messages until the connection is closed.
func (c *clientConn) writeQueued() {
	var writing bytes.Buffer
	for {
		select {
		case <-c.closed:
			return
		case <-c.wake:
		}
		c.queueMu.Lock()
		writing, c.queue = c.queue, writing
		c.queueMu.Unlock()
		_ = c.conn.SetWriteDeadline(time.Now().Add(c.remote.pool.opts.WriteTimeout))
		if _, err := c.conn.Write(writing.Bytes()); err != nil {
			c.close()
			return
		}
		writing.Reset()
		if writing.Cap() > maxKeptBufferBytes {
			writing = bytes.Buffer{}
		}
	}
}

// ReadResponseHeader implements rpc.ClientCodec. rpc.Client calls it in a loop
// until it returns an error.
func (c *clientConn) ReadResponseHeader(r *rpc.Response) error {
	err := c.in.next(0, responseTimeout)
	var head responseHeader
	if err == nil {
		err = c.in.dec.Decode(&head)
	}
	if err == nil && !c.answers(head.Seq) {
		err = errUnsolicited
	}
	if err != nil {
		return c.fail(err)
	}
	if c.lastRead.Swap(time.Now().UnixNano()) == 0 {
		c.remote.resetBackoff()
	}
	r.Seq = head.Seq
	r.Error = head.Error
	return nil
}

// errUnsolicited means that a response belongs to no call.
const errUnsolicited = errors.ConstError("response without a call")

// answers records a response. It reports whether its call is unanswered.
func (c *clientConn) answers(seq uint64) bool {
	c.unansweredMu.Lock()
	defer c.unansweredMu.Unlock()
	_, ok := c.unanswered[seq]
	delete(c.unanswered, seq)
	return ok
}

// ReadResponseBody implements rpc.ClientCodec. A nil body discards the result.
func (c *clientConn) ReadResponseBody(body any) error {
	if err := c.in.dec.Decode(body); err != nil {
		return c.fail(err)
	}
	return nil
}

func (c *clientConn) fail(err error) error {
	c.remote.connFailed(c, err)
	c.close()
	return err
}

// Close implements rpc.ClientCodec.
func (c *clientConn) Close() error {
	c.close()
	return nil
}

func isServerError(err error) bool {
	var e rpc.ServerError
	return errors.As(err, &e)
}
