package freeport

import (
	"net"
	"testing"
)

// Guards against a reserved port that is assigned to another listener or to an
// outgoing connection, or on which no listener can be opened.
func TestReservedPortIsNotAssigned(t *testing.T) {
	reserved := map[string]bool{}
	for range 1000 {
		p, err := Reserve()
		if err != nil {
			t.Fatal(err)
		}
		defer p.Release()
		if reserved[p.Loopback().String()] {
			t.Fatalf("port %d reserved twice", p.number)
		}
		reserved[p.Loopback().String()] = true
	}
	for range 1000 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if reserved[ln.Addr().String()] || reserved[conn.LocalAddr().String()] {
			t.Fatalf("listener %s or connection %s has a reserved port", ln.Addr(), conn.LocalAddr())
		}
	}
	for addr := range reserved {
		for range 2 {
			ln, err := net.Listen("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			ln.Close()
		}
		if conn, err := net.Dial("tcp", addr); err == nil {
			conn.Close()
			t.Fatalf("a connection to %s was accepted without a listener", addr)
		}
	}
}
