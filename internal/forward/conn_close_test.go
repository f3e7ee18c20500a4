package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/bound"
)

// Guards against an answer that is cut because its connection is closed while the caller
// still reads it and sends another request, whatever the reason for closing it is.
func TestAnswerIsReceivedBeforeAReset(t *testing.T) {
	const size = 150 << 10
	for _, test := range []struct {
		name, request string
		// close closes the connection from the server's side, if the answer does not.
		close func(*http.Server)
	}{
		{"the caller asks for it", "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", nil},
		{"an older version of the protocol", "GET / HTTP/1.0\r\nHost: h\r\n\r\n", nil},
		{"a malformed request follows", oneRequest + "GET\r\n\r\n", nil},
		{"the server closes idle connections", oneRequest, func(s *http.Server) { _ = s.Close() }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewGuard(GuardConfig{})
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := &http.Server{ConnContext: ConnContext, ConnState: ConnState, Handler: g.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", fmt.Sprint(size))
				_, _ = io.WriteString(w, strings.Repeat("x", size))
			}))}
			go func() { _ = s.Serve(g.Listener(ln, 0)) }() // Ends with Close.
			defer s.Close()
			c := dialSmallBuffer(t, ln.Addr().String())
			_, _ = io.WriteString(c, test.request)
			time.Sleep(200 * time.Millisecond) // The answer is in the kernel's buffers.
			if test.close != nil {
				test.close(s)
			}
			for range 3 {
				_, _ = io.WriteString(c, oneRequest)
				time.Sleep(20 * time.Millisecond)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != size {
				t.Errorf("%d of %d bytes: %v", n, size, err)
			}
			_ = c.Close()
			for end := time.Now().Add(5 * time.Second); g.Stats().Used > 0; time.Sleep(10 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("still charged: %+v", g.Stats())
				}
			}
		})
	}
}

// dialSmallBuffer opens a connection that takes few bytes until they are read.
func dialSmallBuffer(t *testing.T, addr string) net.Conn {
	t.Helper()
	d := net.Dialer{Control: smallReceiveBuffer}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

// smallReceiveBuffer is for net.Dialer.Control.
func smallReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
}

// Guards against a connection that is kept for a caller which neither reads nor leaves:
// it is closed when the listener needs its place.
func TestClosingConnectionsMakeRoom(t *testing.T) {
	g := NewGuard(GuardConfig{})
	addr := startGuarded(t, g, 1, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 150<<10))
	}))
	first := dialSmallBuffer(t, addr)
	_, _ = io.WriteString(first, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	time.Sleep(200 * time.Millisecond)
	second := dialAndSend(t, addr, oneRequest)
	_ = second.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := second.Read(make([]byte, 1)); err != nil {
		t.Errorf("no room for another connection: %v", err)
	}
}

// Guards against a planned stop that waits until the end of the grace period for a
// connection that was closed to make room: its last request, which net/http had read
// before, began later.
func TestEndedConnectionOwesNothing(t *testing.T) {
	g := NewGuard(GuardConfig{})
	of := newGroup(0)
	ours, theirs := net.Pipe()
	defer theirs.Close()
	a := g.newConn(ours, of)
	if !g.evict(a.candidate(bound.IdleClosed, time.Now())) {
		t.Fatal("the connection was not closed")
	}
	a.beginRequest(http.Header{}).end()
	if n := of.owing.Load(); n != 0 || g.Stats().Used != 0 {
		t.Errorf("%d connections owe an answer, %+v", n, g.Stats())
	}
}

// Guards against a planned stop that does not wait for an answer, because net/http
// reports the connection as idle after it was closed from elsewhere.
func TestClosedConnectionOwesItsAnswer(t *testing.T) {
	g := NewGuard(GuardConfig{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	l := g.Listener(ln, 0)
	dialAndSend(t, ln.Addr().String(), "")
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	a := c.(*guardedConn)
	defer a.closeNow()
	a.beginRequest(http.Header{}).end()
	_ = a.Close()
	ConnState(a, http.StateIdle)
	if n := l.Owing(); n != 1 {
		t.Errorf("%d connections owe an answer, want 1", n)
	}
}

// Load pattern: callers at the limit of connections, one of which still reads an answer
// and reuses its connection. Guards against an answer that is cut to make room for another
// connection, though it makes progress, and against a place that is held for ever by a
// caller which does not read.
func TestUnreceivedAnswerIsNotCutToMakeRoom(t *testing.T) {
	const size = 150 << 10
	g := NewGuard(GuardConfig{})
	addr := startGuarded(t, g, 1, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(size))
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	}))
	first := dialSmallBuffer(t, addr)
	defer first.Close()
	_, _ = io.WriteString(first, oneRequest)
	time.Sleep(100 * time.Millisecond) // The answer is in the kernel's buffers.
	second := dialAndSend(t, addr, oneRequest)
	for range 2 {
		time.Sleep(2 * roomInterval)
		_, _ = io.WriteString(first, oneRequest)
	}
	resp, err := http.ReadResponse(bufio.NewReader(first), nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != size {
		t.Errorf("%d of %d bytes: %v", n, size, err)
	}
	_ = second.SetReadDeadline(time.Now().Add(5 * time.Second)) // The first caller reads no further answer.
	if _, err := second.Read(make([]byte, 1)); err != nil {
		t.Errorf("no room for another connection: %v", err)
	}
}

// Guards against a refusal that is lost because the caller is still sending a body within
// the limits: it does not learn that its request has not run.
func TestRefusalOfALongBodyArrives(t *testing.T) {
	const size, pieces = 4 << 20, 16
	addr := startGuarded(t, NewGuard(GuardConfig{}), 0, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	c := dialSmallBuffer(t, addr)
	_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
	for i := range pieces {
		time.Sleep(50 * time.Millisecond)
		if _, err := io.WriteString(c, strings.Repeat("x", size/pieces)); err != nil {
			t.Fatalf("piece %d: %v", i, err)
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("%v: %v", resp, err)
	}
}
