package httpstrict

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// defaultMaxHead is the largest head of a response, in bytes, if the transport has no
// limit.
const defaultMaxHead = 64 << 10

// Transport returns a RoundTripper for HTTP/1 that works like base and ends an exchange
// with an error of this package if the peer sends what is not a response. It limits
// heads to base.MaxResponseHeaderBytes. base must not be used otherwise.
func Transport(base *http.Transport) http.RoundTripper {
	t := base.Clone()
	if t.MaxResponseHeaderBytes == 0 {
		t.MaxResponseHeaderBytes = defaultMaxHead
	}
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err // Not wrapped: net/http checks its type.
		}
		return &conn{Conn: c, head: head{max: int(t.MaxResponseHeaderBytes), interim: true, state: headDone}}, nil
	}
	return &transport{t}
}

// transport is an http.Transport whose connections are checked.
type transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.expect()
		}
	}}
	return t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// conn checks the heads of responses on a connection that net/http reads.
type conn struct {
	net.Conn

	mu   sync.Mutex
	head head

	// writing guards the fields below. Write holds it.
	writing sync.Mutex
	// writeErr is set once the peer has reset the connection, and wrote once a part of
	// the request has been written.
	writeErr error
	wrote    bool
}

// expect begins the head of a response: a request is about to be written.
func (c *conn) expect() {
	c.mu.Lock()
	c.head.reset()
	c.mu.Unlock()
	c.writing.Lock()
	c.wrote = false
	c.writing.Unlock()
}

// Write implements net.Conn. It does not report a reset in the middle of a request: the
// peer may have responded before, and net/http would discard the response. Read tells
// whether it has.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := 0, c.writeErr
	if err == nil {
		n, err = c.Conn.Write(p)
	}
	c.wrote = c.wrote || n > 0
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		c.writeErr = err
		if c.wrote {
			return len(p), nil
		}
	}
	return n, err // Not wrapped: net/http checks its type.
}

// resetError returns the error of a write, which it waits for, if the peer has reset the
// connection.
func (c *conn) resetError() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

// hungUp reports whether a connection whose peer has ended it has also ended for writers.
// A write to one that has not may block for as long as the peer reads nothing. It returns
// true if the kernel does not tell.
func hungUp(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true // It is closed, so no write blocks.
	}
	hup := true
	_ = raw.Control(func(fd uintptr) { // An error means that it is closed.
		fds := []unix.PollFd{{Fd: int32(fd)}}
		if _, err := unix.Poll(fds, 0); err == nil {
			hup = fds[0].Revents&(unix.POLLHUP|unix.POLLERR) != 0
		}
	})
	return hup
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	bad := c.head.err
	c.mu.Unlock()
	if bad != nil {
		return 0, bad
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && hungUp(c.Conn) {
		// The kernel reports a reset once, which may have been to a writer.
		if reset := c.resetError(); reset != nil {
			err = reset
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if bad := c.head.check(p[:n]); bad != nil {
		return 0, bad
	}
	return n, err // Not wrapped: net/http checks its type.
}
