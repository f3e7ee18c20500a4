package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// Guards against a crash that passes for the end of an idle connection because the
// endpoint ended sooner than its connection had taken to open: the request would go on
// to crash other endpoints.
func TestCrashSoonerThanARoundTrip(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		br := bufio.NewReader(c)
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		_, _ = http.ReadRequest(br) // The endpoint ends with the second request.
	}()
	client := New(Default(), noFields{})
	dial := client.dial
	client.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		time.Sleep(300 * time.Millisecond) // A machine that is busy when the connection is opened.
		return dial(ctx, addr)
	}
	to := Target{ID: "e", Addr: netip.MustParseAddrPort(ln.Addr().String())}
	for i := range 2 {
		started := time.Now()
		res := client.Do(context.Background(), to, &Call{Method: http.MethodGet, Target: "/", Host: "h", Deadline: started.Add(5 * time.Second)})
		took := time.Since(started)
		if want := i == 1; res.ConnectionBroken(took) != want {
			t.Errorf("request %d: connection broken: %v, want %v (%v after %s, opened in %s)", i, !want, want, res.Err, took, res.RoundTrip)
		}
	}
}

// Guards against the end of an idle connection that passes for a crash: the endpoint has
// closed it before the request arrives.
func TestIdleConnectionEndsBesideARequest(t *testing.T) {
	if (Result{Outcome: Unknown, Err: io.EOF, Reused: true, RoundTrip: time.Second}).ConnectionBroken(time.Millisecond) {
		t.Error("a request that the endpoint has not acknowledged counts as the cause of a crash")
	}
}
