package ledger

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/peer"
	"jujubestile.example/jujubestile/internal/store"
)

// world is a simulated fleet. It runs inside a testing/synctest bubble.
type world struct {
	mu        sync.Mutex
	rng       *rand.Rand
	lossy     bool
	small     bool
	nodes     map[model.InstanceID]*node
	cut       map[[2]model.InstanceID]time.Time
	successor map[source]model.InstanceID
	runs      map[string]int
	seen      map[string][]string
	store     *simStore
	wg        sync.WaitGroup
}

// node is one incarnation of an instance.
type node struct {
	w      *world
	id     model.InstanceID
	inc    model.Incarnation
	l      *Ledger
	dead   bool
	paused time.Time
}

// newWorld starts the named instances. In a small world their tables are
// nearly always full.
func newWorld(seed uint64, small bool, names ...model.InstanceID) *world {
	w := &world{
		small: small,
		rng:   rand.New(rand.NewPCG(seed, 1)), lossy: true, nodes: map[model.InstanceID]*node{},
		cut: map[[2]model.InstanceID]time.Time{}, successor: map[source]model.InstanceID{},
		runs: map[string]int{}, seen: map[string][]string{}, store: &simStore{values: map[string]store.KeyValue{}},
	}
	w.store.w = w
	for _, id := range names {
		w.start(id)
	}
	return w
}

func (w *world) start(id model.InstanceID) {
	time.Sleep(time.Nanosecond)
	n := &node{w: w, id: id, inc: model.Incarnation(time.Now().UnixNano())}
	n.l = New(Config{Self: id, Inc: n.inc, Peers: n, Members: n, Store: w.store})
	if w.small {
		n.l.register.max, n.l.book.max = 3, 8
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if old := w.nodes[id]; old != nil {
		old.dead = true
	}
	w.nodes[id] = n
}

func (w *world) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lossy && w.rng.Float64() < p
}

func (w *world) delay(most time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.rng.Int64N(int64(most)))
}

func (w *world) node(id model.InstanceID) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[id]
}

// gate waits while the process is paused and reports whether it is alive.
func (n *node) gate() bool {
	for {
		n.w.mu.Lock()
		wait, dead := time.Until(n.paused), n.dead
		n.w.mu.Unlock()
		if dead || wait <= 0 {
			return !dead
		}
		time.Sleep(wait)
	}
}

func (n *node) Witness(exclude []model.InstanceID) (model.InstanceID, model.Incarnation, bool) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	if n.w.rng.Float64() < 0.2 {
		return "", 0, false
	}
	for _, id := range names {
		other := n.w.nodes[id]
		if id == n.id || slices.Contains(exclude, id) || other == nil || other.dead || n.w.rng.Float64() < 0.5 {
			continue
		}
		return id, other.inc, true
	}
	return "", 0, false
}

func (n *node) Successor(id model.InstanceID, inc model.Incarnation) (model.InstanceID, bool) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	s, ok := n.w.successor[source{id, inc}]
	return s, ok
}

// KnownEpoch knows the incarnations that ever ran, and their epochs.
func (n *node) KnownEpoch(id model.InstanceID, inc model.Incarnation, epoch uint64) bool {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	other := n.w.nodes[id]
	return other != nil && inc <= other.inc && epoch < 1000
}

func (w *world) isCut(a, b model.InstanceID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.cut[[2]model.InstanceID{a, b}])
}

// Call delivers a message that may be lost, delayed beyond the caller's
// patience, or duplicated, and whose reply may be lost.
func (n *node) Call(ctx context.Context, to model.InstanceID, method string, args, reply any) error {
	if !n.gate() || n.w.isCut(n.id, to) || n.w.chance(0.08) {
		return peer.ErrUnreachable
	}
	done := make(chan any, 2)
	deliver := func() {
		defer n.w.wg.Done()
		out, ok := n.w.serve(to, method, copyOf(args), reply)
		if ok && !n.w.chance(0.08) {
			done <- out
		}
	}
	n.w.wg.Add(1)
	go deliver()
	if n.w.chance(0.1) {
		n.w.wg.Add(1)
		go deliver()
	}
	select {
	case out := <-done:
		if out == nil || !n.gate() {
			return peer.ErrUnreachable
		}
		reflect.ValueOf(reply).Elem().Set(reflect.ValueOf(out).Elem())
		return nil
	case <-ctx.Done():
		return peer.ErrUnreachable
	}
}

func (w *world) serve(to model.InstanceID, method string, args, reply any) (any, bool) {
	most := 3 * time.Millisecond
	if w.chance(0.1) {
		most = 4 * time.Second
	}
	time.Sleep(w.delay(most))
	n := w.node(to)
	if n == nil || !n.gate() {
		return nil, true
	}
	out := reflect.New(reflect.TypeOf(reply).Elem())
	name := strings.TrimPrefix(method, ServiceName+".")
	res := reflect.ValueOf(n.l.Service()).MethodByName(name).Call([]reflect.Value{reflect.ValueOf(args), out})
	if !res[0].IsNil() {
		return nil, true
	}
	return copyOf(out.Interface()), true
}

// copyOf sends a message through gob, as net/rpc does.
func copyOf(v any) any {
	var buf bytes.Buffer
	out := reflect.New(reflect.TypeOf(v).Elem())
	if err := gob.NewEncoder(&buf).EncodeValue(reflect.ValueOf(v)); err != nil {
		panic(err)
	}
	if err := gob.NewDecoder(&buf).DecodeValue(out); err != nil {
		panic(err)
	}
	return out.Interface()
}

// request handles a caller's request at a node as entry and forward do.
func (w *world) request(to model.InstanceID, key string, fp uint64) {
	defer w.wg.Done()
	n := w.node(to)
	if !n.gate() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	claim, res, err := n.l.Begin(ctx, key, fp)
	outcome := ""
	switch {
	case claim != nil:
		outcome = w.run(n, ctx, claim, key)
	case res != nil && res.BodyGone:
		outcome = string(res.Outcome)
	case res != nil:
		outcome = string(res.Outcome) + string(res.Body)
	case err != nil:
		outcome = err.Error()
	}
	w.observe(n, key, outcome)
}

// observe notes what a caller was told. A dead process answers no one.
func (w *world) observe(n *node, key, outcome string) {
	if !n.gate() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen[key] = append(w.seen[key], outcome)
}

func (w *world) run(n *node, ctx context.Context, c *Claim, key string) string {
	if w.chance(0.3) {
		time.Sleep(w.delay(3 * time.Second))
	}
	if w.chance(0.1) {
		return string(c.Finish(model.OutcomeNotRun, nil))
	}
	if err := c.Intent(ctx); err != nil {
		return string(c.Finish(model.OutcomeNotRun, nil))
	}
	if !n.gate() {
		return ""
	}
	body := w.execute(key)
	time.Sleep(w.delay(20 * time.Millisecond))
	if !n.gate() {
		return ""
	}
	if w.chance(0.1) {
		return string(c.Finish(model.OutcomeUnknown, nil))
	}
	o := c.Finish(model.OutcomeAnswered, &Response{Status: 201, Body: []byte(body)})
	return string(o) + body
}

func (w *world) execute(key string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[key]++
	return fmt.Sprintf(" run %d", w.runs[key])
}

func (w *world) lookup(at model.InstanceID, key string) {
	defer w.wg.Done()
	n := w.node(at)
	if !n.gate() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if res, err := n.l.Lookup(ctx, key); err == nil {
		w.observe(n, key, string(res.Outcome)+string(res.Body))
	}
}

// violations compares what callers were told with what ran.
func (w *world) violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for key, seen := range w.seen {
		answered := ""
		for _, s := range seen {
			if s == "not-run" && w.runs[key] > 0 {
				out = append(out, "reported not-run but ran: "+key)
			}
			if strings.HasPrefix(s, "answered ") && answered != "" && s != answered {
				out = append(out, "recorded outcome changed: "+key)
			}
			if strings.HasPrefix(s, "answered ") {
				answered = s
			}
		}
	}
	for key, n := range w.runs {
		if n > 1 {
			out = append(out, fmt.Sprintf("ran %d times: %s", n, key))
		}
	}
	return out
}

// simStore is a store with outages and lost responses. Leases are not
// simulated except for their end.
type simStore struct {
	store.Store
	w      *world
	values map[string]store.KeyValue
	rev    store.Revision
	down   time.Time
	writes int
}

func (s *simStore) lost() bool { return s.w.chance(0.15) }

func (s *simStore) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	if s.lost() {
		return 0, store.ErrUnavailable
	}
	return 1, nil
}

func (s *simStore) Get(_ context.Context, key string) (store.KeyValue, error) {
	lost := s.lost()
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	if lost || time.Now().Before(s.down) {
		return store.KeyValue{}, store.ErrUnavailable
	}
	kv, ok := s.values[key]
	if !ok {
		return kv, store.ErrNotFound
	}
	return kv, nil
}

func (s *simStore) CompareAndSwap(_ context.Context, key string, expected store.Revision, value []byte, _ store.LeaseID) (store.SwapResult, error) {
	lost := s.lost()
	time.Sleep(s.w.delay(30 * time.Millisecond))
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	s.writes++
	if time.Now().Before(s.down) {
		return store.SwapResult{}, store.ErrUnavailable
	}
	swapped := s.values[key].Revision == expected
	if swapped {
		s.rev++
		s.values[key] = store.KeyValue{Key: key, Value: value, Revision: s.rev}
	}
	if lost {
		return store.SwapResult{}, store.ErrUnavailable
	}
	return store.SwapResult{Swapped: swapped, Current: s.values[key]}, nil
}
