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

// simFleet is a simulated fleet. It must run inside a testing/synctest bubble.
type simFleet struct {
	mu         sync.Mutex
	rng        *rand.Rand
	lossy      bool
	tinyTables bool
	nodes      map[model.InstanceID]*node
	cutUntil   map[[2]model.InstanceID]time.Time
	successor  map[source]model.InstanceID
	runs       map[string]int
	reported   map[string][]string
	store      *simStore
	wg         sync.WaitGroup
}

// node is one incarnation of an instance.
type node struct {
	f           *simFleet
	id          model.InstanceID
	inc         model.Incarnation
	l           *Ledger
	dead        bool
	pausedUntil time.Time
}

// newSimFleet starts the named instances. With tinyTables set, their tables of
// records are nearly always full.
func newSimFleet(seed uint64, tinyTables bool, names ...model.InstanceID) *simFleet {
	f := &simFleet{
		tinyTables: tinyTables,
		rng:        rand.New(rand.NewPCG(seed, 1)), lossy: true, nodes: map[model.InstanceID]*node{},
		cutUntil: map[[2]model.InstanceID]time.Time{}, successor: map[source]model.InstanceID{},
		runs: map[string]int{}, reported: map[string][]string{}, store: &simStore{values: map[string]store.KeyValue{}},
	}
	f.store.f = f
	for _, id := range names {
		f.start(id)
	}
	return f
}

func (f *simFleet) start(id model.InstanceID) {
	time.Sleep(time.Nanosecond)
	n := &node{f: f, id: id, inc: model.Incarnation(time.Now().UnixNano())}
	n.l = New(Config{Self: id, Inc: n.inc, Peers: n, Members: n, Store: f.store})
	if f.tinyTables {
		n.l.witnessed.max, n.l.held.max = 3, 8
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.nodes[id]; old != nil {
		old.dead = true
	}
	f.nodes[id] = n
}

func (f *simFleet) chance(p float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lossy && f.rng.Float64() < p
}

func (f *simFleet) delay(limit time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rng.Int64N(int64(limit)))
}

func (f *simFleet) node(id model.InstanceID) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[id]
}

// waitWhilePaused waits while the process is paused and then reports whether it
// is alive.
func (n *node) waitWhilePaused() bool {
	for {
		n.f.mu.Lock()
		wait, dead := time.Until(n.pausedUntil), n.dead
		n.f.mu.Unlock()
		if dead || wait <= 0 {
			return !dead
		}
		time.Sleep(wait)
	}
}

func (n *node) Witness(exclude []model.InstanceID) (model.InstanceID, model.Incarnation, bool) {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	if n.f.rng.Float64() < 0.2 {
		return "", 0, false
	}
	for _, id := range instanceIDs {
		other := n.f.nodes[id]
		if id == n.id || slices.Contains(exclude, id) || other == nil || other.dead || n.f.rng.Float64() < 0.5 {
			continue
		}
		return id, other.inc, true
	}
	return "", 0, false
}

func (n *node) Successor(id model.InstanceID, inc model.Incarnation) (model.InstanceID, bool) {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	s, ok := n.f.successor[source{id, inc}]
	return s, ok
}

// KnownEpoch returns true for the epochs below 1000 of every incarnation that
// has run.
func (n *node) KnownEpoch(id model.InstanceID, inc model.Incarnation, epoch uint64) bool {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	other := n.f.nodes[id]
	return other != nil && inc <= other.inc && epoch < 1000
}

func (f *simFleet) isCut(a, b model.InstanceID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.cutUntil[[2]model.InstanceID{a, b}])
}

// Call delivers a message. The message may be lost, delayed beyond the caller's
// timeout or duplicated, and the reply may be lost.
func (n *node) Call(ctx context.Context, to model.InstanceID, method string, args, reply any) error {
	if !n.waitWhilePaused() || n.f.isCut(n.id, to) || n.f.chance(0.08) {
		return peer.ErrUnreachable
	}
	done := make(chan any, 2)
	deliver := func() {
		defer n.f.wg.Done()
		out, ok := n.f.serve(to, method, gobRoundTrip(args), reply)
		if ok && !n.f.chance(0.08) {
			done <- out
		}
	}
	n.f.wg.Add(1)
	go deliver()
	if n.f.chance(0.1) {
		n.f.wg.Add(1)
		go deliver()
	}
	select {
	case out := <-done:
		if out == nil || !n.waitWhilePaused() {
			return peer.ErrUnreachable
		}
		reflect.ValueOf(reply).Elem().Set(reflect.ValueOf(out).Elem())
		return nil
	case <-ctx.Done():
		return peer.ErrUnreachable
	}
}

func (f *simFleet) serve(to model.InstanceID, method string, args, reply any) (any, bool) {
	limit := 3 * time.Millisecond
	if f.chance(0.1) {
		limit = 4 * time.Second
	}
	time.Sleep(f.delay(limit))
	n := f.node(to)
	if n == nil || !n.waitWhilePaused() {
		return nil, true
	}
	out := reflect.New(reflect.TypeOf(reply).Elem())
	name := strings.TrimPrefix(method, ServiceName+".")
	res := reflect.ValueOf(n.l.Service()).MethodByName(name).Call([]reflect.Value{reflect.ValueOf(args), out})
	if !res[0].IsNil() {
		return nil, true
	}
	return gobRoundTrip(out.Interface()), true
}

// gobRoundTrip encodes and decodes a message with gob, as net/rpc does.
func gobRoundTrip(v any) any {
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

// request handles a caller's request at an instance, as the packages entry and
// forward do.
func (f *simFleet) request(to model.InstanceID, key string, fp uint64) {
	defer f.wg.Done()
	n := f.node(to)
	if !n.waitWhilePaused() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	claim, res, err := n.l.Begin(ctx, key, fp)
	outcome := ""
	switch {
	case claim != nil:
		outcome = f.run(n, ctx, claim, key)
	case res != nil && res.BodyGone:
		outcome = string(res.Outcome)
	case res != nil:
		outcome = string(res.Outcome) + string(res.Body)
	case err != nil:
		outcome = err.Error()
	}
	f.report(n, key, outcome)
}

// report records an outcome that was reported to a caller. A dead process reports
// none.
func (f *simFleet) report(n *node, key, outcome string) {
	if !n.waitWhilePaused() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reported[key] = append(f.reported[key], outcome)
}

func (f *simFleet) run(n *node, ctx context.Context, c *Claim, key string) string {
	if f.chance(0.3) {
		time.Sleep(f.delay(3 * time.Second))
	}
	if f.chance(0.1) {
		return string(c.Finish(model.OutcomeNotRun, nil))
	}
	if err := c.Intent(ctx); err != nil {
		return string(c.Finish(model.OutcomeNotRun, nil))
	}
	if !n.waitWhilePaused() {
		return ""
	}
	body := f.execute(key)
	time.Sleep(f.delay(20 * time.Millisecond))
	if !n.waitWhilePaused() {
		return ""
	}
	if f.chance(0.1) {
		return string(c.Finish(model.OutcomeUnknown, nil))
	}
	o := c.Finish(model.OutcomeAnswered, &Response{Status: 201, Body: []byte(body)})
	return string(o) + body
}

func (f *simFleet) execute(key string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[key]++
	return fmt.Sprintf(" run %d", f.runs[key])
}

func (f *simFleet) lookup(at model.InstanceID, key string) {
	defer f.wg.Done()
	n := f.node(at)
	if !n.waitWhilePaused() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if res, err := n.l.Lookup(ctx, key); err == nil {
		f.report(n, key, string(res.Outcome)+string(res.Body))
	}
}

// violations compares the outcomes reported to callers with the executions.
func (f *simFleet) violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for key, seen := range f.reported {
		answered := ""
		for _, s := range seen {
			if s == "not-run" && f.runs[key] > 0 {
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
	for key, n := range f.runs {
		if n > 1 {
			out = append(out, fmt.Sprintf("ran %d times: %s", n, key))
		}
	}
	return out
}

// simStore is a store with outages and lost responses. Leases never expire.
type simStore struct {
	store.Store
	f         *simFleet
	values    map[string]store.KeyValue
	rev       store.Revision
	downUntil time.Time
	writes    int
}

func (s *simStore) lost() bool { return s.f.chance(0.15) }

func (s *simStore) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	if s.lost() {
		return 0, store.ErrUnavailable
	}
	return 1, nil
}

func (s *simStore) Get(_ context.Context, key string) (store.KeyValue, error) {
	lost := s.lost()
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	if lost || time.Now().Before(s.downUntil) {
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
	time.Sleep(s.f.delay(30 * time.Millisecond))
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.writes++
	if time.Now().Before(s.downUntil) {
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
