package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

// conn is one connection to an endpoint. At most one exchange uses it at a
// time.
type conn struct {
	net.Conn
	pool     *pool
	protocol EndpointProtocol
	// served is the number of exchanges that have begun on it.
	served int
	// roundTrip is how long the connection took to open.
	roundTrip time.Duration
	// idleUntil is when the connection is given up if nothing uses it.
	idleUntil time.Time
	lastUse   time.Time

	mu sync.Mutex
	// call is the exchange that waits for its response, or nil.
	call *waiting
	dead bool
	// forgotten means that the pool counts it no more; the pool's lock guards
	// it.
	forgotten bool
}

// waiting is an exchange that waits for its response.
type waiting struct {
	req  *http.Request
	id   string
	done chan Result
}

// inlineBody is the size up to which a request is written before its response
// is read. The windows of connections are larger.
const inlineBody = 4 << 10

// exchange writes the request and waits for its response or the context.
func (c *conn) exchange(ctx context.Context, call *Call, message []byte) Result {
	w := &waiting{req: &http.Request{Method: call.Method}, id: call.ID, done: make(chan Result, 1)}
	if !c.begin(w) {
		return Result{Outcome: NotSent, Err: errClosing}
	}
	written := make(chan error, 1)
	if len(message) <= inlineBody {
		written <- c.write(message, call.Deadline)
	} else {
		go func() { written <- c.write(message, call.Deadline) }()
	}
	select {
	case res := <-w.done:
		c.finish(res, written)
		return res
	case <-ctx.Done():
		c.kill()
		return Result{Outcome: Abandoned, Err: context.Cause(ctx)}
	}
}

func (c *conn) begin(w *waiting) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return false
	}
	c.call = w
	c.served++
	return true
}

// write sends the request. After an error the reader decides the outcome,
// because the endpoint may have answered before it read all.
func (c *conn) write(message []byte, deadline time.Time) error {
	_ = c.SetWriteDeadline(deadline)
	_, err := c.Write(message)
	return err
}

// finish returns the connection to its pool if it is fit for more.
func (c *conn) finish(res Result, written <-chan error) {
	if res.Outcome != Answered && res.Outcome != NotRun {
		c.kill()
		return
	}
	select {
	case err := <-written:
		if err != nil || closing(res.Header) {
			c.kill()
			return
		}
	default:
		// The rest of the request would be read as another one.
		c.kill()
		return
	}
	c.pool.release(c, keepFor(res.Header))
}

func closing(h http.Header) bool {
	return strings.EqualFold(h.Get("Connection"), "close")
}

// keepFor reads how long the endpoint keeps an idle connection, or 0.
func keepFor(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if s, err := strconv.Atoi(v); err == nil && s > 0 {
				return time.Duration(s) * time.Second
			}
		}
	}
	return 0
}

func (c *conn) kill() {
	c.mu.Lock()
	c.dead = true
	c.mu.Unlock()
	_ = c.Close()
	c.pool.forget(c)
}

// readLoop reads responses until the connection ends.
func (c *conn) readLoop() {
	br := bufio.NewReaderSize(c.Conn, 4<<10)
	for {
		if _, err := br.Peek(1); err != nil {
			c.fail(err)
			return
		}
		w := c.current()
		if w == nil {
			// Bytes on an idle connection belong to no request.
			c.fail(errMismatch)
			return
		}
		res, err := c.read(br, w)
		if err != nil {
			c.fail(err)
			return
		}
		if res == nil {
			continue
		}
		last := closing(res.Header)
		c.deliver(w, *res)
		if last {
			return
		}
	}
}

func (c *conn) current() *waiting {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.call
}

// read reads one response. It returns nil for one that belongs to no waiting
// request.
func (c *conn) read(br *bufio.Reader, w *waiting) (*Result, error) {
	resp, err := http.ReadResponse(br, w.req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, errSwitching
	}
	if resp.StatusCode < minStatus {
		return nil, nil // An interim response.
	}
	if resp.StatusCode > maxStatus {
		return nil, errors.Errorf("status %d", resp.StatusCode)
	}
	if c.pool.client.cfg.RequireFraming && unframed(resp, w.req.Method) {
		return nil, errNoEnd
	}
	body, err := readBody(resp)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if id := c.protocol.RequestID(resp.Header); id != "" && id != w.id {
		return nil, nil // A late response to an earlier request.
	}
	res := &Result{Status: resp.StatusCode, Header: resp.Header, Body: body}
	res.Fields = c.protocol.Read(resp.StatusCode, resp.Header)
	if res.Fields.NotRun {
		res.Outcome = NotRun
	}
	if resp.Close {
		res.Header.Set("Connection", "close")
	}
	return res, nil
}

// unframed reports whether a response's body ends with its connection.
func unframed(resp *http.Response, method string) bool {
	bodyless := method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	return !bodyless && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

func readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxResponseBytes {
		return nil, errTooLarge
	}
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		if errors.Is(err, io.EOF) && resp.ContentLength > 0 {
			err = io.ErrUnexpectedEOF
		} else if resp.ContentLength == 0 {
			err = nil
		}
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if len(body) > maxResponseBytes {
		return nil, errTooLarge
	}
	return body, err
}

func (c *conn) deliver(w *waiting, res Result) {
	c.mu.Lock()
	if c.call == w {
		c.call = nil
	}
	c.mu.Unlock()
	w.done <- res
}

// fail ends the connection and the exchange that waits on it.
func (c *conn) fail(err error) {
	c.mu.Lock()
	w := c.call
	c.call = nil
	c.dead = true
	c.mu.Unlock()
	_ = c.Close()
	c.pool.forget(c)
	if w != nil {
		w.done <- Result{Outcome: Unknown, Err: err}
	}
}
