package serve

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/steering"
)

// Guards against a crash that is not noticed because the endpoint had dropped a response
// shortly before: it was dialled after that, and not again.
func TestCrashAfterADroppedResponse(t *testing.T) {
	in := New(Settings{Instance: "i1"}, events.New(io.Discard, zerolog.Disabled, "i1"))
	defer in.peers.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	in.table.Put(steering.Endpoint{ID: "e", Service: "s", Domain: "a1", Slots: 4, Addr: netip.MustParseAddrPort(ln.Addr().String())}, time.Now())
	in.crashes.Started(1, "e")
	in.crashes.Finished(1, "e", true)
	time.Sleep(1200 * time.Millisecond) // Most dials have shown that the endpoint lives.
	in.crashes.Started(2, "e")
	in.crashes.Finished(2, "e", true)
	_ = ln.Close()
	for end := time.Now().Add(crashConfirmWindow); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		in.crashes.expire(time.Now())
		if in.crashes.quarantine.News(nil) != nil {
			return
		}
	}
	t.Error("the crash was not noticed")
}
