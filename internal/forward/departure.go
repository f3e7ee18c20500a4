package forward

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasLeft reports whether the caller has closed the connection, without reading what
// it has sent before. Where the poller does not report that, it returns false; the
// bytes read ahead then show it as far as they reach.
func hasLeft(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false // It is closed, which the read loop sees itself.
	}
	left := false
	_ = raw.Control(func(fd uintptr) { // An error means that it is closed.
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		left = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return left
}
