package exchange_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/platform"
)

// listenWithSmallWindow listens on a free port. The connections that it accepts take few
// bytes until they are read: the size of the buffer is set before a caller can connect,
// since one that is set on an accepted connection may come after the bytes.
func listenWithSmallWindow(t *testing.T) net.Listener {
	t.Helper()
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

const errCallerLeft = errors.ConstError("the caller has left")

// Guards against a request that reaches its endpoint after its caller has left, because
// its bytes were held up on the way: by a small window here, by a partition elsewhere.
func TestAbandonedRequestDoesNotArriveLater(t *testing.T) {
	ln := listenWithSmallWindow(t)
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := ln.Accept()
		if err == nil {
			accepted <- c
		}
	}()
	client := exchange.New(exchange.Default(), platform.EndpointHeaders{})
	const size = 96 << 10
	ctx, cancel := context.WithCancelCause(context.Background())
	time.AfterFunc(200*time.Millisecond, func() { cancel(errCallerLeft) })
	res := client.Do(ctx, exchange.Target{ID: "e", Addr: netip.MustParseAddrPort(ln.Addr().String())},
		&exchange.Call{Method: http.MethodPost, Target: "/", Host: "h", ID: "r1", Body: make([]byte, size), Deadline: time.Now().Add(5 * time.Second)})
	if res.Outcome != exchange.Abandoned || !errors.Is(res.Err, errCallerLeft) {
		t.Fatalf("%v, %v", res.Outcome, res.Err)
	}
	c := <-accepted
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, err := io.Copy(io.Discard, c); n >= size {
		t.Errorf("the endpoint got %d bytes, %v, after the request had been given up", n, err)
	}
}

// Guards against a request that reaches its endpoint after its exchange has failed, when
// it may have been sent to another endpoint.
func TestFailedRequestDoesNotArriveLater(t *testing.T) {
	ln := listenWithSmallWindow(t)
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := ln.Accept()
		if err == nil {
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(c, "this is no response\r\n")
			accepted <- c
		}
	}()
	client := exchange.New(exchange.Default(), platform.EndpointHeaders{})
	const size = 96 << 10
	res := client.Do(context.Background(), exchange.Target{ID: "e", Addr: netip.MustParseAddrPort(ln.Addr().String())},
		&exchange.Call{Method: http.MethodPost, Target: "/", Host: "h", ID: "r1", Body: make([]byte, size), Deadline: time.Now().Add(5 * time.Second)})
	if res.Outcome != exchange.Unknown {
		t.Fatalf("%v, %v", res.Outcome, res.Err)
	}
	c := <-accepted
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, err := io.Copy(io.Discard, c); n >= size {
		t.Errorf("the endpoint got %d bytes, %v, after the request had failed", n, err)
	}
}

// Guards against a caller that leaves while a connection is opened: its request is sent,
// or its endpoint counts as unreachable.
func TestCallerLeavesBeforeTheRequestIsSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	got := make(chan int64, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		n, _ := io.Copy(io.Discard, c)
		got <- n
	}()
	client := exchange.New(exchange.Default(), platform.EndpointHeaders{})
	ctx, cancel := context.WithCancelCause(context.Background())
	call := &exchange.Call{Method: http.MethodGet, Target: "/", Host: "h", ID: "r1", Deadline: time.Now().Add(5 * time.Second)}
	to := exchange.Target{ID: "e", Addr: netip.MustParseAddrPort(ln.Addr().String())}
	client.Do(context.Background(), to, &exchange.Call{Deadline: time.Now(), Permitted: func() bool { return false }})
	cancel(errCallerLeft)
	if res := client.Do(ctx, to, call); res.Outcome != exchange.NotSent || !errors.Is(res.Err, errCallerLeft) {
		t.Errorf("%v, %v", res.Outcome, res.Err)
	}
	if n := <-got; n != 0 {
		t.Errorf("%d bytes were sent", n)
	}
}
