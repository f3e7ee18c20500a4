package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/exchange"
)

// Guards against callers that disconnect unnoticed while pipelined requests beyond
// the bytes that are read ahead are unread: the attempt must be cancelled, and no
// later request may be sent.
func TestCallerDisconnectsWithUnreadRequests(t *testing.T) {
	for _, test := range []struct {
		name     string
		requests int
		// reset sends a reset. An orderly end waits behind the bytes that the kernels
		// of both sides cannot hold.
		reset bool
	}{{"as callers pipeline", 6, false}, {"beyond all that is read ahead", 20, false}, {"beyond the receive buffer", 40, true},
		{"beyond all buffers", 400, false}} {
		t.Run(test.name, func(t *testing.T) {
			ended := make(chan bool, 4)
			started := make(chan struct{}, 4)
			s := newTestServer(t, func(ctx context.Context, _ int, _ exchange.Target, _ *exchange.Call) exchange.Result {
				started <- struct{}{}
				select {
				case <-ctx.Done():
					ended <- true
				case <-time.After(2 * time.Second):
					ended <- false
				}
				return ok("")
			})
			c, err := net.Dial("tcp", s.server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			_ = c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
			field := strings.Repeat("x", 8<<10)
			for i := range test.requests {
				fmt.Fprintf(c, "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r%d\r\nWait-Ms: 9000\r\nCookie: %s\r\n\r\n", i, field)
			}
			<-started
			if test.reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
			if !<-ended {
				t.Error("the attempt was not cancelled")
			}
			time.Sleep(300 * time.Millisecond)
			if n := s.transport.count(); n != 1 {
				t.Errorf("%d attempts, want 1: later requests of the caller were sent", n)
			}
		})
	}
}

// Guards against a connection whose pipelined requests were discarded and that goes on
// as if it were in step: its caller would get answers to requests it did not send.
func TestConnectionEndsAfterDiscardedRequests(t *testing.T) {
	s := newTestServer(t, func(context.Context, int, exchange.Target, *exchange.Call) exchange.Result {
		time.Sleep(400 * time.Millisecond)
		return ok("answer")
	})
	c, err := net.Dial("tcp", s.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	field := strings.Repeat("x", 8<<10)
	go func() {
		for i := range 100 {
			fmt.Fprintf(c, "GET /pay/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r%d\r\nWait-Ms: 9000\r\nCookie: %s\r\n\r\n", i, field)
		}
	}()
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || string(body) != "answer" || !resp.Close {
		t.Errorf("%q, %v, closes the connection: %v", body, err, resp.Close)
	}
	if _, err := br.ReadByte(); err == nil {
		t.Error("the connection goes on")
	}
	if n := s.transport.count(); n != 1 {
		t.Errorf("%d requests were sent to endpoints", n)
	}
}
