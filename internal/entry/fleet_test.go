package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jujubestile.example/jujubestile/client"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/ledger"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/peer"
	"jujubestile.example/jujubestile/internal/wire"
)

// testFleet consists of three instances with ledgers and one endpoint.
type testFleet struct {
	client   *exchange.Client
	endpoint exchange.Target
	runs     atomic.Int64
	// killAt is the phase of a request in which instance a is killed: "queued",
	// "running", or "after" (the outcome is recorded, but the caller has no
	// response). If empty, the instance is not killed.
	killAt string

	mu      sync.Mutex
	ledgers map[model.InstanceID]*ledger.Ledger
	servers map[model.InstanceID]*httptest.Server
	peers   map[model.InstanceID]*rpc.Client
}

func newTestFleet(t *testing.T, killAt string) *testFleet {
	f := &testFleet{client: exchange.New(exchange.Default(), wire.EndpointHeaders{}), killAt: killAt, ledgers: map[model.InstanceID]*ledger.Ledger{},
		servers: map[model.InstanceID]*httptest.Server{}, peers: map[model.InstanceID]*rpc.Client{}}
	t.Cleanup(f.client.Sweep)
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.runs.Add(1)
		w.Header().Set("Retry-Count", "0")
		w.Write([]byte("booked"))
	}))
	t.Cleanup(endpoint.Close)
	f.endpoint = exchange.Target{ID: "e", Addr: netip.MustParseAddrPort(endpoint.Listener.Addr().String())}
	for _, id := range []model.InstanceID{"a", "b", "c"} {
		f.start(t, id)
	}
	return f
}

func (f *testFleet) start(t *testing.T, id model.InstanceID) {
	l := ledger.New(ledger.Config{Self: id, Inc: 1, Peers: f, Members: member{f, id}})
	h := New(Config{Dispatcher: doFunc(func(ctx context.Context, r *Request, c Claim) Result {
		return f.do(ctx, id, r, c)
	}), Ledger: FromLedger(l), Classifier: RulesClassifier(testRules), Directory: member{f, id}, Log: events.Nop()})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id == "a" && f.killAt == "after" && r.Method == "POST" {
			h.ServeHTTP(httptest.NewRecorder(), r)
			l.Flush(context.Background())
			f.kill()
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	server := rpc.NewServer()
	if err := server.RegisterName(ledger.ServiceName, l.Service()); err != nil {
		t.Fatal(err)
	}
	clientConn, serverConn := net.Pipe()
	go server.ServeConn(serverConn)
	t.Cleanup(func() { clientConn.Close() })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ledgers[id], f.servers[id], f.peers[id] = l, srv, rpc.NewClient(clientConn)
}

// kill makes instance a unreachable for the other instances and closes its
// connections to callers.
func (f *testFleet) kill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers["a"] = nil
	go f.servers["a"].CloseClientConnections()
}

func (f *testFleet) Call(ctx context.Context, to model.InstanceID, method string, args, reply any) error {
	f.mu.Lock()
	c := f.peers[to]
	f.mu.Unlock()
	if c == nil || c.Call(method, args, reply) != nil {
		return peer.ErrUnreachable
	}
	return nil
}

func (f *testFleet) do(ctx context.Context, id model.InstanceID, r *Request, c Claim) Result {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if id == "a" && f.killAt == "queued" {
		f.kill()
		<-ctx.Done()
		return Result{Outcome: model.OutcomeNotRun}
	}
	if err := c.Intent(ctx); err != nil {
		return Result{Outcome: model.OutcomeNotRun}
	}
	resp := f.client.Do(ctx, f.endpoint, &exchange.Call{Method: r.Method, Target: r.Path, Host: "e", Header: r.Header, Body: r.Body,
		ID: "1", Deadline: r.Deadline, RequireRecent: true})
	if id == "a" && f.killAt == "running" {
		f.kill()
		<-ctx.Done()
	}
	if resp.Outcome != exchange.Answered {
		return Result{Outcome: model.OutcomeUnknown}
	}
	return Result{Outcome: model.OutcomeAnswered, Response: &ledger.Response{Status: resp.Status, Header: wire.CallerHeader(resp.Header), Body: resp.Body}}
}

type member struct {
	f  *testFleet
	id model.InstanceID
}

func (m member) Witness([]model.InstanceID) (model.InstanceID, model.Incarnation, bool) {
	return map[model.InstanceID]model.InstanceID{"a": "c", "b": "c", "c": "b"}[m.id], 1, true
}

func (m member) Successor(model.InstanceID, model.Incarnation) (model.InstanceID, bool) {
	return "", false
}

func (member) KnownEpoch(model.InstanceID, model.Incarnation, uint64) bool { return true }

func (m member) Entries(netip.Addr) []Entry {
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	var out []Entry
	for _, id := range []model.InstanceID{"a", "b"} {
		addr := netip.MustParseAddrPort(m.f.servers[id].Listener.Addr().String())
		out = append(out, Entry{ID: id, Addr: addr, KeyPrefix: m.f.ledgers[id].Prefix()})
	}
	return out
}

// Guards against a request that is lost or runs twice when the instance that
// handles it is killed. The requests go from package client to the endpoint.
func TestKilledInstance(t *testing.T) {
	for killAt, want := range map[string]struct {
		answered bool
		runs     int64
	}{"": {true, 1}, "queued": {true, 1}, "after": {true, 1}, "running": {false, 1}} {
		f := newTestFleet(t, killAt)
		c := client.New(client.Config{Bootstrap: []string{f.servers["c"].Listener.Addr().String()}, Timeout: 2 * time.Second})
		resp, err := c.Do(context.Background(), client.Request{Service: "entries", Method: "POST", Path: "/pay", Body: []byte("x")})
		if got := f.runs.Load(); got != want.runs {
			t.Errorf("killed %q: %d runs, want %d", killAt, got, want.runs)
		}
		var unknown *client.UnknownError
		switch {
		case want.answered && (err != nil || string(resp.Body) != "booked" || resp.Status != 200):
			t.Errorf("killed %q: %+v %v", killAt, resp, err)
		case !want.answered && !errors.As(err, &unknown):
			t.Errorf("killed %q: %+v %v, want unknown", killAt, resp, err)
		}
		c.Close()
	}
}
