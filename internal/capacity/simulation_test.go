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

// simulation runs several instances with a store, a platform list and a
// network that lose, delay and reorder what they are given. Times are real
// times since the start of the simulation.
type simulation struct {
	tb fataler
	// rt draws the faults of the network. It is nil for a network without
	// faults.
	rt        *rapid.T
	now       time.Duration
	instances []*simInstance
	value     []byte
	revision  store.Revision
	era       model.Era
	// copies are the latest states of the store, if it can be restored.
	copies   []store.KeyValue
	down     bool
	events   []event
	requests []*request
	caps     map[model.Service]int
	// unlisted holds the instances that are missing from the platform's list,
	// and since when.
	unlisted map[model.InstanceID]time.Duration
	// fillHold is how long requests run that take all free slots (see fill),
	// or 0 for no such requests.
	fillHold time.Duration
}

// fataler is the part of testing.TB and rapid.T that a simulation uses.
type fataler interface {
	Fatalf(format string, args ...any)
}

// simInstance is a simulated instance. Its monotonic clock has an offset of its
// own and stops during some pauses.
type simInstance struct {
	id          model.InstanceID
	region      model.Region
	state       *State
	incarnation model.Incarnation
	offset      time.Duration
	// frozen is how long the monotonic clock has stood still.
	frozen      time.Duration
	pausedUntil time.Duration
	crashed     bool
	// slots are the requests that hold a slot and have not been released.
	slots []*request
}

// event is an action at a later time.
type event struct {
	at  time.Duration
	run func()
}

// request is a request in flight. It runs until it is released or its deadline
// has passed, even if its instance crashes.
type request struct {
	inst  *simInstance
	slot  *Slot
	key   Key
	end   time.Duration
	ended bool
}

var simEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newSimulation starts home instances in region a, which has all the slots, and
// remote instances in region b.
func newSimulation(tb fataler, rt *rapid.T, home, remote int, caps map[model.Service]int) *simulation {
	sim := &simulation{tb: tb, rt: rt, caps: caps, unlisted: map[model.InstanceID]time.Duration{}}
	for i := range home + remote {
		n := &simInstance{id: model.InstanceID(fmt.Sprint("i", i)), region: "a", offset: time.Duration(i) * 977 * time.Hour}
		if i >= home {
			n.region = "b"
		}
		sim.instances = append(sim.instances, n)
	}
	for _, n := range sim.instances {
		sim.start(n)
	}
	return sim
}

// clock returns a reading of the instance's monotonic clock.
func (sim *simulation) clock(n *simInstance) time.Time {
	return simEpoch.Add(sim.now + n.offset - n.frozen)
}

func (sim *simulation) start(n *simInstance) {
	n.incarnation++
	n.crashed, n.pausedUntil, n.slots = false, 0, nil
	n.state = New(sim.clock(n), Config{Self: n.id, Incarnation: n.incarnation, Region: n.region, Rand: rand.New(rand.NewPCG(1, uint64(n.incarnation)))})
	n.state.clk.wall = func(time.Time) time.Time { return simEpoch.Add(sim.now + n.offset) }
	n.state.clk.lastWall = n.state.clk.wall(time.Time{})
	sim.setRules(n)
	sim.setPeers(n)
}

func (sim *simulation) setRules(n *simInstance) {
	set := &rules.Set{Capacity: map[Key]int{}}
	for svc, c := range sim.caps {
		set.Capacity[Key{Region: "a", Service: svc}] = c
	}
	n.state.SetRules(sim.clock(n), set)
}

// setPeers tells the instance which other instances there are.
func (sim *simulation) setPeers(n *simInstance) {
	var peers []Peer
	var home []model.InstanceID
	for _, o := range sim.instances {
		peers = append(peers, Peer{ID: o.id, Region: o.region})
		if o.region == n.region {
			home = append(home, o.id)
		}
	}
	n.state.SetPeers(peers)
	n.state.SetMembers(sim.clock(n), home)
}

func (sim *simulation) running(n *simInstance) bool {
	return !n.crashed && sim.now >= n.pausedUntil
}

// send runs f after a network delay, or never if the message is lost.
func (sim *simulation) send(f func()) {
	if sim.rt == nil {
		sim.schedule(5*time.Millisecond, f)
		return
	}
	switch rapid.IntRange(0, 9).Draw(sim.rt, "network") {
	case 0:
	case 1:
		sim.schedule(time.Duration(rapid.IntRange(0, 12000).Draw(sim.rt, "late ms"))*time.Millisecond, f)
	default:
		sim.schedule(5*time.Millisecond, f)
	}
}

func (sim *simulation) schedule(after time.Duration, f func()) {
	sim.events = append(sim.events, event{sim.now + after, f})
}

// advance lets time pass in steps of 500 ms. In each step, due events run and
// the running instances tick.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now + d
	for sim.now < end {
		sim.now = min(end, sim.now+500*time.Millisecond)
		due := sim.events
		sim.events = nil
		slices.SortStableFunc(due, func(a, b event) int { return int(a.at - b.at) })
		for _, e := range due {
			if e.at <= sim.now {
				e.run()
			} else {
				sim.events = append(sim.events, e)
			}
		}
		for _, n := range sim.instances {
			if sim.running(n) {
				n.state.Tick(sim.clock(n))
				sim.fill(n)
			}
		}
		sim.check()
	}
}

// deliver runs f at an instance: at once, or after the pause if the instance
// is paused. A message for a crashed or restarted instance is lost.
func (sim *simulation) deliver(n *simInstance, inc model.Incarnation, f func()) {
	if n.crashed || n.incarnation != inc {
		return
	}
	if !sim.running(n) {
		sim.events = append(sim.events, event{n.pausedUntil, func() { sim.deliver(n, inc, f) }})
		return
	}
	f()
}

func (sim *simulation) plan(n *simInstance) {
	borrows, returns := n.state.Plan(sim.clock(n))
	inc := n.incarnation
	for _, b := range borrows {
		to := sim.instance(b.To)
		answer := func(r *BorrowReply) {
			sim.deliver(n, inc, func() { n.state.HandleBorrowReply(sim.clock(n), b, r) })
		}
		sim.schedule(time.Second, func() { answer(nil) })
		sim.send(func() {
			sim.deliver(to, to.incarnation, func() {
				reply := to.state.Lend(sim.clock(to), &b.Args)
				sim.send(func() { answer(&reply) })
			})
		})
	}
	for _, r := range returns {
		to := sim.instance(r.To)
		sim.send(func() {
			sim.deliver(to, to.incarnation, func() { to.state.HandleReturn(sim.clock(to), &r.Args) })
		})
	}
}

func (sim *simulation) instance(id model.InstanceID) *simInstance {
	i := slices.IndexFunc(sim.instances, func(n *simInstance) bool { return n.id == id })
	return sim.instances[i]
}

func (sim *simulation) take(n *simInstance, svc model.Service, hold time.Duration) *request {
	k := Key{Region: "a", Service: svc}
	now := sim.clock(n)
	slot := n.state.Take(now, k, model.PriorityNormal, now.Add(hold))
	if slot == nil {
		n.state.ReportUnmet(now, k, model.PriorityNormal, false)
		return nil
	}
	r := &request{inst: n, slot: slot, key: k, end: sim.now + hold}
	n.slots = append(n.slots, r)
	sim.requests = append(sim.requests, r)
	return r
}

// fill takes all slots that the instance can get, if fillHold is set, so that
// check sees at once if there are too many.
func (sim *simulation) fill(n *simInstance) {
	if sim.fillHold == 0 {
		return
	}
	for _, svc := range simServices {
		for sim.take(n, svc, sim.fillHold) != nil {
			sim.release(n, len(n.slots)-1, true)
		}
	}
}

// release ends a request: at once, or at its deadline if its response is lost.
func (sim *simulation) release(n *simInstance, i int, lost bool) {
	r := n.slots[i]
	n.slots = slices.Delete(n.slots, i, i+1)
	if lost {
		r.slot.ReleaseAt(sim.clock(n).Add(r.end - sim.now))
		return
	}
	r.slot.Release()
	r.ended = true
}

func (sim *simulation) read(n *simInstance) {
	if sim.down || n.region != "a" {
		return
	}
	began := n.state.ReadClock(sim.clock(n))
	_ = n.state.ApplyRecord(sim.clock(n), began, sim.stored())
}

func (sim *simulation) stored() store.KeyValue {
	return store.KeyValue{Value: sim.value, Revision: sim.revision, Era: sim.era}
}

// restore returns the store to the state before one of its last three writes. Late
// writes may still take effect.
func (sim *simulation) restore() {
	if len(sim.copies) < 3 {
		return
	}
	kv := sim.copies[len(sim.copies)-rapid.IntRange(1, 3).Draw(sim.rt, "lost writes")]
	sim.value, sim.revision = kv.Value, kv.Revision
	sim.era++
}

// write makes the change that the instance proposes. how says what happens to
// the write and its response.
func (sim *simulation) write(n *simInstance, how string) {
	c := n.state.Propose(sim.clock(n))
	if c == nil {
		return
	}
	value, _ := c.Record.Marshal()
	swap := func() bool {
		if c.Expected != sim.revision {
			return false
		}
		if sim.era > 0 && sim.record().Settled > 0 {
			sim.copies = append(sim.copies, sim.stored())
		}
		sim.value, sim.revision = value, sim.revision+1
		return true
	}
	began := n.state.ReadClock(sim.clock(n))
	switch {
	case how == "late":
		sim.schedule(3*time.Second, func() { swap() })
	case sim.down || how == "failed":
	default:
		swap()
		if how != "lost" {
			_ = n.state.ApplyRecord(sim.clock(n), began, sim.stored())
		}
	}
}

// list gives the instance a listing of the platform as of lag ago.
func (sim *simulation) list(n *simInstance, lag time.Duration) {
	ids := map[model.InstanceID]bool{}
	for _, o := range sim.instances {
		since, gone := sim.unlisted[o.id]
		ids[o.id] = !gone || sim.now-lag < since
	}
	now := n.state.ReadClock(sim.clock(n))
	n.state.ApplyListing(sim.clock(n), now, ids)
}

func (sim *simulation) record() *Record {
	r, err := ParseRecord(sim.value)
	if err != nil {
		sim.tb.Fatalf("stored record: %v", err)
	}
	return r
}

// check fails the test if more requests are in flight at all instances
// together than slots have owners.
func (sim *simulation) check() {
	used := map[model.Service]int{}
	sim.requests = slices.DeleteFunc(sim.requests, func(r *request) bool { return r.ended || sim.now >= r.end })
	for _, r := range sim.requests {
		used[r.key.Service]++
	}
	for svc, n := range used {
		if total := sim.owned(svc); n > total {
			sim.tb.Fatalf("at %v: %d requests of %s in flight, %d slots owned\n%s", sim.now, n, svc, total, sim.value)
		}
	}
	sim.checkLinks()
}

func (sim *simulation) checkLinks() {
	shares := 0.0
	for _, n := range sim.instances {
		if sim.running(n) && n.region == "a" && n.state.Admitting(sim.clock(n)) {
			shares += n.state.LinkShare(sim.clock(n))
		}
	}
	if shares > 1+1e-9 {
		sim.tb.Fatalf("at %v: link shares sum to %v", sim.now, shares)
	}
}
