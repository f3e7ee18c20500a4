package proctest

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// longCrowdBody is a body that fits into the memory of the machine alone, as one of
// 60 MB does on the smallest of the deployments.
const longCrowdBody = 28 << 20

// callers returns n callers at a route.
func (s *serveProcess) callers(n int, path string, send func(net.Conn, place, <-chan struct{})) crowd {
	return crowd{n, place{"route", s.requests, path}, send}
}

// Guards against unbounded memory for long bodies that come whole and stop a byte short
// of their end, from callers who return.
func TestCrowdOfLongBodies(t *testing.T) {
	s := crowdSite{}.start(t)
	s.meet(s.callers(40, "/pay/x", known(longCrowdBody, 1<<20, 1)))
}

// Guards against unbounded memory for bodies of 1 MB that stop a byte short.
func TestCrowdOfMegabyteBodies(t *testing.T) {
	s := crowdSite{}.start(t)
	s.meet(s.callers(300, "/pay/x", known(1<<20, 64<<10, 1)))
}

// Guards against memory beyond what is charged for many bodies of the usual size, whole
// and piece by piece, that stop a byte short.
func TestCrowdOfSmallBodies(t *testing.T) {
	s := crowdSite{}.start(t)
	s.meet(s.callers(400, "/pay/x", known(60<<10, 60<<10, 1)), s.callers(400, "/pay/x", known(64<<10, 1000, 1)))
}

// Guards against unbounded memory for bodies in chunks of a byte, without and with chunk
// extensions, that stop within the last chunk.
func TestCrowdOfSmallChunks(t *testing.T) {
	s := crowdSite{}.start(t)
	tail := "ff\r\n" + strings.Repeat("x", 254)
	s.meet(s.callers(60, "/pay/x", chunked(1<<20, 1, "", tail)), s.callers(60, "/pay/x", chunked(1<<20, 1, ";"+strings.Repeat("e", 14), tail)))
}

// Guards against unbounded memory for bodies in large chunks that stop before the last
// chunk or within it.
func TestCrowdOfLargeChunks(t *testing.T) {
	s := crowdSite{}.start(t)
	s.meet(s.callers(100, "/pay/x", chunked(8<<20, 64<<10, "", "")), s.callers(30, "/pay/x", chunked(longCrowdBody, 1<<20, "", "0\r")),
		s.callers(10, "/pay/x", chunked(longCrowdBody, longCrowdBody, "", "0\r\n")))
}

// Guards against connections that stay for as long as trailers come.
func TestCrowdOfEndlessTrailers(t *testing.T) {
	s := crowdSite{}.start(t)
	body := chunked(60<<10, 4<<10, "", "0\r\n")
	s.meet(s.callers(200, "/pay/x", func(c net.Conn, p place, end <-chan struct{}) {
		body(c, p, end)
		for write(c, "A: bbbbbbbbbb\r\n") && pause(50*time.Millisecond, end) {
		}
	}))
}

// Guards against unbounded memory for bodies that come after 100 Continue, and for
// callers who never send them.
func TestCrowdOfExpectations(t *testing.T) {
	s := crowdSite{}.start(t)
	const n = 1 << 20
	expect := func(send int) func(net.Conn, place, <-chan struct{}) {
		return func(c net.Conn, p place, _ <-chan struct{}) {
			if !write(c, head("POST", p, "Expect: 100-continue", fmt.Sprint("Content-Length: ", n))) {
				return
			}
			if _, err := c.Read(make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n"))); err == nil {
				sendBytes(c, send, 64<<10)
			}
		}
	}
	s.meet(s.callers(150, "/pay/x", expect(n-1)), s.callers(150, "/pay/x", expect(0)))
}

// Guards against callers that are shut out by a crowd of all kinds: long bodies that
// move on slowly, bodies that stop, and connections with few bytes.
func TestCrowdOfAllKinds(t *testing.T) {
	s := crowdSite{}.start(t)
	trickle := func(c net.Conn, p place, end <-chan struct{}) {
		if !write(c, head("POST", p, fmt.Sprint("Content-Length: ", longCrowdBody/10))) {
			return
		}
		for b := strings.Repeat("x", 16<<10); write(c, b) && pause(200*time.Millisecond, end); {
		}
	}
	few := func(c net.Conn, _ place, _ <-chan struct{}) { write(c, "POST /pay/x HT") }
	s.meet(s.callers(30, "/pay/x", trickle), s.callers(400, "/pay/x", known(60<<10, 60<<10, 1)), s.callers(800, "/pay/x", few))
}

// heldTime is how long endpoints take that hold whole bodies.
const heldTime = 3 * time.Second

// Guards against memory beyond what is charged while endpoints run requests with whole
// bodies, those that may be repeated and those that may not.
func TestCrowdAtSlowEndpoints(t *testing.T) {
	s := crowdSite{slowTime: heldTime}.start(t)
	whole := known(60<<10, 60<<10, 0)
	s.meet(s.callers(300, "/slow-pay/x", whole), s.callers(300, "/slow-safe/x", whole))
}

// leaving ends the connection soon after the request.
func leaving(c net.Conn, p place, end <-chan struct{}) {
	known(60<<10, 60<<10, 0)(c, p, end)
	pause(100*time.Millisecond, end)
	_ = c.Close()
}

// Guards against the same for requests whose callers leave: those that may not be
// repeated go on without them.
func TestCrowdThatLeavesSlowEndpoints(t *testing.T) {
	s := crowdSite{slowTime: heldTime}.start(t)
	s.meet(s.callers(200, "/slow-pay/x", leaving), s.callers(100, "/slow-safe/x", leaving))
}

// Guards against unbounded memory for large responses that callers read byte by byte.
func TestCrowdOfLargeAnswers(t *testing.T) {
	s := crowdSite{slowTime: 5 * time.Millisecond, slowBytes: 4 << 20}.start(t)
	s.meet(s.callers(200, "/slow-safe/x", func(c net.Conn, p place, end <-chan struct{}) {
		write(c, head("GET", p))
		for b := make([]byte, 1); pause(100*time.Millisecond, end); {
			if _, err := c.Read(b); err != nil {
				return
			}
		}
	}))
}

// Guards against memory that stays with connections that had pipelined requests behind
// a body.
func TestCrowdOfPipelinedRequests(t *testing.T) {
	s := crowdSite{slowTime: time.Second}.start(t)
	s.meet(s.callers(500, "/slow-pay/x", func(c net.Conn, p place, _ <-chan struct{}) {
		ok := write(c, head("POST", p, "Content-Length: 1")+"x")
		for range 15 {
			ok = ok && write(c, head("GET", place{path: "/nothing"}, "Cookie: "+strings.Repeat("x", 8000)))
		}
		write(c, head("POST", p, "Cookie: "+strings.Repeat("x", 5000), "Content-Length: 20")+"x")
	}))
}

// Guards against unbounded memory for bodies at doors that have no use for them.
func TestCrowdAtOtherDoors(t *testing.T) {
	s := crowdSite{}.start(t)
	var crowds []crowd
	for _, p := range places(s)[1:] {
		crowds = append(crowds, crowd{60, p, chunked(1<<20, 1, "", "ff\r\nx")}, crowd{60, p, chunked(8<<20, 64<<10, "", "")}, crowd{60, p, known(1<<20, 1<<20, 1)})
	}
	s.meet(crowds...)
}

// Guards against unbounded memory for messages of other instances that stop short.
func TestCrowdOfPeerMessages(t *testing.T) {
	s := crowdSite{}.start(t)
	s.meet(crowd{200, place{"peer", s.peer, ""}, frame})
}

// Guards against memory for elements that a datagram announces and does not have.
func TestCrowdOfDatagrams(t *testing.T) {
	s := crowdSite{}.start(t)
	s.meet(crowd{2, place{"peer", s.peer, ""}, func(_ net.Conn, p place, end <-chan struct{}) {
		c, err := net.Dial("udp", p.addr)
		if err != nil {
			return
		}
		defer c.Close()
		for _, text := range announcing() {
			if !pause(20*time.Microsecond, end) {
				return
			}
			write(c, text)
		}
	}})
}

// announcing returns MessagePack arrays of each kind of message in which one of the
// first fields, or the message itself, has a length of 2^23 elements and no elements.
func announcing() []string {
	var out []string
	for _, long := range []string{"\xdd\x00\x80\x00\x00", "\xdf\x00\x80\x00\x00", "\xdb\x00\x80\x00\x00", "\xc6\x00\x80\x00\x00"} {
		for kind := range 256 {
			out = append(out, string([]byte{byte(kind)})+long)
			for before := range 15 {
				out = append(out, string([]byte{byte(kind), 0x9f})+strings.Repeat("\x00", before)+long, string([]byte{byte(kind), 0x9f})+strings.Repeat("\xc0", before)+long)
			}
		}
	}
	return out
}
