package ledger

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/peer"
)

// loopback connects ledgers by net/rpc over TCP on the loopback interface.
type loopback struct {
	mu      sync.Mutex
	clients map[model.InstanceID]*rpc.Client
	incs    map[model.InstanceID]model.Incarnation
}

func (n *loopback) Call(ctx context.Context, to model.InstanceID, method string, args, reply any) error {
	n.mu.Lock()
	c := n.clients[to]
	n.mu.Unlock()
	if c == nil {
		return peer.ErrUnreachable
	}
	call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			return peer.ErrUnreachable
		}
		return nil
	case <-ctx.Done():
		return peer.ErrUnreachable
	}
}

func (n *loopback) start(t testing.TB, id model.InstanceID, witness model.InstanceID) *Ledger {
	inc := model.Incarnation(len(n.incs) + 1)
	l := New(Config{Self: id, Inc: inc, Peers: n, Members: fixedWitness{n, witness}})
	srv := rpc.NewServer()
	if err := srv.RegisterName(ServiceName, l.Service()); err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go srv.ServeConn(c)
		}
	}()
	c, err := rpc.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	n.mu.Lock()
	defer n.mu.Unlock()
	n.clients[id], n.incs[id] = c, inc
	return l
}

// stop makes an instance unreachable for the others.
func (n *loopback) stop(id model.InstanceID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.clients[id] = nil
}

type fixedWitness struct {
	n  *loopback
	id model.InstanceID
}

func (w fixedWitness) Witness([]model.InstanceID) (model.InstanceID, model.Incarnation, bool) {
	return w.id, w.n.incs[w.id], w.id != ""
}

func (fixedWitness) Successor(model.InstanceID, model.Incarnation) (model.InstanceID, bool) {
	return "", false
}

func (fixedWitness) KnownEpoch(model.InstanceID, model.Incarnation, uint64) bool { return true }

func newLoopback() *loopback {
	return &loopback{clients: map[model.InstanceID]*rpc.Client{}, incs: map[model.InstanceID]model.Incarnation{}}
}

var benchResponse = &Response{Status: 201, Body: make([]byte, 1<<10)}

func benchmarkLedger(b *testing.B, witness model.InstanceID, parallel bool) {
	n := newLoopback()
	n.start(b, "w", "")
	l := n.start(b, "a", witness)
	ctx := context.Background()
	var count atomic.Uint64
	run := func() {
		claim, _, err := l.Begin(ctx, fmt.Sprint(l.Prefix(), count.Add(1)), 1)
		if err != nil {
			b.Fatal(err)
		}
		if err := claim.Intent(ctx); err != nil {
			b.Fatal(err)
		}
		claim.Finish(model.OutcomeAnswered, benchResponse)
	}
	b.ReportAllocs()
	if parallel {
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				run()
			}
		})
		return
	}
	for b.Loop() {
		run()
	}
}

func BenchmarkLedgerNoWitness(b *testing.B)       { benchmarkLedger(b, "", false) }
func BenchmarkLedgerWitness(b *testing.B)         { benchmarkLedger(b, "w", false) }
func BenchmarkLedgerWitnessParallel(b *testing.B) { benchmarkLedger(b, "w", true) }

// Guards against a witness that does not reduce the number of unknown outcomes
// after an owner was killed with requests in flight. It logs the outcomes. A
// request is queued for up to 20 ms and then runs at an endpoint for up to 18
// ms; the owner is killed after 15 ms.
func TestKilledOwner(t *testing.T) {
	const requests = 200
	unknown := map[model.InstanceID]int{}
	for _, witness := range []model.InstanceID{"", "w"} {
		n := newLoopback()
		n.start(t, "w", "")
		b := n.start(t, "b", "")
		a := n.start(t, "a", witness)
		keys := make([]string, requests)
		var ran [requests]atomic.Bool
		var killed atomic.Bool
		var wg sync.WaitGroup
		for i := range requests {
			keys[i] = fmt.Sprint(a.Prefix(), i)
			wg.Go(func() {
				claim, _, err := a.Begin(context.Background(), keys[i], 1)
				if err != nil {
					t.Error(err)
					return
				}
				time.Sleep(time.Duration(i%20) * time.Millisecond)
				if killed.Load() || claim.Intent(context.Background()) != nil || killed.Load() {
					return
				}
				ran[i].Store(true)
				time.Sleep(time.Duration(i%7) * 3 * time.Millisecond)
				if !killed.Load() {
					claim.Finish(model.OutcomeAnswered, benchResponse)
				}
			})
		}
		time.Sleep(15 * time.Millisecond)
		killed.Store(true)
		n.stop("a")
		counts := map[model.Outcome]int{}
		for i, key := range keys {
			_, res, err := b.Begin(context.Background(), key, 1)
			outcome := model.OutcomeUnknown
			if err == nil && res != nil {
				outcome = res.Outcome
			}
			counts[outcome]++
			if outcome == model.OutcomeNotRun && ran[i].Load() {
				t.Errorf("request %d was reported as not run, but ran", i)
			}
		}
		wg.Wait()
		unknown[witness] = counts[model.OutcomeUnknown]
		t.Logf("witness %q: owner killed with %d requests: %v", witness, requests, counts)
	}
	if unknown["w"] >= unknown[""] {
		t.Errorf("%d unknown with a witness, %d without", unknown["w"], unknown[""])
	}
}
