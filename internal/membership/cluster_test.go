package membership

import (
	"context"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"jujubestile.example/jujubestile/internal/instancelist"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/peer"
)

// cluster runs many nodes in one process over an in-memory network, with the
// fake clock of a synctest bubble. It is the instancelist.Source of its nodes.
type cluster struct {
	t     *testing.T
	ctx   context.Context
	mu    sync.RWMutex
	nodes map[model.InstanceID]*Node
	stops map[model.InstanceID]func()
	// list is the platform's instance list.
	list []model.EntryInstance
	// blocked reports whether calls from one instance to another get no reply.
	blocked  func(from, to model.InstanceID) bool
	started  int
	bytes    atomic.Int64
	largest  atomic.Int64
	counting atomic.Bool
	streams  map[string]*countingStream
}

type countingStream struct {
	mu    sync.Mutex
	enc   *gob.Encoder
	bytes *atomic.Int64
	total int64
}

func (c *countingStream) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	c.total += int64(len(b))
	return len(b), nil
}

// callHeader has about the encoded size of the request header of package peer.
type callHeader struct {
	Method    string
	Seq       uint64
	TimeoutMS uint32
}

func newCluster(t *testing.T, ctx context.Context) *cluster {
	return &cluster{
		t: t, ctx: ctx,
		nodes:   map[model.InstanceID]*Node{},
		stops:   map[model.InstanceID]func(){},
		streams: map[string]*countingStream{},
		blocked: func(_, _ model.InstanceID) bool { return false },
	}
}

func (c *cluster) List(context.Context) (instancelist.Listing, error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return instancelist.Listing{Entries: c.list}, nil
}

// add starts n instances, distributed over 3 regions with 2 failure domains each.
func (c *cluster) add(n int, topics func() []Topic) {
	for range n {
		i := c.started
		c.started++
		region := fmt.Sprintf("r%d", i%3)
		self := Member{
			ID:        model.InstanceID(fmt.Sprintf("%s-%d", region, i)),
			Region:    model.Region(region),
			Domain:    model.Domain(fmt.Sprintf("%s-%c", region, 'a'+i/3%2)),
			EntryAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
			PeerAddr:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 81),
			KeyPrefix: fmt.Sprintf("%s-%d.%d.1.w.1", region, i, time.Now().UnixNano()),
		}
		c.mu.Lock()
		c.list = append(c.list, model.EntryInstance{ID: self.ID, Region: self.Region, Domain: self.Domain})
		c.mu.Unlock()
		c.start(self, topics)
	}
}

func (c *cluster) start(self Member, topics func() []Topic) *Node {
	self.Incarnation = model.Incarnation(time.Now().UnixNano())
	opts := Options{Self: self, Caller: &transport{c, self.ID}, Source: c, Rand: rand.New(rand.NewPCG(1, uint64(c.started)))}
	if topics != nil {
		opts.Topics = topics()
	}
	n := NewNode(opts)
	ctx, cancel := context.WithCancel(c.ctx)
	done := make(chan struct{})
	go func() { n.Run(ctx); close(done) }()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[self.ID] = n
	c.stops[self.ID] = func() {
		c.mu.Lock()
		delete(c.nodes, self.ID)
		c.mu.Unlock()
		cancel()
		<-done
	}
	return n
}

func (c *cluster) setBlocked(f func(from, to model.InstanceID) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = f
}

// transport is the peer.Caller of one node.
type transport struct {
	c    *cluster
	from model.InstanceID
}

const latency = 2 * time.Millisecond

func (w *transport) Call(ctx context.Context, to model.InstanceID, method string, args, reply any) error {
	w.c.mu.RLock()
	target, blocked := w.c.nodes[to], w.c.blocked(w.from, to)
	w.c.mu.RUnlock()
	sleep(ctx, latency)
	if blocked {
		<-ctx.Done()
	}
	if ctx.Err() != nil || target == nil {
		return peer.ErrUnreachable
	}
	w.c.countSent(string(w.from)+">"+string(to), method, args)
	switch args := args.(type) {
	case *ExchangeArgs:
		copied := *args
		copied.ctx = ctx
		var out ExchangeReply
		if err := target.Exchange(&copied, &out); err != nil {
			return err
		}
		*reply.(*ExchangeReply) = out
	case *PingArgs:
		copied := *args
		copied.ctx = ctx
		if err := target.Ping(&copied, reply.(*PingReply)); err != nil {
			return err
		}
	}
	w.c.mu.RLock()
	blocked = w.c.blocked(w.from, to)
	stopped := w.c.nodes[to] != target
	w.c.mu.RUnlock()
	if stopped {
		return peer.ErrUnreachable
	}
	sleep(ctx, latency)
	if blocked {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return peer.ErrUnreachable
	}
	w.c.countSent(string(w.from)+"<"+string(to), "", reply)
	return nil
}

func (c *cluster) countSent(key, method string, body any) {
	if !c.counting.Load() {
		return
	}
	c.mu.Lock()
	s := c.streams[key]
	if s == nil {
		s = &countingStream{bytes: &c.bytes}
		s.enc = gob.NewEncoder(s)
		c.streams[key] = s
	}
	c.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.total
	c.bytes.Add(4)
	_ = s.enc.Encode(callHeader{method, 1000, 5000})
	_ = s.enc.Encode(body)
	for size := s.total - before; ; {
		largest := c.largest.Load()
		if size <= largest || c.largest.CompareAndSwap(largest, size) {
			return
		}
	}
}

// waitUntil waits until ok returns true for every node and returns how long that
// took. The test fails if it takes longer than the limit.
func (c *cluster) waitUntil(what string, limit time.Duration, ok func(*Node) bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for {
		missing := 0
		for _, n := range c.nodes {
			if !ok(n) {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(start)
		}
		if time.Since(start) > limit {
			c.t.Fatalf("%s: condition not met at %d of %d nodes after %v", what, missing, len(c.nodes), limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// alive returns the number of members that a node shows as alive.
func alive(n *Node) int {
	count := 0
	for _, m := range n.View().Members {
		if m.State == StateAlive {
			count++
		}
	}
	return count
}

// state returns the state that a node shows for a member; an unknown one is dead.
func state(n *Node, id model.InstanceID) State {
	m, ok := n.View().Get(id)
	if !ok {
		return StateDead
	}
	return m.State
}

// simulate runs a test in a synctest bubble with n instances that have joined.
func simulate(t *testing.T, n int, topics func() []Topic, test func(*cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := newCluster(t, ctx)
		c.add(n, topics)
		defer func() {
			cancel()
			for _, stop := range c.stops {
				stop()
			}
		}()
		took := c.waitUntil("join", 30*time.Second, func(x *Node) bool { return alive(x) == n })
		t.Logf("%d instances know each other after %v", n, took)
		time.Sleep(15 * time.Second)
		test(c)
	})
}
