package forward_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/forward"
)

// Guards against requests that go on after their callers have left and whose headers are
// no longer charged: any number of them would fit into the memory of the process.
func TestHeadersOfDetachedAttemptsAreCharged(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	s := newTestServer(t, func(context.Context, int, exchange.Target, *exchange.Call) exchange.Result {
		close(started)
		<-finish
		return ok("")
	})
	g := forward.NewGuard(forward.GuardConfig{})
	s.server.Close()
	s.serve(g)
	c, err := net.Dial("tcp", s.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fields := ""
	for i := range 500 {
		fields += fmt.Sprintf("f%d: x\r\n", i)
	}
	fmt.Fprintf(c, "GET /pay/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nWait-Ms: 9000\r\n%s\r\n", fields)
	<-started
	_ = c.Close()
	eventually(t, "the connection has ended", func() bool { return g.Stats().Connections == 0 })
	time.Sleep(20 * time.Millisecond)
	if used, least := g.Stats().Used, int64(2*len(fields)); used < least { // The request's and the attempt's.
		t.Errorf("%d bytes are charged for an attempt, want at least %d", used, least)
	}
	close(finish)
	eventually(t, "no charge is left", func() bool { return g.Stats().Used == 0 })
}
