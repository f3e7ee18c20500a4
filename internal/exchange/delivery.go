package exchange

import (
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// The end of a response without a length is the end of the connection. It proves a
// complete response only if nothing else went wrong on the connection: the kernel
// reports a reset once for each socket, so if a write gets that error, the read that
// follows returns a normal end. An endpoint that crashes after it has read all bytes
// that have arrived so far closes its connection without a reset, too. Both are ruled
// out if the endpoint's host has acknowledged the whole request.

// deliveryPollInterval is the time between two checks whether the request has been
// acknowledged. They are rare: an endpoint usually ends a response after it has read
// the request.
const deliveryPollInterval = 2 * time.Millisecond

// awaitDelivery waits until the endpoint's host has acknowledged the whole request. It
// returns an error if writing it failed or the connection has an error. The wait is
// bounded by Config.UserTimeout, after which the kernel gives up sending, and by the
// end of the call's context, which closes the connection.
func (c *conn) awaitDelivery(w *pendingExchange) error {
	<-w.written
	if w.writeErr != nil {
		return errors.Annotate(w.writeErr, "writing the request")
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return errors.Trace(err)
	}
	for {
		left, err := unacknowledged(raw)
		if err != nil || left == 0 {
			return errors.Trace(err)
		}
		time.Sleep(deliveryPollInterval)
	}
}

// delivered reports whether the endpoint's host has acknowledged the whole request, as
// far as is known now.
func (c *conn) delivered(w *pendingExchange) bool {
	if w.short {
		<-w.written // Read may report the end of the connection first.
	}
	select {
	case <-w.written:
	default:
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok || w.writeErr != nil {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false // It is closed.
	}
	left, err := unacknowledged(raw)
	return err == nil && left == 0
}

// unacknowledged returns the number of bytes that were written to a socket and that
// its peer has not acknowledged, or the error of the socket.
func unacknowledged(raw syscall.RawConn) (left int, err error) {
	control := raw.Control(func(fd uintptr) {
		var pending int
		if pending, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR); err != nil {
			return
		}
		if pending != 0 {
			err = syscall.Errno(pending)
			return
		}
		left, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	if control != nil {
		err = control
	}
	return left, err
}
