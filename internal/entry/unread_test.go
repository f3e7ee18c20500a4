package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/forward"
)

// startEntry serves the handler and returns its address.
func startEntry(t *testing.T, h *Handler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g, s := forward.NewGuard(forward.GuardConfig{}), NewServer(h)
	s.Handler, s.ConnContext, s.ConnState = g.BodyHandler(s.Handler), forward.ConnContext, forward.ConnState
	go func() { _ = s.Serve(g.Listener(ln, 0)) }()
	t.Cleanup(func() { _ = s.Close() })
	return ln.Addr().String()
}

// Guards against an answer that waits for a body which nobody needs: the caller learns
// late, or never, that its request has not run, and a stop waits for its connection.
func TestAnswerDoesNotAwaitABodyWithoutUse(t *testing.T) {
	h, l := newTestHandler(echo)
	h.cfg.Ready = func() bool { return false }
	addr := startEntry(t, h)
	const within = time.Second
	for name, request := range map[string]string{
		"with a length": "POST /v1/services/entries/ HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx",
		"in chunks":     "POST /v1/services/entries/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx",
		"no such path":  "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx",
		"lookup":        "GET /v1/entries HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx",
		"outcome":       "GET /v1/outcomes/k HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx",
		"with a key":    fmt.Sprintf("POST /v1/services/entries/ HTTP/1.1\r\nHost: h\r\n%s: %sk\r\nContent-Length: 9\r\n\r\nx", KeyHeader, l.Prefix()),
	} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(within))
		_, _ = io.WriteString(c, request)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("%s: no answer: %v", name, err)
		} else if refused := resp.StatusCode >= http.StatusBadRequest; refused != (request[:4] == "POST") {
			t.Errorf("%s: status %d", name, resp.StatusCode)
		}
		time.Sleep(50 * time.Millisecond)
		if n := h.InFlight(); n != 0 {
			t.Errorf("%s: %d requests in flight", name, n)
		}
		_ = c.Close()
	}
}

// Guards against a refusal that costs its caller the connection although the body has
// arrived.
func TestRefusalKeepsTheConnection(t *testing.T) {
	h, _ := newTestHandler(echo)
	h.cfg.Ready = func() bool { return false }
	c, err := net.Dial("tcp", startEntry(t, h))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	in := bufio.NewReader(c)
	for i := range 3 {
		_, _ = io.WriteString(c, "POST /v1/services/entries/ HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123456789")
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		time.Sleep(300 * time.Millisecond) // The time limits of the request before are over.
	}
}
