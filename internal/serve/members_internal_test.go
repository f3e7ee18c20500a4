package serve

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/fleet"
	"jujubestile.example/jujubestile/internal/peer"
)

// Guards against calls on connections to an instance that was without power, or to an
// earlier process of it: they fail one after the other, and changes come late.
func TestConnectionsToSilentAndRestartedInstancesAreDropped(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	other := New(Settings{Instance: "i1"}, events.New(io.Discard, zerolog.Disabled, "i1"))
	server := peer.NewServer(peer.ServerOptions{})
	if err := server.Register(stateService, &State{other}); err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(ln) }() // Ends with Close.
	defer server.Close()
	seen := fleet.Presence{ID: "i1", Incarnation: 1, Region: "r", Domain: "d", Peer: netip.MustParseAddrPort(ln.Addr().String())}
	for _, test := range []struct {
		name  string
		after func(*Instance)
		dials int64
	}{
		{"nothing has happened", func(*Instance) {}, 1},
		{"silent", func(in *Instance) { in.applyMemberChanges(in.members.Tick(time.Now().Add(longSilence))) }, 2},
		{"restarted", func(in *Instance) {
			again := seen
			again.Incarnation++
			in.handleMessage(fleet.Message{Full: true, Presence: again})
		}, 2},
	} {
		in := New(Settings{Instance: "i0", Region: "r", Domain: "d"}, events.New(io.Discard, zerolog.Disabled, "i0"))
		if in.socket, err = fleet.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
			t.Fatal(err)
		}
		in.handleMessage(fleet.Message{Full: true, Presence: seen})
		in.callProof(t, seen)
		test.after(in)
		in.callProof(t, seen)
		if n := in.peers.Stats()["dials"]; n != test.dials {
			t.Errorf("%s: %d connections were opened, want %d", test.name, n, test.dials)
		}
		in.peers.Close()
		_ = in.socket.Close()
	}
}

// longSilence is beyond the time after which an instance counts as silent.
const longSilence = 5 * time.Second

func (in *Instance) callProof(t *testing.T, to fleet.Presence) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := in.peers.Call(ctx, to.ID, stateService+".Proof", ProofArgs{}, &ProofReply{}); err != nil {
		t.Fatal(err)
	}
}
