package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/dispatch"
	"jujubestile.example/jujubestile/internal/model"
)

// rawEndpoint accepts connections and lets handle answer each request on
// them. It counts the requests that arrive.
func rawEndpoint(t testing.TB, handle func(c net.Conn, n int, r *http.Request) (more bool)) (model.Endpoint, *atomic.Int64) {
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
	return model.Endpoint{ID: "e1", Addr: netip.MustParseAddrPort(ln.Addr().String())}, &arrivals
}

func respond(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func send(tr *Transport, to model.Endpoint, r dispatch.Request) (*dispatch.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return tr.Send(ctx, to, &r)
}

// Guards against replays hidden in net/http, which would run work twice: it
// repeats requests on reused connections if it believes them idempotent, by
// method or by Idempotency-Key.
func TestNoHiddenReplays(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "TRACE", "POST", "PUT", "PATCH", "DELETE"} {
		for _, repeatable := range []bool{false, true} {
			for _, body := range []string{"", "body"} {
				to, arrivals := rawEndpoint(t, func(c net.Conn, n int, _ *http.Request) bool {
					return n == 0 && respond(c, "HTTP/1.1 204 No Content\r\n\r\n")
				})
				tr := New(Config{})
				r := dispatch.Request{Method: method, Path: "/", Repeatable: repeatable, Body: []byte(body), Header: http.Header{"Idempotency-Key": {"k"}}}
				if _, err := send(tr, to, r); err != nil {
					t.Fatal(method, err)
				}
				before := arrivals.Load()
				_, err := send(tr, to, r)
				time.Sleep(5 * time.Millisecond)
				got := arrivals.Load() - before
				if got != 1 {
					t.Errorf("%s repeatable=%v body=%q: %d arrivals for one Send, want 1", method, repeatable, body, got)
				}
				var e *Error
				if repeatable && (!errors.Is(err, dispatch.ErrInterrupted) || !errors.As(err, &e) || !e.Broken) {
					t.Errorf("%s: closed connection: %v, want ErrInterrupted, broken", method, err)
				}
				tr.Close()
			}
		}
	}
}

// Guards against relaying a response that is cut off, or reporting as not sent
// what may have run.
func TestOutcomeByResponse(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		want     error
		body     string
	}{
		"whole":            {okResponse, nil, "ok"},
		"chunked":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", nil, "ok"},
		"chunked, cut":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", dispatch.ErrInterrupted, ""},
		"short":            {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", dispatch.ErrInterrupted, ""},
		"close-delimited":  {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", dispatch.ErrInterrupted, ""},
		"HTTP/1.0":         {"HTTP/1.0 200 OK\r\n\r\nok", dispatch.ErrInterrupted, ""},
		"nothing":          {"", dispatch.ErrInterrupted, ""},
		"half a header":    {"HTTP/1.1 200 OK\r\nConte", dispatch.ErrInterrupted, ""},
		"not HTTP":         {"SSH-2.0\r\n\r\n", dispatch.ErrInterrupted, ""},
		"refused":          {"HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n", dispatch.ErrRefused, ""},
		"503, no wish":     {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", nil, ""},
		"too large":        {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", MaxResponseBytes+1), dispatch.ErrInterrupted, ""},
		"conflicting ends": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", dispatch.ErrInterrupted, ""},
		"informational":    {"HTTP/1.1 102 Processing\r\n\r\n" + okResponse, nil, "ok"},
		"switching":        {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", dispatch.ErrInterrupted, ""},
		"odd status":       {"HTTP/1.1 042 Odd\r\nContent-Length: 0\r\n\r\n", dispatch.ErrInterrupted, ""},
		"unasked response": {okResponse + okResponse, nil, "ok"},
	} {
		for _, repeatable := range []bool{false, true} {
			to, _ := rawEndpoint(t, func(conn net.Conn, _ int, _ *http.Request) bool {
				respond(conn, c.response)
				return false
			})
			tr := New(Config{})
			resp, err := send(tr, to, dispatch.Request{Method: "POST", Path: "/x?q=1", Repeatable: repeatable, Body: []byte("b")})
			if !errors.Is(err, c.want) || (err == nil) != (c.want == nil) {
				t.Errorf("%s: error %v, want %v", name, err, c.want)
			}
			if err == nil && string(resp.Body) != c.body {
				t.Errorf("%s: body %q, want %q", name, resp.Body, c.body)
			}
			tr.Close()
		}
	}
}

// Guards against giving a caller the late response to an earlier request on the
// same connection.
func TestResponseToAnotherRequest(t *testing.T) {
	earlier := ""
	to, _ := rawEndpoint(t, func(c net.Conn, n int, r *http.Request) bool {
		id := r.Header.Get(RequestHeader)
		if earlier != "" && n > 0 {
			id = earlier
		}
		earlier = id
		return respond(c, "HTTP/1.1 200 OK\r\n"+RequestHeader+": "+id+"\r\nContent-Length: 2\r\n\r\nok")
	})
	tr := New(Config{})
	defer tr.Close()
	get := dispatch.Request{Method: "GET", Path: "/", Repeatable: true}
	for i, want := range []error{nil, dispatch.ErrInterrupted, nil} {
		if _, err := send(tr, to, get); !errors.Is(err, want) {
			t.Errorf("request %d: %v, want %v", i, err, want)
		}
	}
}

// Guards against calling a request sent, and so unknown, when no connection
// was had.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	to := model.Endpoint{ID: "gone", Addr: netip.MustParseAddrPort(ln.Addr().String())}
	ln.Close()
	tr := New(Config{})
	defer tr.Close()
	for _, repeatable := range []bool{false, true} {
		if _, err := send(tr, to, dispatch.Request{Method: "POST", Path: "/", Repeatable: repeatable}); !errors.Is(err, dispatch.ErrNotSent) {
			t.Errorf("repeatable=%v: %v, want ErrNotSent", repeatable, err)
		}
	}
}

// Guards against passing on fields of one connection, and against losing the
// deadline or the trace context.
func TestHeaders(t *testing.T) {
	got := make(chan *http.Request, 1)
	to, _ := rawEndpoint(t, func(c net.Conn, _ int, r *http.Request) bool {
		got <- r
		return respond(c, "HTTP/1.1 200 OK\r\nKeep-Alive: 5\r\nX-Conn: 1\r\nConnection: X-Conn\r\nX-Kept: 1\r\nContent-Length: 0\r\n\r\n")
	})
	tr := New(Config{})
	defer tr.Close()
	h := http.Header{"Connection": {"X-Drop, close"}, "X-Drop": {"1"}, "Te": {"trailers"}, "Proxy-Authorization": {"x"}, "Upgrade": {"h2c"},
		"Transfer-Encoding": {"chunked"}, "Traceparent": {"00-1-2-01"}, "Grpc-Timeout": {"9H"}, "X-Keep": {"1"}}
	resp, err := send(tr, to, dispatch.Request{Method: "POST", Path: "/a%2Fb?x=1", Repeatable: true, Header: h, Body: []byte("body")})
	if err != nil {
		t.Fatal(err)
	}
	r := <-got
	for _, name := range []string{"X-Drop", "Te", "Proxy-Authorization", "Upgrade", "User-Agent", "Connection"} {
		if r.Header.Get(name) != "" {
			t.Errorf("field %s passed on: %q", name, r.Header[name])
		}
	}
	if r.Header.Get("Traceparent") != "00-1-2-01" || r.Header.Get("X-Keep") != "1" || r.RequestURI != "/a%2Fb?x=1" || len(r.TransferEncoding) != 0 {
		t.Errorf("changed: %s %v %v", r.RequestURI, r.TransferEncoding, r.Header)
	}
	if d, err := model.ParseTimeout(r.Header.Get(model.TimeoutHeader)); err != nil || d > 2*time.Second || d < time.Second {
		t.Errorf("deadline %v %v", d, err)
	}
	if resp.Header.Get("X-Conn") != "" || resp.Header.Get("Keep-Alive") != "" || resp.Header.Get("X-Kept") != "1" {
		t.Errorf("response header %v", resp.Header)
	}
}

// Guards against waiting on connections that went silent: the first timeout
// closes the endpoint's other pooled connections. It prints what each way of
// choosing a connection costs.
func TestSilentConnections(t *testing.T) {
	var silent atomic.Bool
	to, _ := rawEndpoint(t, func(c net.Conn, n int, _ *http.Request) bool {
		if n > 0 && silent.Load() {
			time.Sleep(time.Second)
			return false
		}
		return respond(c, okResponse)
	})
	tr := New(Config{SilenceTimeout: 100 * time.Millisecond, MaxIdle: 8})
	defer tr.Close()
	get := dispatch.Request{Method: "GET", Path: "/", Repeatable: true}
	done := make(chan error, 8)
	for range 8 {
		go func() { _, err := send(tr, to, get); done <- err }()
	}
	for range 8 {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	silent.Store(true)
	start := time.Now()
	_, err := send(tr, to, get)
	first := time.Since(start)
	var e *Error
	if !errors.As(err, &e) || !e.Silent || !e.Reused || first > time.Second {
		t.Fatalf("silent connection: %v after %v", err, first)
	}
	start = time.Now()
	if _, err := send(tr, to, get); err != nil {
		t.Fatalf("after the pool was closed: %v", err)
	}
	t.Logf("silent pooled connection noticed after %v; next request on a new one %v", first, time.Since(start))
	silent.Store(false)
	t.Logf("new connection: %v a request; probe and pooled: %v; pooled: %v",
		each(t, tr, to, "POST", false, 1), each(t, tr, to, "GET", true, 2), each(t, tr, to, "GET", true, 1))
}

func each(t *testing.T, tr *Transport, to model.Endpoint, method string, repeatable bool, sends int) time.Duration {
	const requests = 300
	start := time.Now()
	for range requests * sends {
		if _, err := send(tr, to, dispatch.Request{Method: method, Path: "/", Repeatable: repeatable}); err != nil {
			t.Fatal(err)
		}
	}
	return time.Since(start) / requests
}

// Guards against trusting a malformed load report.
func TestUtilization(t *testing.T) {
	for report, want := range map[string]float64{
		"TEXT cpu_utilization=0.3, mem_utilization=0.8":            0.3,
		"TEXT cpu_utilization=0.3,application_utilization=0.7":     0.7,
		`JSON {"cpu_utilization": 0.3, "named_metrics": {"a": 1}}`: 0.3,
		`JSON {"application_utilization": 1.5}`:                    1,
		"TEXT cpu_utilization=NaN":                                 -1, "TEXT cpu_utilization=-1": -1, "JSON {": -1, "": -1, "BIN AAAA": -1, "TEXT": -1,
		"TEXT cpu_utilization=" + strings.Repeat("1", maxLoadBytes): -1,
	} {
		if got := Utilization(http.Header{LoadHeader: {report}}); got != want {
			t.Errorf("%.40q: %v, want %v", report, got, want)
		}
	}
}

func benchmarkSend(b *testing.B, repeatable bool) {
	to, _ := rawEndpoint(b, func(c net.Conn, _ int, _ *http.Request) bool { return respond(c, okResponse) })
	tr := New(Config{})
	defer tr.Close()
	for b.Loop() {
		if _, err := send(tr, to, dispatch.Request{Method: "GET", Path: "/", Repeatable: repeatable}); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSendNewConnection(b *testing.B) { benchmarkSend(b, false) }
func BenchmarkSendPooled(b *testing.B)        { benchmarkSend(b, true) }
