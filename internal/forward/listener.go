package forward

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Listener accepts connections that detect at once when the caller closes them.
// net/http stops reading a connection while it handles a request and a
// pipelined one is pending, and would not notice that the caller has
// disconnected. These connections therefore read ahead, up to a limit.
type Listener struct {
	net.Listener
}

// maxReadAhead bounds the bytes that are read before net/http requests them.
const maxReadAhead = 16 << 10

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err // Not wrapped: net/http checks its type.
	}
	return newReadAheadConn(c), nil
}

// ConnContext returns a context that is cancelled when the connection ends.
// It is for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	a, ok := c.(*readAheadConn)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancelCause(ctx)
	a.onEnd(cancel)
	return ctx
}

// readAheadConn is a connection that a goroutine reads in advance.
type readAheadConn struct {
	net.Conn

	mu   sync.Mutex
	cond *sync.Cond
	buf  []byte
	// err is the error that ended reading.
	err      error
	deadline time.Time
	timer    *time.Timer
	cancel   context.CancelCauseFunc
}

func newReadAheadConn(c net.Conn) *readAheadConn {
	a := &readAheadConn{Conn: c}
	a.cond = sync.NewCond(&a.mu)
	go a.readLoop()
	return a
}

// onEnd sets the function that is called when the connection ends.
func (a *readAheadConn) onEnd(cancel context.CancelCauseFunc) {
	a.mu.Lock()
	a.cancel = cancel
	err := a.err
	a.mu.Unlock()
	if err != nil {
		cancel(err)
	}
}

// readLoop reads until the connection ends, and pauses while the buffer is
// full.
func (a *readAheadConn) readLoop() {
	chunk := make([]byte, 4<<10)
	for {
		n, err := a.Conn.Read(chunk)
		a.mu.Lock()
		a.buf = append(a.buf, chunk[:n]...)
		if err != nil {
			a.err = err
		}
		cancel := a.cancel
		a.cond.Broadcast()
		for err == nil && len(a.buf) >= maxReadAhead {
			a.cond.Wait()
			if a.err != nil {
				err = a.err // Closed by this instance.
			}
		}
		a.mu.Unlock()
		if err != nil {
			if cancel != nil {
				cancel(err)
			}
			return
		}
	}
}

// Read implements net.Conn.
func (a *readAheadConn) Read(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if !a.deadline.IsZero() && !time.Now().Before(a.deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		if len(a.buf) > 0 {
			n := copy(p, a.buf)
			a.buf = a.buf[n:]
			if len(a.buf) == 0 {
				a.buf = nil
			}
			a.cond.Broadcast()
			return n, nil
		}
		if a.err != nil {
			return 0, a.err
		}
		a.cond.Wait()
	}
}

// SetReadDeadline implements net.Conn.
func (a *readAheadConn) SetReadDeadline(t time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deadline = t
	if a.timer != nil {
		a.timer.Stop()
		a.timer = nil
	}
	if wait := time.Until(t); !t.IsZero() && wait > 0 {
		a.timer = time.AfterFunc(wait, a.wake)
	}
	a.cond.Broadcast()
	return nil
}

// wake wakes readers whose deadline has passed.
func (a *readAheadConn) wake() {
	a.mu.Lock()
	a.cond.Broadcast()
	a.mu.Unlock()
}

// SetDeadline implements net.Conn.
func (a *readAheadConn) SetDeadline(t time.Time) error {
	return errors.Trace(firstError(a.SetReadDeadline(t), a.Conn.SetWriteDeadline(t)))
}

// Close implements net.Conn.
func (a *readAheadConn) Close() error {
	err := a.Conn.Close()
	a.mu.Lock()
	if a.err == nil {
		a.err = net.ErrClosed
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	a.cond.Broadcast()
	a.mu.Unlock()
	return err
}

// CloseWrite lets net/http close a connection after the last response without
// resetting it.
func (a *readAheadConn) CloseWrite() error {
	if c, ok := a.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
