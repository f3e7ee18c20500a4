package peer

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Guards against large calls that find no memory while messages that stop short hold it,
// and against memory that stays charged.
func TestLargeCallBesideStalledMessages(t *testing.T) {
	ln := listen(t, "127.0.0.1:0")
	s, _ := serve(t, ln, ServerOptions{LargeBytes: 1})
	for range 3 {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, "\x00\x12\x00\x00"+strings.Repeat("x", 1000)); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, "a message that holds memory", func() bool { used, _ := s.large.budget.Used(); return used > 0 })
	p := pool(t, ln.Addr().String(), PoolOptions{})
	text := strings.Repeat("y", 1<<20)
	if got, err := say(p, text, 5*time.Second); got != text || err != nil {
		t.Errorf("%d bytes, %v", len(got), err)
	}
	if s.Stats()["messages_stalled"] == 0 {
		t.Error("no stalled message was given up")
	}
	waitFor(t, "the end of all charges", func() bool { used, _ := s.large.budget.Used(); return used == 0 })
}
