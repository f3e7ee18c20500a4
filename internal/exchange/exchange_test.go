package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"jujubestile.example/jujubestile/internal/exchange"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testProtocol names header fields.
type testProtocol struct{}

func (testProtocol) Write(h http.Header, f exchange.RequestFields) {
	h.Set("Expected", string(f.Expected))
}

func (testProtocol) RequestID(h http.Header) string { return h.Get("Request-Id") }

func (testProtocol) Read(status int, h http.Header) exchange.ResponseFields {
	mistaken := status == http.StatusMisdirectedRequest
	return exchange.ResponseFields{NotRun: mistaken || h.Get("Not-Run") != "", Misdirected: mistaken}
}

// script serves connections by hand: each function gets a connection.
func script(t *testing.T, conns ...func(net.Conn, *bufio.Reader)) (exchange.Target, *exchange.Client) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	group.Add(1)
	go func() {
		defer group.Done()
		for _, f := range conns {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			group.Add(1)
			go func() { defer group.Done(); defer c.Close(); f(c, bufio.NewReader(c)) }()
		}
	}()
	client := exchange.New(exchange.Default(), testProtocol{})
	target := exchange.Target{ID: "e1", Addr: netip.MustParseAddrPort(ln.Addr().String())}
	t.Cleanup(func() { client.Drop("e1"); _ = ln.Close(); group.Wait() })
	return target, client
}

func call(id string) *exchange.Call {
	return &exchange.Call{Method: "GET", Target: "/p/a%2Fb?x=1", Host: "h.example", Header: http.Header{"Request-Id": {id}},
		ID: id, Deadline: time.Now().Add(2 * time.Second)}
}

func do(t *testing.T, client *exchange.Client, to exchange.Target, id string) exchange.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return client.Do(ctx, to, call(id))
}

func readRequest(br *bufio.Reader) *http.Request {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil
	}
	return r
}

func answer(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// The request line is passed on to the letter, and a connection is used again.
func TestRequestIsUnchangedAndConnectionKept(t *testing.T) {
	lines := make(chan string, 2)
	to, client := script(t, func(c net.Conn, br *bufio.Reader) {
		for i := range 2 {
			line, _ := br.ReadString('\n')
			lines <- line
			for {
				l, err := br.ReadString('\n')
				if err != nil || l == "\r\n" {
					break
				}
			}
			answer(c, fmt.Sprint("r", i+1), "whole")
		}
		_, _ = br.ReadByte()
	})
	for i := range 2 {
		res := do(t, client, to, fmt.Sprint("r", i+1))
		if res.Outcome != exchange.Answered || string(res.Body) != "whole" || res.Reused != (i == 1) {
			t.Fatalf("exchange %d: %+v", i, res)
		}
		if line := <-lines; line != "GET /p/a%2Fb?x=1 HTTP/1.1\r\n" {
			t.Fatalf("request line %q", line)
		}
	}
}

// A late extra response at the place of the next one is told by its ID.
func TestLateExtraResponseIsDropped(t *testing.T) {
	to, client := script(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		answer(c, "r1", "first")
		readRequest(br)
		answer(c, "r1", "first again")
		answer(c, "r2", "second")
		_, _ = br.ReadByte()
	})
	do(t, client, to, "r1")
	if res := do(t, client, to, "r2"); res.Outcome != exchange.Answered || string(res.Body) != "second" {
		t.Fatalf("%+v", res)
	}
}

// Bytes after a whole response end the connection; the next request uses
// another one.
func TestBytesWithoutRequestEndTheConnection(t *testing.T) {
	to, client := script(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		answer(c, "r1", "first")
		time.Sleep(20 * time.Millisecond)
		answer(c, "r1", "first again")
		_, _ = br.ReadByte()
	}, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		answer(c, "r2", "second")
		_, _ = br.ReadByte()
	})
	do(t, client, to, "r1")
	time.Sleep(80 * time.Millisecond)
	if res := do(t, client, to, "r2"); res.Reused || string(res.Body) != "second" {
		t.Fatalf("%+v", res)
	}
}

func TestBrokenResponsesAreUnknown(t *testing.T) {
	for name, text := range map[string]string{
		"cut body":      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 100\r\n\r\nhalf",
		"cut chunk":     "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhalf",
		"cut header":    "HTTP/1.1 200 OK\r\nX-Requ",
		"no response":   "",
		"not HTTP":      "garbage garbage\r\n\r\n",
		"switch":        "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"strange value": "HTTP/1.1 700 What\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			to, client := script(t, func(c net.Conn, br *bufio.Reader) {
				readRequest(br)
				fmt.Fprint(c, text)
			})
			if res := do(t, client, to, "r1"); res.Outcome != exchange.Unknown {
				t.Fatalf("%+v", res)
			}
		})
	}
}

// A body without a length ends with its connection. A reset is no end.
func TestBodyThatEndsWithItsConnection(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nall of it"
	to, client := script(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		fmt.Fprint(c, head)
	}, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		fmt.Fprint(c, head)
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	if res := do(t, client, to, "r1"); res.Outcome != exchange.Answered || string(res.Body) != "all of it" {
		t.Fatalf("%+v", res)
	}
	if res := do(t, client, to, "r1"); res.Outcome != exchange.Unknown {
		t.Fatalf("after a reset: %+v", res)
	}
}

func TestRefusalsOfEndpoints(t *testing.T) {
	for text, mistaken := range map[string]bool{
		"503 Service Unavailable\r\nNot-Run: 1": false,
		"421 Misdirected Request":               true,
	} {
		to, client := script(t, func(c net.Conn, br *bufio.Reader) {
			readRequest(br)
			fmt.Fprintf(c, "HTTP/1.1 %s\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n", text)
			_, _ = br.ReadByte()
		})
		if res := do(t, client, to, "r1"); res.Outcome != exchange.NotRun || res.Fields.Misdirected != mistaken {
			t.Fatalf("%s: %+v", text, res)
		}
	}
}

// An endpoint answers a long request before it has read it. The rest of the
// body must not be taken for another request.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	ended := make(chan error, 1)
	to, client := script(t, func(c net.Conn, br *bufio.Reader) {
		for {
			l, err := br.ReadString('\n')
			if err != nil || l == "\r\n" {
				break
			}
		}
		answer(c, "r1", "early")
		time.Sleep(50 * time.Millisecond)
		var err error
		buf := make([]byte, 4096)
		for err == nil {
			_, err = br.Read(buf)
		}
		ended <- err
	})
	long := call("r1")
	long.Method, long.Body = "POST", make([]byte, 64<<20)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if res := client.Do(ctx, to, long); string(res.Body) != "early" {
		t.Fatalf("%+v", res)
	}
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Fatal("the connection was kept")
	}
}

// The caller's end closes the connection, so that the endpoint stops working.
func TestCallerGoneClosesTheConnection(t *testing.T) {
	got, closed := make(chan bool), make(chan bool)
	to, client := script(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		close(got)
		_, _ = br.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-got; cancel() }()
	if res := client.Do(ctx, to, call("r1")); res.Outcome != exchange.Abandoned {
		t.Fatalf("%+v", res)
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection was not closed")
	}
}

// A request that may not be repeated gets no connection that was idle for
// long, and none beyond the endpoint's share.
func TestFreshAndShare(t *testing.T) {
	serve := func(c net.Conn, br *bufio.Reader) {
		for {
			r := readRequest(br)
			if r == nil {
				return
			}
			answer(c, r.Header.Get("Request-Id"), "ok")
		}
	}
	to, client := script(t, serve, serve)
	do(t, client, to, "r1")
	fresh := call("r2")
	fresh.RequireRecent = true
	if res := client.Do(context.Background(), to, fresh); !res.Reused {
		t.Fatal("a connection in use a moment ago was not taken")
	}
	to.MaxConns = 1
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	held := make(chan struct{})
	go func() { defer close(held); client.Do(ctx, to, call("slow")) }()
	<-held
	if s := client.Stats(); s.Open != 1 {
		t.Fatalf("%d open connections", s.Open)
	}
}

// Nothing is sent to an endpoint that cannot be reached.
func TestUnreachable(t *testing.T) {
	client := exchange.New(exchange.Default(), testProtocol{})
	res := do(t, client, exchange.Target{ID: "e", Addr: netip.MustParseAddrPort("127.0.0.1:1")}, "r1")
	if res.Outcome != exchange.NotSent {
		t.Fatalf("%+v", res)
	}
}
