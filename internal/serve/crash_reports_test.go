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
	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/peer"
	"jujubestile.example/jujubestile/internal/quarantine"
)

const crashingRequest = 7

// informedPeer starts the calls of an instance that knows crashingRequest, with a delay
// before each answer.
func informedPeer(t *testing.T, delay time.Duration) (*Instance, netip.AddrPort) {
	t.Helper()
	knows := New(Settings{Instance: "i0"}, events.New(io.Discard, zerolog.Disabled, "i0"))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer(peer.ServerOptions{})
	t.Cleanup(server.Close)
	if err := server.Register(stateService, &slowState{State{knows}, delay}); err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(ln) }() // Ends with Close.
	for _, e := range []model.EndpointID{"e1", "e2", "e3"} {
		knows.crashes.quarantine.Started(crashingRequest, e)
		knows.crashes.quarantine.Finished(crashingRequest, e, true)
	}
	knows.crashes.informed.Store(true)
	return knows, netip.MustParseAddrPort(ln.Addr().String())
}

// slowState is a State whose crash reports come late.
type slowState struct {
	State
	delay time.Duration
}

// CrashReports implements the call of State.
func (s *slowState) CrashReports(args CrashReportsArgs, reply *CrashReports) error {
	time.Sleep(s.delay)
	return s.State.CrashReports(args, reply)
}

// newPeer returns an instance that has no crash reports. Its peer port is that of the
// address.
func newPeer(t *testing.T, port uint16, seeds ...netip.AddrPort) *Instance {
	t.Helper()
	s := Settings{Instance: "i1", Seeds: seeds}
	s.Listen.Peer = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), port)
	in := New(s, events.New(io.Discard, zerolog.Disabled, "i1"))
	t.Cleanup(in.peers.Close)
	return in
}

// refuses fails the test unless the instance refuses crashingRequest.
func refuses(t *testing.T, in *Instance) {
	t.Helper()
	if v := in.crashes.quarantine.Decide(crashingRequest); v != quarantine.Refuse {
		t.Errorf("verdict %v, want a refusal", v)
	}
}

// Guards against a new process that takes itself for the only one because it has read
// the store's revision but no record of another instance yet, asks nobody, and sends a
// request that crashes endpoints to further ones.
func TestNewProcessAsksItsSeeds(t *testing.T) {
	_, addr := informedPeer(t, 0)
	in := newPeer(t, addr.Port(), addr)
	in.copy.Replace("", nil, mirror.Position{Era: 1, Revision: 1})
	in.crashes.fetchAtStart(context.Background())
	refuses(t, in)
}

// Guards against a new process that gives up when the other instances, or the machine it
// starts on, are slow.
func TestNewProcessWaitsForSlowInstances(t *testing.T) {
	_, addr := informedPeer(t, 700*time.Millisecond)
	in := newPeer(t, addr.Port(), addr)
	go in.crashes.fetchAtStart(context.Background())
	time.Sleep(2 * crashGateLimit)
	if !in.crashes.mayServe.Load() {
		t.Error("no requests are served while other instances are slow")
	}
	for end := time.Now().Add(5 * time.Second); !in.crashes.informed.Load() && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	refuses(t, in)
}

// Guards against a process without the reports of earlier crashes that sees the next one
// and still does not learn of them: it tells the others, who know.
func TestProcessLearnsOfCrashesWhenItSeesOne(t *testing.T) {
	_, addr := informedPeer(t, 0)
	in := newPeer(t, addr.Port())
	in.members.ReceiveFull(fleet.Presence{ID: "i0", Incarnation: 1, Peer: addr}, time.Now())
	in.crashes.quarantine.Started(crashingRequest, "e4")
	in.crashes.recordBroken(crashingRequest, "e4", time.Now())
	in.crashes.endpointEnded("e4")
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if in.crashes.quarantine.Check(crashingRequest) == quarantine.Refuse {
			break
		}
	}
	refuses(t, in)
}

// Guards against an instance that has missed a crash report and sends the request to
// further endpoints for good: it takes the report over when it compares its own with
// those of another instance.
func TestCrashReportsAreCompared(t *testing.T) {
	knows, addr := informedPeer(t, 0)
	missed := newPeer(t, addr.Port())
	if responded, informed := missed.crashes.fetchReports(context.Background(), model.InstanceID(addr.String())); !responded || !informed {
		t.Fatalf("responded %v, informed %v", responded, informed)
	}
	refuses(t, missed)
	if news := missed.crashes.quarantine.News(knows.crashes.quarantine.Digest()); news != nil {
		t.Error("the reports differ after the comparison")
	}
}
