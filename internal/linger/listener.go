package linger

import (
	"context"
	"net"
	"sync"
	"time"
)

// Listener accepts connections that are closed in stages: Close returns at once, and
// Drain lets what was written before still reach the peer.
type Listener struct {
	net.Listener

	mu sync.Mutex
	// closing holds the connections that are being closed.
	closing map[*conn]struct{}
	// none is closed when there are none. It is nil unless Wait is running.
	none chan struct{}
}

// NewListener returns a listener that takes its connections from ln.
func NewListener(ln net.Listener) *Listener {
	return &Listener{Listener: ln, closing: map[*conn]struct{}{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err // Not wrapped: net/http checks its type.
	}
	return &conn{Conn: c, listener: l}, nil
}

// Wait waits until no connection is being closed or the context ends. A process that
// exits before resets them.
func (l *Listener) Wait(ctx context.Context) error {
	for {
		none := l.noneClosing()
		if none == nil {
			return nil
		}
		select {
		case <-none:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// noneClosing returns a channel that is closed when no connection is being closed, or
// nil if none is.
func (l *Listener) noneClosing() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.closing) == 0 {
		return nil
	}
	if l.none == nil {
		l.none = make(chan struct{})
	}
	return l.none
}

// Unreceived returns the number of connections that are being closed and whose peers
// have not received all that was written.
func (l *Listener) Unreceived() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.closing {
		if Unacknowledged(c.Conn) > 0 {
			n++
		}
	}
	return n
}

func (l *Listener) begin(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing[c] = struct{}{}
}

func (l *Listener) end(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.closing, c)
	if len(l.closing) == 0 && l.none != nil {
		close(l.none)
		l.none = nil
	}
}

// conn is a connection that is closed in stages.
type conn struct {
	net.Conn
	listener *Listener

	// reading is held by Read, so that Drain begins when Read has ended.
	reading sync.Mutex

	// mu guards closed, and the deadline for reading against changes after Close.
	mu     sync.Mutex
	closed bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.isClosed() {
		return 0, c.closedError("read")
	}
	n, err := c.Conn.Read(p)
	if err != nil && c.isClosed() {
		err = c.closedError("read") // Not the deadline that Close has set.
	}
	return n, err // Not wrapped: net/http checks its type.
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.isClosed() {
		return 0, c.closedError("write")
	}
	return c.Conn.Write(p)
}

// closedError returns the error of a net.TCPConn that is closed: net/http would answer
// other read errors.
func (c *conn) closedError(op string) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: net.ErrClosed}
}

// CloseWrite lets net/http end the connection after the last response.
func (c *conn) CloseWrite() error {
	if c.isClosed() {
		return c.closedError("close")
	}
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. It ends a Read and a Write that are blocked.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return c.closedError("close")
	}
	c.closed = true
	_ = c.Conn.SetReadDeadline(time.Now()) // Ends Read. It fails only on a connection that has ended.
	c.listener.begin(c)
	go func() {
		defer c.listener.end(c)
		c.reading.Lock()
		defer c.reading.Unlock()
		Drain(c.Conn)
		_ = c.Conn.Close() // The peer has all that it can get.
	}()
	return nil
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return c.closedError("set")
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}
