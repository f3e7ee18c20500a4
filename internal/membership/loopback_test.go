package membership

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"jujubestile.example/jujubestile/internal/instancelist"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/peer"
)

// childEnv makes the test binary run one instance, which TestStoppedProcess
// stops and continues. Its value is ID=ADDRESS of the instance to join.
const childEnv = "MEMBERSHIP_TEST_JOIN"

func TestMain(m *testing.M) {
	if addr := os.Getenv(childEnv); addr != "" {
		runChild(addr)
		return
	}
	goleak.VerifyTestMain(m)
}

type fixedSource []model.EntryInstance

func (f fixedSource) List(context.Context) (instancelist.Listing, error) {
	return instancelist.Listing{Entries: f}, nil
}

// process is one instance with real connections, run in the test process.
type process struct {
	node   *Node
	server *peer.Server
	pool   *peer.Pool
	stop   func()
}

func listenLoopback() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return ln
}

func startProcess(id string, ln net.Listener, source instancelist.Source) *process {
	p := &process{server: peer.NewServer(peer.ServerOptions{})}
	p.pool = peer.NewPool(func(id model.InstanceID) (netip.AddrPort, bool) { return p.node.Resolve(id) }, peer.PoolOptions{})
	self := Member{
		ID: model.InstanceID(id), Region: "r", Domain: model.Domain("r-" + id[len(id)-1:]),
		PeerAddr: netip.MustParseAddrPort(ln.Addr().String()), Incarnation: model.Incarnation(time.Now().UnixNano()),
	}
	p.node = NewNode(Options{Self: self, Caller: p.pool, Source: source, Rand: rand.New(rand.NewPCG(1, uint64(self.Incarnation)))})
	if err := p.server.Register(ServiceName, p.node); err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ran := make(chan struct{})
	served := make(chan error, 1)
	go func() { served <- p.server.Serve(ln) }()
	go func() { p.node.Run(ctx); close(ran) }()
	p.stop = func() {
		cancel()
		<-ran
		p.server.Close()
		<-served
		p.pool.Close()
	}
	return p
}

// startProcesses starts n instances. Their IDs contain the process ID of the test:
// a port of another run of these tests may be reused while that run still calls
// it, and with equal IDs the instances of the two runs would join each other.
func startProcesses(t *testing.T, n int) (all []*process, list fixedSource) {
	prefix := fmt.Sprint(t.Name()[len("Test"):][:1], os.Getpid(), "-")
	listeners := make([]net.Listener, n)
	for i := range listeners {
		listeners[i] = listenLoopback()
		addr := netip.MustParseAddrPort(listeners[i].Addr().String())
		list = append(list, model.EntryInstance{ID: model.InstanceID(fmt.Sprint(prefix, i)), PeerAddr: addr})
	}
	for i, ln := range listeners {
		p := startProcess(fmt.Sprint(prefix, i), ln, list)
		all = append(all, p)
		t.Cleanup(func() { p.stop() })
	}
	return all, list
}

func waitUntilAll(t *testing.T, what string, limit time.Duration, all []*process, ok func(*Node) bool) {
	t.Helper()
	start := time.Now()
	for _, p := range all {
		for !ok(p.node) {
			if time.Since(start) > limit {
				t.Fatalf("%s: condition not met at %s after %v: %s", what, p.node.self().ID, limit, describeMembers(p.node))
			}
			time.Sleep(time.Millisecond)
		}
	}
	t.Logf("%s: condition met at all instances after %v", what, time.Since(start).Round(time.Millisecond))
}

// describeMembers returns the counters of a node and the states of all members
// that are not alive.
func describeMembers(n *Node) string {
	text := fmt.Sprint(n.Stats())
	for _, m := range n.View().Members {
		if m.State != StateAlive {
			text += fmt.Sprintf(" %s is %v at version %d", m.ID, m.State, m.Version)
		}
	}
	return text
}

// Guards against faults that occur only with real connections, against changes
// that take more than 1 s to reach all instances, and against idle traffic over
// 500 bytes/s per instance as counted by the connections.
func TestLoopback(t *testing.T) {
	t.Parallel()
	all, _ := startProcesses(t, 20)
	first := all[0].node.self().ID
	waitUntilAll(t, "join", 5*time.Second, all, func(n *Node) bool { return alive(n) == 20 })
	all[0].node.Drain()
	waitUntilAll(t, "drain", time.Second, all, func(n *Node) bool { return state(n, first) == StateLeaving })
	// Each connection carries its first ping, with gob's description of the
	// type, within 8 s.
	time.Sleep(8 * time.Second)
	before, start := traffic(all), time.Now()
	time.Sleep(pollWait)
	rate := float64(traffic(all)-before) / time.Since(start).Seconds() / 20
	t.Logf("idle: %.0f bytes/s sent and received", rate)
	if rate > 500 {
		t.Errorf("idle %.0f bytes/s, want at most 500", rate)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	all[0].node.Leave(ctx)
	if ctx.Err() != nil {
		t.Error("Leave ended before the neighbours had the record")
	}
	all[0].stop()
	all[0].stop = func() {}
	waitUntilAll(t, "death after leaving", 4*time.Second, all[1:], func(n *Node) bool { return state(n, first) == StateDead && alive(n) == 19 })
}

func traffic(all []*process) int64 {
	var sum int64
	for _, p := range all {
		for _, stats := range []map[string]int64{p.server.Stats(), p.pool.Stats()} {
			sum += stats["bytes_in"] + stats["bytes_out"]
		}
	}
	return sum
}

func runChild(join string) {
	ln := listenLoopback()
	id, addr, _ := strings.Cut(join, "=")
	own := fmt.Sprint("child-", os.Getpid())
	source := fixedSource{
		{ID: model.InstanceID(id), PeerAddr: netip.MustParseAddrPort(addr)},
		{ID: model.InstanceID(own), PeerAddr: netip.MustParseAddrPort(ln.Addr().String())},
	}
	p := startProcess(own, ln, source)
	fmt.Println("started")
	_, _ = bufio.NewReader(os.Stdin).ReadByte()
	fmt.Printf("%d alive, paused %v\n", alive(p.node), p.node.Stats()["paused_ms"] > 0)
	p.stop()
}

// Guards against a process that was stopped by SIGSTOP and stays dead for the
// others after it runs again, or that declares the others dead.
func TestStoppedProcess(t *testing.T) {
	t.Parallel()
	all, _ := startProcesses(t, 5)
	child := exec.Command(os.Args[0])
	join := all[0].node.self()
	child.Env = append(os.Environ(), fmt.Sprintf("%s=%s=%s", childEnv, join.ID, join.PeerAddr))
	stdin, _ := child.StdinPipe()
	var out strings.Builder
	child.Stdout = &out
	child.Stderr = &out
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = child.Process.Kill() }()
	id := model.InstanceID(fmt.Sprint("child-", child.Process.Pid))
	waitUntilAll(t, "join", 5*time.Second, all, func(n *Node) bool { return alive(n) == 6 })
	time.Sleep(time.Second)
	_ = child.Process.Signal(syscall.SIGSTOP)
	waitUntilAll(t, "suspicion", 5*time.Second, all, func(n *Node) bool { return state(n, id) != StateAlive })
	waitUntilAll(t, "death", 6*time.Second, all, func(n *Node) bool { return state(n, id) == StateDead })
	_ = child.Process.Signal(syscall.SIGCONT)
	defer func() {
		if t.Failed() {
			t.Logf("child: %q", out.String())
		}
	}()
	waitUntilAll(t, "return", 8*time.Second, all, func(n *Node) bool { return alive(n) == 6 })
	// The child detects its pause at its next tick.
	time.Sleep(3 * tickInterval)
	_ = stdin.Close()
	if err := child.Wait(); err != nil || !strings.Contains(out.String(), "6 alive, paused true") {
		t.Errorf("child: %v, %q", err, out.String())
	}
}
