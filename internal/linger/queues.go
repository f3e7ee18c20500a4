// Package linger ends connections so that the peer receives all that was written.
package linger

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns the number of bytes that were written to a TCP connection and
// that the peer's kernel has not acknowledged. It returns 0 if the kernel does not tell.
func Unacknowledged(c net.Conn) int { return queued(c, unix.SIOCOUTQ) }

// Unread returns the number of bytes that a TCP connection has received and that were not
// read. It returns 0 if the kernel does not tell.
func Unread(c net.Conn) int { return queued(c, unix.SIOCINQ) }

func queued(c net.Conn, queue uint) int {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0 // It is closed.
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { // An error means that it is closed.
		if bytes, err := unix.IoctlGetInt(int(fd), queue); err == nil {
			n = bytes
		}
	})
	return n
}
