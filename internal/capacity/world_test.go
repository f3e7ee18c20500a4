package capacity

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
	"jujubestile.example/jujubestile/internal/store"
)

// world is several instances with a store, a platform list and a network that
// lose, delay and reorder what they are given. Times are true times since the
// start of the world.
type world struct {
	tb failer
	// rt draws what the network does, or is nil for a network without faults.
	rt       *rapid.T
	now      time.Duration
	nodes    []*node
	value    []byte
	revision store.Revision
	down     bool
	events   []event
	requests []*request
	caps     map[model.Service]int
	// gone are instances that the platform dropped, by when.
	gone map[model.InstanceID]time.Duration
	// hold is how long requests run in a greedy world, or 0.
	hold time.Duration
}

// failer is a test that can fail.
type failer interface {
	Fatalf(format string, args ...any)
}

// node is one instance. Its clock starts at a value of its own and stands
// still in some pauses.
type node struct {
	id          model.InstanceID
	region      model.Region
	state       *State
	incarnation model.Incarnation
	offset      time.Duration
	frozen      time.Duration
	pausedUntil time.Duration
	crashed     bool
	slots       []*request
}

type event struct {
	at  time.Duration
	run func()
}

// request is one request in flight. It runs until it is released or its
// deadline has passed, also if its instance crashes.
type request struct {
	node  *node
	slot  *Slot
	key   Key
	end   time.Duration
	ended bool
}

var simEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newWorld(tb failer, rt *rapid.T, home, remote int, caps map[model.Service]int) *world {
	w := &world{tb: tb, rt: rt, caps: caps, gone: map[model.InstanceID]time.Duration{}}
	for i := range home + remote {
		n := &node{id: model.InstanceID(fmt.Sprint("i", i)), region: "a", offset: time.Duration(i) * 977 * time.Hour}
		if i >= home {
			n.region = "b"
		}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	return w
}

// clock returns the reading of the instance's monotonic clock.
func (w *world) clock(n *node) time.Time {
	return simEpoch.Add(w.now + n.offset - n.frozen)
}

func (w *world) start(n *node) {
	n.incarnation++
	n.crashed, n.pausedUntil, n.slots = false, 0, nil
	n.state = New(w.clock(n), Config{Self: n.id, Incarnation: n.incarnation, Region: n.region, Rand: rand.New(rand.NewPCG(1, uint64(n.incarnation)))})
	n.state.clk.wall = func(time.Time) time.Time { return simEpoch.Add(w.now + n.offset) }
	n.state.clk.lastWall = n.state.clk.wall(time.Time{})
	w.setRules(n)
	w.introduce(n)
}

func (w *world) setRules(n *node) {
	set := &rules.Set{Capacity: map[Key]int{}}
	for svc, c := range w.caps {
		set.Capacity[Key{Region: "a", Service: svc}] = c
	}
	n.state.SetRules(w.clock(n), set)
}

// introduce tells the instance of all others.
func (w *world) introduce(n *node) {
	var peers []Peer
	var home []model.InstanceID
	for _, o := range w.nodes {
		peers = append(peers, Peer{ID: o.id, Region: o.region})
		if o.region == n.region {
			home = append(home, o.id)
		}
	}
	n.state.SetPeers(peers)
	n.state.SetMembers(w.clock(n), home)
}

func (w *world) running(n *node) bool {
	return !n.crashed && w.now >= n.pausedUntil
}

// later runs f after a delay of the network unless the message is lost.
func (w *world) later(f func()) {
	if w.rt == nil {
		w.at(5*time.Millisecond, f)
		return
	}
	switch rapid.IntRange(0, 9).Draw(w.rt, "network") {
	case 0:
	case 1:
		w.at(time.Duration(rapid.IntRange(0, 12000).Draw(w.rt, "late ms"))*time.Millisecond, f)
	default:
		w.at(5*time.Millisecond, f)
	}
}

func (w *world) at(after time.Duration, f func()) {
	w.events = append(w.events, event{w.now + after, f})
}

// advance lets time pass. Running instances tick, messages arrive.
func (w *world) advance(d time.Duration) {
	end := w.now + d
	for w.now < end {
		w.now = min(end, w.now+500*time.Millisecond)
		due := w.events
		w.events = nil
		slices.SortStableFunc(due, func(a, b event) int { return int(a.at - b.at) })
		for _, e := range due {
			if e.at <= w.now {
				e.run()
			} else {
				w.events = append(w.events, e)
			}
		}
		for _, n := range w.nodes {
			if w.running(n) {
				n.state.Tick(w.clock(n))
				w.fill(n)
			}
		}
		w.check()
	}
}

// deliver runs f at a node, when it runs again if it is paused.
func (w *world) deliver(n *node, inc model.Incarnation, f func()) {
	if n.crashed || n.incarnation != inc {
		return
	}
	if !w.running(n) {
		w.events = append(w.events, event{n.pausedUntil, func() { w.deliver(n, inc, f) }})
		return
	}
	f()
}

func (w *world) plan(n *node) {
	asks, returns := n.state.Plan(w.clock(n))
	inc := n.incarnation
	for _, a := range asks {
		to := w.node(a.To)
		answer := func(r *BorrowReply) {
			w.deliver(n, inc, func() { n.state.HandleBorrowReply(w.clock(n), a, r) })
		}
		w.at(time.Second, func() { answer(nil) })
		w.later(func() {
			w.deliver(to, to.incarnation, func() {
				reply := to.state.Lend(w.clock(to), &a.Args)
				w.later(func() { answer(&reply) })
			})
		})
	}
	for _, r := range returns {
		to := w.node(r.To)
		w.later(func() {
			w.deliver(to, to.incarnation, func() { to.state.HandleReturn(w.clock(to), &r.Args) })
		})
	}
}

func (w *world) node(id model.InstanceID) *node {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.id == id })
	return w.nodes[i]
}

func (w *world) take(n *node, svc model.Service, hold time.Duration) *request {
	k := Key{Region: "a", Service: svc}
	now := w.clock(n)
	slot := n.state.Take(now, k, model.PriorityNormal, now.Add(hold))
	if slot == nil {
		n.state.ReportUnmet(now, k, model.PriorityNormal, false)
		return nil
	}
	r := &request{node: n, slot: slot, key: k, end: w.now + hold}
	n.slots = append(n.slots, r)
	w.requests = append(w.requests, r)
	return r
}

// fill takes all slots that the instance can have, if the world is greedy, so
// that one slot too many shows at once.
func (w *world) fill(n *node) {
	if w.hold == 0 {
		return
	}
	for _, svc := range simServices {
		for w.take(n, svc, w.hold) != nil {
			w.release(n, len(n.slots)-1, true)
		}
	}
}

// release ends a request, at once or when its deadline has passed.
func (w *world) release(n *node, i int, lost bool) {
	r := n.slots[i]
	n.slots = slices.Delete(n.slots, i, i+1)
	if lost {
		r.slot.ReleaseAt(w.clock(n).Add(r.end - w.now))
		return
	}
	r.slot.Release()
	r.ended = true
}

func (w *world) read(n *node) {
	if w.down {
		return
	}
	began := n.state.ReadClock(w.clock(n))
	kv := store.KeyValue{Value: w.value, Revision: w.revision}
	_ = n.state.ApplyRecord(w.clock(n), began, kv)
}

// write tries the change that the instance wants. how says what becomes of
// the write and its response.
func (w *world) write(n *node, how string) {
	c := n.state.Propose(w.clock(n))
	if c == nil {
		return
	}
	value, _ := c.Record.Marshal()
	swap := func() bool {
		if c.Expected != w.revision {
			return false
		}
		w.value, w.revision = value, w.revision+1
		return true
	}
	began := n.state.ReadClock(w.clock(n))
	switch {
	case how == "late":
		w.at(3*time.Second, func() { swap() })
	case w.down || how == "failed":
	default:
		swap()
		if how != "lost" {
			_ = n.state.ApplyRecord(w.clock(n), began, store.KeyValue{Value: w.value, Revision: w.revision})
		}
	}
}

// list gives the instance the platform's list as of lag ago.
func (w *world) list(n *node, lag time.Duration) {
	ids := map[model.InstanceID]bool{}
	for _, o := range w.nodes {
		since, gone := w.gone[o.id]
		ids[o.id] = !gone || w.now-lag < since
	}
	now := n.state.ReadClock(w.clock(n))
	n.state.ApplyListing(w.clock(n), now, ids)
}

func (w *world) record() *Record {
	r, err := ParseRecord(w.value)
	if err != nil {
		w.tb.Fatalf("stored record: %v", err)
	}
	return r
}

// check compares with the naive count: all requests in flight against the
// slots that have owners.
func (w *world) check() {
	used := map[model.Service]int{}
	w.requests = slices.DeleteFunc(w.requests, func(r *request) bool { return r.ended || w.now >= r.end })
	for _, r := range w.requests {
		used[r.key.Service]++
	}
	for svc, n := range used {
		if total := w.owned(svc); n > total {
			w.tb.Fatalf("at %v: %d requests of %s in flight, %d slots owned\n%s", w.now, n, svc, total, w.value)
		}
	}
	w.checkLinks()
}

func (w *world) checkLinks() {
	parts := 0.0
	for _, n := range w.nodes {
		if w.running(n) && n.region == "a" && n.state.Admitting(w.clock(n)) {
			parts += n.state.LinkShare(w.clock(n))
		}
	}
	if parts > 1+1e-9 {
		w.tb.Fatalf("at %v: link parts sum to %v", w.now, parts)
	}
}
