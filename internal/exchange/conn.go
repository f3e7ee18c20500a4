package exchange

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/httpstrict"
)

// conn is one connection to an endpoint. At most one exchange uses it at a
// time.
type conn struct {
	net.Conn
	pool     *pool
	protocol EndpointProtocol
	// served is the number of exchanges started on the connection, and sentIDs has
	// the IDs of the last ones.
	served  int
	sentIDs []string
	// roundTrip is the time it took to open the connection.
	roundTrip time.Duration
	// idleUntil is when the connection is closed if it stays idle.
	idleUntil time.Time
	lastUse   time.Time

	mu sync.Mutex
	// pending is the exchange that waits for its response, or nil.
	pending *pendingExchange
	closed  bool
	// removed means that the pool no longer counts the connection. The pool's
	// mutex guards it.
	removed bool
}

// pendingExchange is an exchange that waits for its response.
type pendingExchange struct {
	req *http.Request
	id  string
	// reused means that the connection has been used for another exchange before.
	reused bool
	done   chan Result
	// short means that writing the request does not block. written is closed when it has
	// been written or writing it has failed with writeErr.
	short    bool
	written  chan struct{}
	writeErr error
}

// maxInlineWrite is the message size up to which exchange writes the request
// itself before it waits for the response. Such a message is smaller than the TCP
// window of a connection, so the write does not block. Larger messages are
// written by a goroutine, because the endpoint may respond before it has read
// all.
const maxInlineWrite = 4 << 10

// exchange writes the head and the call's body and waits until the response is
// received or the context ends.
func (c *conn) exchange(ctx context.Context, call *Call, head []byte) Result {
	w := &pendingExchange{req: &http.Request{Method: call.Method}, id: call.ID, done: make(chan Result, 1), written: make(chan struct{})}
	w.short = len(call.MoreBody) == 0 && len(head)+len(call.Body) <= maxInlineWrite
	if !c.begin(w) {
		return Result{Outcome: NotSent, Err: errConnClosed}
	}
	if w.short {
		c.write(w, call.Deadline, append(head, call.Body...))
	} else {
		go c.write(w, call.Deadline, head, append([][]byte{call.Body}, call.MoreBody...)...)
	}
	select {
	case res := <-w.done:
		c.finish(res, w)
		return res
	case <-ctx.Done():
		c.abort()
		return Result{Outcome: Abandoned, Err: context.Cause(ctx)}
	}
}

// begin registers the exchange. It returns false if the connection is closed.
func (c *conn) begin(w *pendingExchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.pending = w
	w.reused = c.served > 0
	c.served++
	c.sentIDs = append(c.sentIDs, w.id)
	if over := len(c.sentIDs) - maxSentIDs; over > 0 {
		c.sentIDs = append(c.sentIDs[:0], c.sentIDs[over:]...)
	}
	return true
}

// maxSentIDs is the number of request IDs that a connection remembers. Requests with
// the same ID are few and follow soon after each other.
const maxSentIDs = 16

// hasSent reports whether a request with the ID was sent on the connection lately. A
// late copy of its response could not be told from the response to another request
// with that ID. The connection must not be in use.
func (c *conn) hasSent(id string) bool {
	return id != "" && slices.Contains(c.sentIDs, id)
}

// write sends the parts of the message of an exchange without copying them. A write
// error does not end the exchange: the reading goroutine determines the outcome,
// because the endpoint may have responded before it read the whole request.
func (c *conn) write(w *pendingExchange, deadline time.Time, head []byte, body ...[]byte) {
	defer close(w.written)
	_ = c.SetWriteDeadline(deadline)
	if len(body) == 0 {
		_, w.writeErr = c.Write(head)
		return
	}
	parts := append(net.Buffers{head}, body...)
	_, w.writeErr = parts.WriteTo(c.Conn) // One system call for many parts of a TCP connection.
}

// finish returns the connection to its pool if it can be reused, and discards it
// otherwise.
func (c *conn) finish(res Result, w *pendingExchange) {
	if res.Outcome != Answered && res.Outcome != NotRun {
		c.discard()
		return
	}
	select {
	case <-w.written:
		if w.writeErr != nil || closesConnection(res.Header) {
			c.discard()
			return
		}
	default:
		// The endpoint has responded before the request was written. The response is
		// complete, so the rest of the request has no use, and it would hold its memory
		// and the connection for as long as the endpoint does not read on. Nothing else
		// may follow on the connection: the endpoint would take it for the rest.
		c.discard()
		return
	}
	c.pool.release(c, keepAliveTimeout(res.Header))
}

// closesConnection reports whether the endpoint announces that it closes the
// connection after the response.
func closesConnection(h http.Header) bool {
	return strings.EqualFold(h.Get("Connection"), "close")
}

// maxKeepAliveSeconds bounds the time for which an idle connection is kept,
// whatever the endpoint announces.
const maxKeepAliveSeconds = 600

// keepAliveTimeout returns how long the endpoint keeps an idle connection, from
// its Keep-Alive header field, or 0 if it does not say.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if s, err := strconv.Atoi(v); err == nil && s > 0 {
				return time.Duration(min(s, maxKeepAliveSeconds)) * time.Second
			}
		}
	}
	return 0
}

// discard closes the connection and removes it from its pool.
func (c *conn) discard() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.Close()
	c.pool.remove(c)
}

// abort discards the connection and resets it, so that bytes of the request which have
// not reached the endpoint never do. The kernel would deliver them after an orderly
// close, however late, and the endpoint would run a request that nobody waits for.
func (c *conn) abort() {
	c.resetOnClose()
	c.discard()
}

func (c *conn) resetOnClose() {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0) // Fails only on a closed connection.
	}
}

// readLoop reads responses until the connection ends or the endpoint announces
// that it closes it.
func (c *conn) readLoop() {
	responses := httpstrict.NewReader(c.Conn, maxHeadBytes)
	for skipped := 0; ; {
		if err := responses.Await(); err != nil {
			c.fail(err)
			return
		}
		w := c.current()
		if w == nil {
			// Data on an idle connection belongs to no request.
			c.fail(errUnsolicited)
			return
		}
		res, err := c.read(responses, w)
		if err != nil {
			c.fail(err)
			return
		}
		if res == nil {
			if skipped++; skipped > maxSkippedResponses {
				c.fail(errTooManyResponses)
				return
			}
			continue
		}
		skipped = 0
		last := closesConnection(res.Header)
		c.deliver(w, *res)
		if last {
			return
		}
	}
}

// current returns the exchange that waits for its response, or nil.
func (c *conn) current() *pendingExchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// read reads one response. The result is nil for an interim response and for one
// that belongs to an earlier request.
func (c *conn) read(responses *httpstrict.Reader, w *pendingExchange) (*Result, error) {
	resp, err := responses.Read(w.req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	// The body is not closed, because Close reads it to its end. All errors close
	// the connection instead.
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, errSwitchedProtocols
	}
	if resp.StatusCode < minStatus {
		return nil, nil // An interim response.
	}
	if c.pool.client.cfg.RequireFraming && unframed(resp, w.req.Method) {
		return nil, errUnframed
	}
	body, err := c.pool.readBody(resp)
	if err != nil {
		return nil, errors.Trace(err)
	}
	switch id := c.protocol.RequestID(resp.Header); {
	case id != "" && id != w.id:
		return nil, nil // A duplicate response to an earlier request.
	case id == "" && w.id != "" && w.reused:
		return nil, errUnidentified
	}
	res := &Result{Status: resp.StatusCode, Header: resp.Header, Body: body}
	res.Fields = c.protocol.Read(resp.StatusCode, resp.Header)
	if res.Fields.Unproven && w.id != "" { // Responses to probes have no mark.
		return nil, errUnproven
	}
	if res.Fields.NotRun {
		res.Outcome = NotRun // Shown by the head, whatever follows.
	} else if unframed(resp, w.req.Method) {
		if err := c.awaitDelivery(w); err != nil {
			return nil, errors.Annotate(err, "response without a length")
		}
	}
	if resp.Close || responses.Buffered() > 0 {
		// Data after the response belongs to no request.
		res.Header.Set("Connection", "close")
	}
	return res, nil
}

// unframed reports whether the end of the response's body is marked only by the
// end of the connection.
func unframed(resp *http.Response, method string) bool {
	bodyless := method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	return !bodyless && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// deliver ends the exchange with a result.
func (c *conn) deliver(w *pendingExchange, res Result) {
	c.mu.Lock()
	if c.pending == w {
		c.pending = nil
	}
	c.mu.Unlock()
	w.done <- res
}

// fail discards the connection and ends the pending exchange with an unknown
// outcome.
func (c *conn) fail(err error) {
	c.mu.Lock()
	w := c.pending
	c.pending = nil
	c.closed = true
	c.mu.Unlock()
	delivered := w != nil && c.delivered(w)
	if w != nil {
		c.resetOnClose() // As in abort: another attempt may follow.
	}
	_ = c.Close()
	c.pool.remove(c)
	if w != nil {
		w.done <- Result{Outcome: Unknown, Err: err, Delivered: delivered}
	}
}
