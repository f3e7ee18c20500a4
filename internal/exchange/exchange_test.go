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

// testProtocol is an EndpointProtocol with header fields for tests.
type testProtocol struct{}

func (testProtocol) Write(h http.Header, f exchange.RequestFields) {
	h.Set("Expected", string(f.Expected))
}

func (testProtocol) RequestID(h http.Header) string { return h.Get("Request-Id") }

func (testProtocol) Read(status int, h http.Header) exchange.ResponseFields {
	misdirected := status == http.StatusMisdirectedRequest
	return exchange.ResponseFields{NotRun: misdirected || h.Get("Not-Run") != "", Misdirected: misdirected}
}

// serveScript starts an endpoint whose successive connections are served by the
// given functions, and returns it with a client.
func serveScript(t *testing.T, conns ...func(net.Conn, *bufio.Reader)) (exchange.Target, *exchange.Client) {
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

func respond(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// TestRequestIsUnchangedAndConnectionKept guards against request lines that are
// changed on the way, such as decoded paths, and against connections that are not
// reused.
func TestRequestIsUnchangedAndConnectionKept(t *testing.T) {
	lines := make(chan string, 2)
	to, client := serveScript(t, func(c net.Conn, br *bufio.Reader) {
		for i := range 2 {
			line, _ := br.ReadString('\n')
			lines <- line
			for {
				l, err := br.ReadString('\n')
				if err != nil || l == "\r\n" {
					break
				}
			}
			respond(c, fmt.Sprint("r", i+1), "whole")
		}
		_, _ = br.ReadByte()
	})
	for i := range 2 {
		res := do(t, client, to, fmt.Sprint("r", i+1))
		if res.Outcome != exchange.Answered || string(res.Body) != "whole" || res.Reused != (i == 1) {
			t.Fatalf("exchange %d: unexpected result %+v", i, res)
		}
		if line := <-lines; line != "GET /p/a%2Fb?x=1 HTTP/1.1\r\n" {
			t.Fatalf("request line %q, want it unchanged", line)
		}
	}
}

// TestLateExtraResponseIsDropped guards against returning a duplicate response
// to an earlier request as the response to the next one. They are told apart by
// the request ID.
func TestLateExtraResponseIsDropped(t *testing.T) {
	to, client := serveScript(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		respond(c, "r1", "first")
		readRequest(br)
		respond(c, "r1", "first again")
		respond(c, "r2", "second")
		_, _ = br.ReadByte()
	})
	do(t, client, to, "r1")
	if res := do(t, client, to, "r2"); res.Outcome != exchange.Answered || string(res.Body) != "second" {
		t.Fatalf("result %+v, want the second response", res)
	}
}

// TestBytesWithoutRequestEndTheConnection guards against reusing a connection on
// which data arrived while it was idle.
func TestBytesWithoutRequestEndTheConnection(t *testing.T) {
	to, client := serveScript(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		respond(c, "r1", "first")
		time.Sleep(20 * time.Millisecond)
		respond(c, "r1", "first again")
		_, _ = br.ReadByte()
	}, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		respond(c, "r2", "second")
		_, _ = br.ReadByte()
	})
	do(t, client, to, "r1")
	time.Sleep(80 * time.Millisecond)
	if res := do(t, client, to, "r2"); res.Reused || string(res.Body) != "second" {
		t.Fatalf("result %+v, want the second response on a new connection", res)
	}
}

// TestBrokenResponsesAreUnknown guards against taking a truncated or invalid
// response for a complete one, or for a sign that the request did not run.
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
			to, client := serveScript(t, func(c net.Conn, br *bufio.Reader) {
				readRequest(br)
				fmt.Fprint(c, text)
			})
			if res := do(t, client, to, "r1"); res.Outcome != exchange.Unknown {
				t.Fatalf("result %+v, want outcome unknown", res)
			}
		})
	}
}

// TestBodyThatEndsWithItsConnection guards against rejecting a body without a
// length, which ends with the connection, and against accepting one that ends
// with a reset.
func TestBodyThatEndsWithItsConnection(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nall of it"
	to, client := serveScript(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		fmt.Fprint(c, head)
	}, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		fmt.Fprint(c, head)
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	if res := do(t, client, to, "r1"); res.Outcome != exchange.Answered || string(res.Body) != "all of it" {
		t.Fatalf("result %+v, want the whole body", res)
	}
	if res := do(t, client, to, "r1"); res.Outcome != exchange.Unknown {
		t.Fatalf("result after a reset %+v, want outcome unknown", res)
	}
}

// TestRefusalsOfEndpoints guards against losing the information that an endpoint
// did not run the request, or that the request reached the wrong endpoint.
func TestRefusalsOfEndpoints(t *testing.T) {
	for text, misdirected := range map[string]bool{
		"503 Service Unavailable\r\nNot-Run: 1": false,
		"421 Misdirected Request":               true,
	} {
		to, client := serveScript(t, func(c net.Conn, br *bufio.Reader) {
			readRequest(br)
			fmt.Fprintf(c, "HTTP/1.1 %s\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n", text)
			_, _ = br.ReadByte()
		})
		if res := do(t, client, to, "r1"); res.Outcome != exchange.NotRun || res.Fields.Misdirected != misdirected {
			t.Fatalf("response %s: unexpected result %+v", text, res)
		}
	}
}

// TestEarlyAnswerEndsTheConnection guards against reusing a connection after the
// endpoint responded before it had read the whole request: the endpoint would
// take the rest of the body for another request.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	ended := make(chan error, 1)
	to, client := serveScript(t, func(c net.Conn, br *bufio.Reader) {
		for {
			l, err := br.ReadString('\n')
			if err != nil || l == "\r\n" {
				break
			}
		}
		respond(c, "r1", "early")
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
		t.Fatalf("result %+v, want the early response", res)
	}
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Fatal("the connection was not closed")
	}
}

// TestCallerGoneClosesTheConnection guards against endpoints that go on working
// for a caller that has disconnected: the end of the context must close the
// connection.
func TestCallerGoneClosesTheConnection(t *testing.T) {
	got, closed := make(chan bool), make(chan bool)
	to, client := serveScript(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		close(got)
		_, _ = br.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-got; cancel() }()
	if res := client.Do(ctx, to, call("r1")); res.Outcome != exchange.Abandoned {
		t.Fatalf("result %+v, want outcome abandoned", res)
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection was not closed")
	}
}

// TestRecentUseAndConnectionLimit guards against opening a second connection
// where the idle one must be reused: for a call with RequireRecent soon after its
// last use, and for a call to a target with MaxConns 1.
func TestRecentUseAndConnectionLimit(t *testing.T) {
	serve := func(c net.Conn, br *bufio.Reader) {
		for {
			r := readRequest(br)
			if r == nil {
				return
			}
			respond(c, r.Header.Get("Request-Id"), "ok")
		}
	}
	to, client := serveScript(t, serve, serve)
	do(t, client, to, "r1")
	recent := call("r2")
	recent.RequireRecent = true
	if res := client.Do(context.Background(), to, recent); !res.Reused {
		t.Fatal("a recently used connection was not reused")
	}
	to.MaxConns = 1
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	done := make(chan struct{})
	go func() { defer close(done); client.Do(ctx, to, call("slow")) }()
	<-done
	if s := client.Stats(); s.Open != 1 {
		t.Fatalf("%d open connections, want 1", s.Open)
	}
}

// TestUnreachable guards against an unknown outcome if no connection could be
// opened: nothing was sent.
func TestUnreachable(t *testing.T) {
	client := exchange.New(exchange.Default(), testProtocol{})
	res := do(t, client, exchange.Target{ID: "e", Addr: netip.MustParseAddrPort("127.0.0.1:1")}, "r1")
	if res.Outcome != exchange.NotSent {
		t.Fatalf("result %+v, want outcome not-sent", res)
	}
}
