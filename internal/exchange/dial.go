package exchange

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer opens TCP connections that detect an unresponsive peer: the kernel
// closes them when data stays unacknowledged or keep-alive probes stay
// unanswered.
type Dialer struct {
	// Timeout bounds the time to open a connection.
	Timeout time.Duration
	// UserTimeout is the TCP user timeout (RFC 5482): how long data may stay
	// unacknowledged.
	UserTimeout time.Duration
}

// keepAliveProbes is the number of unanswered probes after which a connection
// is closed.
const keepAliveProbes = 2

// Dial opens a connection to an IP address with a port.
func (d Dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	nd := net.Dialer{
		Timeout: d.Timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: d.keepAlive(), Interval: time.Second,
			Count: keepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error { return d.control(raw) },
	}
	return nd.DialContext(ctx, "tcp", addr)
}

// keepAlive returns the idle time before the first keep-alive probe: at least a
// second, because the kernel takes whole seconds.
func (d Dialer) keepAlive() time.Duration { return max(d.UserTimeout, time.Second) }

// control sets TCP_USER_TIMEOUT on a new socket.
func (d Dialer) control(raw syscall.RawConn) error {
	var err error
	set := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.UserTimeout.Milliseconds()))
	})
	if set != nil {
		return set
	}
	return err
}
