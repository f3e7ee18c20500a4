// Package freeport reserves TCP ports for listeners that are opened later, in
// this process or in another one.
package freeport

import (
	"net/netip"
	"syscall"

	"github.com/juju/errors"
)

// Port is a TCP port that is reserved on all IPv4 addresses of the machine.
type Port struct {
	socket int
	number uint16
}

// Reserve reserves a free port until Release. Listeners with SO_REUSEADDR, which
// the net package sets, can be opened on the port by any process, closed and
// opened again. The kernel assigns the port neither to an outgoing connection nor
// to a listener on port 0. Until there is a listener, connections are refused.
func Reserve() (*Port, error) {
	// A socket that is bound but does not listen does not conflict with a
	// listener if both have SO_REUSEADDR.
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Annotate(err, "reserving a port")
	}
	number, err := bind(socket)
	if err != nil {
		_ = syscall.Close(socket) // The error of bind is the cause.
		return nil, errors.Annotate(err, "reserving a port")
	}
	return &Port{socket, number}, nil
}

// bind binds the socket to a free port and returns the port.
func bind(socket int) (uint16, error) {
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return 0, err
	}
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{}); err != nil {
		return 0, err
	}
	addr, err := syscall.Getsockname(socket)
	if err != nil {
		return 0, err
	}
	v4, ok := addr.(*syscall.SockaddrInet4)
	if !ok {
		return 0, errors.Errorf("unexpected address %T", addr)
	}
	return uint16(v4.Port), nil
}

// On returns the address of the port on an IP address of the machine.
func (p *Port) On(ip netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(ip, p.number)
}

// Loopback returns the address of the port on 127.0.0.1.
func (p *Port) Loopback() netip.AddrPort {
	return p.On(netip.AddrFrom4([4]byte{127, 0, 0, 1}))
}

// Release ends the reservation.
func (p *Port) Release() error {
	return errors.Annotatef(syscall.Close(p.socket), "releasing port %d", p.number)
}
