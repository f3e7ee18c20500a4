package forward

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/bound"
)

// startGuarded serves h behind a guard and returns its address.
func startGuarded(t *testing.T, g *Guard, limit int, h http.Handler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: g.Handler(h), ConnContext: ConnContext, ConnState: ConnState}
	go func() { _ = s.Serve(g.Listener(ln, limit)) }() // Ends with Close.
	t.Cleanup(func() { _ = s.Close() })
	return ln.Addr().String()
}

// dialAndSend opens a connection and sends text.
func dialAndSend(t *testing.T, addr, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = io.WriteString(c, text)
	return c
}

// ended reports whether the other side has closed the connection.
func ended(c net.Conn, within time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := io.Copy(io.Discard, c)
	e, isNet := err.(net.Error)
	return !(isNet && e.Timeout())
}

const oneRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Load pattern: connections that send nothing beside idle ones of ordinary callers, at
// the limit. Guards against closing the callers' connections first.
func TestUnusedConnectionsAreClosedFirst(t *testing.T) {
	g := NewGuard(GuardConfig{})
	addr := startGuarded(t, g, 3, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	used, unused := dialAndSend(t, addr, oneRequest), dialAndSend(t, addr, "GET")
	time.Sleep(2 * unusedAfter)
	dialAndSend(t, addr, oneRequest)
	if !ended(unused, time.Second) {
		t.Error("the connection without a request was not closed")
	}
	if ended(used, 50*time.Millisecond) {
		t.Error("the connection of an ordinary caller was closed")
	}
	if n := g.Stats().Reasons[bound.UnusedClosed.String()]; n != 1 {
		t.Errorf("%d closed as unused, want 1", n)
	}
}

// Load pattern: a caller that stops in the middle of a header section, while another
// request waits for memory, and without. Guards against closing slow callers without
// need, and against keeping them in spite of it.
func TestStalledCallersAreClosedUnderPressure(t *testing.T) {
	total := int64(ConnCost*4 + 100*headerCost)
	g := NewGuard(GuardConfig{Memory: bound.Limits{Total: total, Large: total}})
	addr := startGuarded(t, g, 0, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	slow := dialAndSend(t, addr, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("x", 1000))
	if ended(slow, minStall+200*time.Millisecond) {
		t.Fatal("a slow caller was closed without need")
	}
	dialAndSend(t, addr, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("x", 1000))
	if !ended(slow, 2*time.Second) {
		t.Error("the stalled caller was not closed")
	}
}

// Guards against charges that stay after their connections have ended.
func TestChargesEnd(t *testing.T) {
	g := NewGuard(GuardConfig{})
	addr := startGuarded(t, g, 0, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	for _, text := range []string{"", oneRequest, oneRequest + oneRequest + "GET", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx",
		strings.Repeat(oneRequest, 3000)} {
		c := dialAndSend(t, addr, text)
		time.Sleep(20 * time.Millisecond)
		_ = c.Close()
	}
	for end := time.Now().Add(3 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		s := g.Stats()
		if s.Used == 0 && s.Large == 0 && s.Connections == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("after all connections have ended: %+v", s)
		}
	}
}

// Guards against a caller that sends on while its connection is being chosen to be
// closed: looking for the reason once more ended the process.
func TestCallerMovesOnWhileRoomIsMade(t *testing.T) {
	const rounds, conns = 200, 100
	for range rounds {
		g := NewGuard(GuardConfig{})
		of := newGroup(0)
		g.groups = append(g.groups, of)
		var all []*guardedConn
		for range conns {
			a := &guardedConn{Conn: noClose{}, guard: g, group: of}
			a.cond = sync.NewCond(&a.mu)
			a.held.Store(1)
			a.enter(phaseHeader)
			a.progressAt.Store(time.Now().Add(-time.Hour).UnixNano())
			of.add(a)
			all = append(all, a)
		}
		var moving sync.WaitGroup
		moving.Go(func() {
			for _, a := range all {
				a.progressAt.Store(time.Now().UnixNano())
			}
		})
		g.relieve(conns, time.Now())
		moving.Wait()
	}
}

// noClose is a connection that stays open and has no addresses that can be logged.
type noClose struct{ net.Conn }

// Close implements net.Conn.
func (noClose) Close() error { return nil }

// Guards against closing a connection whose request has been received and may be on its
// way to an endpoint, because it was slow before.
func TestRunningRequestIsNotEvicted(t *testing.T) {
	g := NewGuard(GuardConfig{})
	ours, theirs := net.Pipe()
	defer theirs.Close()
	a := g.newConn(ours, newGroup(0))
	defer a.Close()
	a.enter(phaseHeader)
	c := a.candidate(bound.SlowSender, time.Now())
	time.Sleep(time.Millisecond)
	a.beginRequest(http.Header{})
	if g.evict(c) || a.closed {
		t.Error("the connection was closed")
	}
	if c = a.candidate(bound.SlowSender, time.Now()); !g.evict(c) {
		t.Error("a connection that has not moved on was not closed")
	}
}
