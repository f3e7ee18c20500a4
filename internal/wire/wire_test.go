package wire_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/freeport"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/wire"
)

// rawEndpoint starts a TCP server that calls handle for each request on a
// connection until handle returns false. It counts the requests that arrive.
func rawEndpoint(t testing.TB, handle func(c net.Conn, n int, r *http.Request) (more bool)) (exchange.Target, *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	var arrivals atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					arrivals.Add(1)
					if !handle(c, n, r) {
						return
					}
				}
			}()
		}
	}()
	return exchange.Target{ID: "e1", Addr: netip.MustParseAddrPort(ln.Addr().String())}, &arrivals
}

func respond(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// newClient returns a client with the limits of the product's own deployment.
// Unless reuse is set, requests that require a recently used connection get a
// new one.
func newClient(t testing.TB, reuse bool) *exchange.Client {
	cfg := exchange.Default()
	cfg.RequireFraming = true
	if !reuse {
		cfg.RecentUse = 0
	}
	c := exchange.New(cfg, wire.EndpointHeaders{})
	t.Cleanup(func() { c.Drop("e1") })
	return c
}

var lastID atomic.Int64

func send(client *exchange.Client, to exchange.Target, call exchange.Call) exchange.Result {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	call.ID, call.Deadline = fmt.Sprint("r", lastID.Add(1)), time.Now().Add(2*time.Second)
	call.Host = to.Addr.String()
	return client.Do(ctx, to, &call)
}

// Guards against automatic retries by the HTTP client, which would execute a
// request twice: each exchange sends one request, even on a reused connection
// that the endpoint has closed.
func TestNoAutomaticRetries(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "TRACE", "POST", "PUT", "PATCH", "DELETE"} {
		for _, body := range []string{"", "body"} {
			to, arrivals := rawEndpoint(t, func(c net.Conn, n int, _ *http.Request) bool {
				return n == 0 && respond(c, "HTTP/1.1 204 No Content\r\n\r\n")
			})
			client := newClient(t, true)
			call := exchange.Call{Method: method, Target: "/", Body: []byte(body), Header: http.Header{"Idempotency-Key": {"k"}}}
			if res := send(client, to, call); res.Outcome != exchange.Answered {
				t.Fatal(method, res.Err)
			}
			before := arrivals.Load()
			res := send(client, to, call)
			time.Sleep(5 * time.Millisecond)
			if got := arrivals.Load() - before; got != 1 || res.Outcome != exchange.Unknown || !res.Reused || !res.ConnectionBroken(time.Second) {
				t.Errorf("%s body=%q: %d arrivals for one exchange, %+v", method, body, got, res)
			}
		}
	}
}

// Guards against forwarding a truncated response, and against reporting a
// request as not run that may have run.
func TestOutcomeByResponse(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		want     exchange.Outcome
		body     string
	}{
		"complete":         {okResponse, exchange.Answered, "ok"},
		"chunked":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", exchange.Answered, "ok"},
		"chunked, no end":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", exchange.Unknown, ""},
		"truncated":        {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", exchange.Unknown, ""},
		"close-delimited":  {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", exchange.Unknown, ""},
		"HTTP/1.0":         {"HTTP/1.0 200 OK\r\n\r\nok", exchange.Unknown, ""},
		"empty":            {"", exchange.Unknown, ""},
		"half a header":    {"HTTP/1.1 200 OK\r\nConte", exchange.Unknown, ""},
		"not HTTP":         {"SSH-2.0\r\n\r\n", exchange.Unknown, ""},
		"refused":          {"HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n", exchange.NotRun, ""},
		"503, no delay":    {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", exchange.Answered, ""},
		"too large":        {"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n", exchange.Unknown, ""},
		"conflicting ends": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", exchange.Unknown, ""},
		"informational":    {"HTTP/1.1 102 Processing\r\n\r\n" + okResponse, exchange.Answered, "ok"},
		"switching":        {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", exchange.Unknown, ""},
		"odd status":       {"HTTP/1.1 042 Odd\r\nContent-Length: 0\r\n\r\n", exchange.Unknown, ""},
		"extra response":   {okResponse + okResponse, exchange.Answered, "ok"},
	} {
		to, _ := rawEndpoint(t, func(conn net.Conn, _ int, _ *http.Request) bool {
			respond(conn, c.response)
			return false
		})
		res := send(newClient(t, false), to, exchange.Call{Method: "POST", Target: "/x?q=1", Body: []byte("b")})
		if res.Outcome != c.want || (c.want == exchange.Answered && string(res.Body) != c.body) {
			t.Errorf("%s: %s %q (%v), want %s %q", name, res.Outcome, res.Body, res.Err, c.want, c.body)
		}
	}
}

// Guards against returning to a caller a late response to an earlier request on
// the same connection.
func TestResponseToAnotherRequest(t *testing.T) {
	earlier := ""
	to, _ := rawEndpoint(t, func(c net.Conn, n int, r *http.Request) bool {
		id, body := r.Header.Get(wire.RequestHeader), "ok"
		if earlier != "" && n > 0 {
			respond(c, "HTTP/1.1 200 OK\r\n"+wire.RequestHeader+": "+earlier+"\r\nContent-Length: 4\r\n\r\nlate")
		}
		earlier = id
		return respond(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\n%s", wire.RequestHeader, id, body))
	})
	client := newClient(t, true)
	for i := range 3 {
		res := send(client, to, exchange.Call{Method: "GET", Target: "/"})
		if res.Outcome != exchange.Answered || string(res.Body) != "ok" {
			t.Errorf("request %d: %s %q", i, res.Outcome, res.Body)
		}
	}
}

// Guards against reporting the outcome of a request as unknown when the
// connection was refused, so that the request was not sent.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	closed, err := freeport.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer closed.Release()
	to := exchange.Target{ID: "e1", Addr: closed.Loopback()}
	if res := send(newClient(t, false), to, exchange.Call{Method: "POST", Target: "/"}); res.Outcome != exchange.NotSent {
		t.Errorf("%s, want not-sent", res.Outcome)
	}
}

// Guards against using an idle connection, which may be broken without notice,
// for a non-repeatable request.
func TestNewConnectionIfRecentRequired(t *testing.T) {
	to, _ := rawEndpoint(t, func(c net.Conn, _ int, _ *http.Request) bool { return respond(c, okResponse) })
	client := newClient(t, false)
	for i := range 3 {
		if res := send(client, to, exchange.Call{Method: "POST", Target: "/", RequireRecent: true}); res.Outcome != exchange.Answered || res.Reused {
			t.Errorf("request %d: %s, reused %v", i, res.Outcome, res.Reused)
		}
	}
}

// Guards against forwarding hop-by-hop header fields, and against losing the
// deadline or the trace context.
func TestHeaders(t *testing.T) {
	got := make(chan *http.Request, 1)
	to, _ := rawEndpoint(t, func(c net.Conn, _ int, r *http.Request) bool {
		got <- r
		return respond(c, "HTTP/1.1 200 OK\r\nKeep-Alive: 5\r\nX-Conn: 1\r\nConnection: X-Conn\r\nX-Kept: 1\r\n"+
			wire.LoadHeader+": TEXT cpu_utilization=0.5\r\nContent-Length: 0\r\n\r\n")
	})
	h := http.Header{"Connection": {"X-Drop, close"}, "X-Drop": {"1"}, "Te": {"trailers"}, "Proxy-Authorization": {"x"}, "Upgrade": {"h2c"},
		"Transfer-Encoding": {"chunked"}, "Traceparent": {"00-1-2-01"}, "Grpc-Timeout": {"9H"}, "X-Keep": {"1"}, "Expect": {"100-continue"}}
	res := send(newClient(t, false), to, exchange.Call{Method: "POST", Target: "/a%2Fb?x=1", Header: h, Body: []byte("body")})
	r := <-got
	for _, name := range []string{"X-Drop", "Te", "Proxy-Authorization", "Upgrade", "User-Agent", "Connection", "Expect"} {
		if r.Header.Get(name) != "" {
			t.Errorf("field %s forwarded: %q", name, r.Header[name])
		}
	}
	if r.Header.Get("Traceparent") != "00-1-2-01" || r.Header.Get("X-Keep") != "1" || r.RequestURI != "/a%2Fb?x=1" || len(r.TransferEncoding) != 0 {
		t.Errorf("changed: %s %v %v", r.RequestURI, r.TransferEncoding, r.Header)
	}
	if d, err := model.ParseTimeout(r.Header.Get(model.TimeoutHeader)); err != nil || d > 2*time.Second || d < time.Second {
		t.Errorf("deadline %v %v", d, err)
	}
	if !res.Fields.HasLoad || res.Fields.Load.Running*2 != res.Fields.Load.Slots {
		t.Errorf("load %+v", res.Fields)
	}
	back := wire.CallerHeader(res.Header)
	if back.Get("X-Conn") != "" || back.Get("Keep-Alive") != "" || back.Get(wire.LoadHeader) != "" || back.Get("X-Kept") != "1" {
		t.Errorf("response header %v", back)
	}
}

// Guards against accepting a malformed load report.
func TestUtilization(t *testing.T) {
	for report, want := range map[string]float64{
		"TEXT cpu_utilization=0.3, mem_utilization=0.8":            0.3,
		"TEXT cpu_utilization=0.3,application_utilization=0.7":     0.7,
		`JSON {"cpu_utilization": 0.3, "named_metrics": {"a": 1}}`: 0.3,
		`JSON {"application_utilization": 1.5}`:                    1.5,
		`JSON {"application_utilization": 1e9}`:                    10,
		"TEXT cpu_utilization=NaN":                                 -1, "TEXT cpu_utilization=-1": -1, "JSON {": -1, "": -1, "BIN AAAA": -1, "TEXT": -1,
		"TEXT cpu_utilization=" + strings.Repeat("1", 5000): -1,
	} {
		if got := wire.Utilization(http.Header{wire.LoadHeader: {report}}); got != want {
			t.Errorf("%.40q: %v, want %v", report, got, want)
		}
	}
}
