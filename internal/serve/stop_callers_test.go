package serve_test

import (
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"jujubestile.example/jujubestile/platform/standin"
)

// Guards against a process that is killed at the end of the grace period because of
// callers that read nothing, go on sending or keep their connections, while the store does
// not respond, and against one that waits for them longer than it must.
func TestStopEndsWithinGraceWhateverCallersDo(t *testing.T) {
	const large = 4 << 20 // More than the kernel holds.
	for name, test := range map[string]struct {
		responseBytes int
		call          func(net.Conn, string)
	}{
		"reads nothing of a large answer":                  {large, func(c net.Conn, request string) { _, _ = io.WriteString(c, request) }},
		"reads nothing of an answer that is in the kernel": {150 << 10, func(c net.Conn, request string) { _, _ = io.WriteString(c, request) }},
		"sends for ever": {300, func(c net.Conn, request string) {
			for err := error(nil); err == nil; time.Sleep(time.Millisecond) {
				_, err = io.WriteString(c, request)
			}
		}},
		"sends half a request": {300, func(c net.Conn, request string) { _, _ = io.WriteString(c, request+request[:30]) }},
	} {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, 1, 0, true)
			c.grace = 2 * time.Second
			e, err := standin.StartEndpoint(standin.EndpointConfig{ID: "large", Service: "s", Domain: "a1", Slots: 40, Queue: 40, ResponseBytes: test.responseBytes})
			if err != nil {
				t.Fatal(err)
			}
			c.endpoints = append(c.endpoints, e)
			c.store.PutEndpoint(e, e.Addr(), false, 0)
			in := c.instances[0]
			c.eventually("requests are served", func() bool { _, code, _ := c.send(in, "GET", "/safe/x"); return code == 200 })
			in.store.Silence()
			in.stop()
			stopped := time.Now()
			for i := range 20 {
				conn := dialWithoutBuffer(t, in.settings.Listen.Requests.String())
				go test.call(conn, fmt.Sprintf("GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: n%d\r\nX-Deadline-Ms: 700\r\n\r\n", i))
			}
			<-in.done
			took, grace := time.Since(stopped), time.Duration(in.settings.Bounds.Grace)
			t.Logf("stopped after %s of %s", took, grace)
			if took > grace {
				t.Errorf("the instance stopped after %s, the grace period is %s", took, grace)
			}
		})
	}
}

// dialWithoutBuffer opens a connection that takes few bytes until they are read.
func dialWithoutBuffer(t *testing.T, addr string) net.Conn {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}
