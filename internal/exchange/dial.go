package exchange

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer opens TCP connections that notice a silent path: unacknowledged bytes
// and unanswered keep-alive probes end them.
type Dialer struct {
	// Timeout bounds opening a connection.
	Timeout time.Duration
	// UserTimeout is how long the other side may stay silent on the TCP level.
	UserTimeout time.Duration
}

// keepAliveProbes is how many probes may stay unanswered.
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

// keepAlive is the silence before the first probe. The kernel counts whole
// seconds.
func (d Dialer) keepAlive() time.Duration { return max(d.UserTimeout, time.Second) }

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
