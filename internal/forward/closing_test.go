package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// answerBytes exceeds the receive buffer of a caller and fits into the kernel's
	// buffers of a connection.
	answerBytes = 150 << 10
	// pause is the time after which the other side has received what was sent, and has
	// acted on it.
	pause = 50 * time.Millisecond
	limit = 5 * time.Second
)

// start serves on a guarded listener.
func start(t *testing.T, s *http.Server) Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := NewGuard(GuardConfig{})
	l := g.Listener(ln, 0)
	s.Handler, s.ConnContext, s.ConnState = g.BodyHandler(s.Handler), ConnContext, ConnState
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l
}

// dial connects with a small receive buffer, so that unread bytes stay at the server.
func dial(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	const buffer = 4 << 10
	d := net.Dialer{Timeout: limit, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, buffer) })
	}}
	c, err := d.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(limit))
	return c
}

// send writes a request and waits until the server has received it.
func send(c net.Conn, request string) {
	_, _ = io.WriteString(c, request) // An error shows when the answer is read.
	time.Sleep(pause)
}

// expect reads an answer. It fails the test unless that is whole.
func expect(t *testing.T, in *bufio.Reader, status, size int) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != status || size >= 0 && len(body) != size {
		t.Errorf("status %d, %d bytes: %v", resp.StatusCode, len(body), err)
	}
}

const (
	get      = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	getClose = "GET /close HTTP/1.1\r\nHost: h\r\n\r\n"
)

// answer sends answerBytes and closes the connection if the path is /close.
func answer(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/close" {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Length", fmt.Sprint(answerBytes))
	_, _ = w.Write(make([]byte, answerBytes))
}

// Guards against answers that the kernel drops because the connection is closed while a
// further request of the caller is unread or on its way.
func TestClosingDeliversTheAnswer(t *testing.T) {
	for name, end := range map[string]struct {
		request     string
		idleTimeout time.Duration
		end         func(*http.Server)
	}{
		"answer that closes the connection": {getClose, 0, func(*http.Server) {}},
		"idle timeout":                      {get, pause / 2, func(*http.Server) {}},
		"shutdown":                          {get, 0, func(s *http.Server) { _ = s.Shutdown(context.Background()) }},
		"close":                             {get, 0, func(s *http.Server) { _ = s.Close() }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &http.Server{Handler: http.HandlerFunc(answer), IdleTimeout: end.idleTimeout}
			c := dial(t, start(t, s))
			send(c, end.request)
			end.end(s)
			time.Sleep(pause)
			send(c, get)
			expect(t, bufio.NewReader(c), http.StatusOK, answerBytes)
		})
	}
}

// Guards against refusals that the kernel drops because the body of the request is
// unread: a caller that reads only after it has sent all does not learn that its request
// has not run.
func TestClosingDeliversRefusals(t *testing.T) {
	const bodyBytes = 1 << 20
	body := strings.Repeat("x", bodyBytes)
	for name, test := range map[string]struct {
		head   string
		status int
	}{
		"unread body":                 {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", http.StatusServiceUnavailable},
		"unread body, caller closes":  {"POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", http.StatusServiceUnavailable},
		"malformed head":              {"POST / HTTP/1.1\r\nHost: h\r\nBad Name: 1\r\nContent-Length: %d\r\n\r\n", http.StatusBadRequest},
		"unsupported transfer coding": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: x%d\r\n\r\n", http.StatusNotImplemented},
		"unmet expectation":           {"POST / HTTP/1.1\r\nHost: h\r\nExpect: x\r\nContent-Length: %d\r\n\r\n", http.StatusExpectationFailed},
		"head that exceeds the limit": {"POST / HTTP/1.1\r\nHost: h\r\nA: " + body[:8<<10] + "\r\nContent-Length: %d\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			refuse := func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			c := dial(t, start(t, &http.Server{Handler: http.HandlerFunc(refuse), MaxHeaderBytes: 1 << 10}))
			_, _ = fmt.Fprintf(c, test.head, bodyBytes)
			const piece = bodyBytes / 8
			for sent := 0; sent < bodyBytes; sent += piece {
				time.Sleep(2 * pause)
				if _, err := io.WriteString(c, body[:piece]); err != nil {
					t.Errorf("after %d bytes: %v", sent, err)
					break
				}
			}
			expect(t, bufio.NewReader(c), test.status, -1)
		})
	}
}

// Guards against a server that takes a connection which it has closed itself for a
// malformed request, against a closed connection that blocks the server, and against a
// wait that ends while an answer is still being sent.
func TestClosingWhileRequestsArrive(t *testing.T) {
	s := &http.Server{Handler: http.HandlerFunc(answer)}
	l := start(t, s)
	half, whole := dial(t, l), dial(t, l)
	send(half, get[:10])
	send(whole, get)
	began := time.Now()
	_ = s.Close()
	if took := time.Since(began); took > pause {
		t.Errorf("closing took %v", took)
	}
	if rest, err := io.ReadAll(half); err != nil || len(rest) > 0 {
		t.Errorf("%q to half a request: %v", rest, err)
	}
	_ = half.Close()
	ctx, cancel := context.WithTimeout(t.Context(), pause)
	defer cancel()
	if err := l.AwaitReceived(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the wait ended with an answer unsent: %v", err)
	}
	if n := l.Owing(); n != 1 {
		t.Errorf("%d answers unreceived, want 1", n)
	}
	expect(t, bufio.NewReader(whole), http.StatusOK, answerBytes)
	_ = whole.Close()
	if err := l.AwaitReceived(t.Context()); err != nil {
		t.Errorf("connections left: %v", err)
	}
}
