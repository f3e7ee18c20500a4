package capacity

import (
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// settled returns a world in which the slots have owners.
func settled(t *testing.T, home, remote int, caps map[model.Service]int) *world {
	w := newWorld(t, nil, home, remote, caps)
	w.quiet(time.Minute)
	return w
}

func (w *world) owned(svc model.Service) int {
	rec := w.record()
	if i := rec.index(svc); i >= 0 {
		return rec.totals()[i]
	}
	return 0
}

// Guards against an instance that uses its slots after others took them
// because it was paused. Its monotonic clock stands still in the pause.
// Without the pause check and the comparison with the wall clock the test
// failed with "2 requests of entries in flight, 1 slots owned" (cap 2).
func TestPausedOwnerDoesNotUseReclaimedSlots(t *testing.T) {
	w := settled(t, 2, 0, map[model.Service]int{"entries": 2})
	n := w.nodes[0]
	w.pause(n, 100*time.Second, true)
	w.gone[n.id] = w.now
	w.quiet(90 * time.Second)
	if w.record().Holders[n.id] != nil {
		t.Fatalf("slots of the missing instance not reclaimed: %s", w.value)
	}
	w.hold = 5 * time.Second
	for _, o := range w.nodes {
		w.now = max(w.now, o.pausedUntil)
		w.fill(o)
	}
	w.check()
	if n.state.Admitting(w.clock(n)) {
		t.Error("admits after a pause without a new confirmation")
	}
	w.hold = 0
	delete(w.gone, n.id)
	w.quiet(2 * time.Minute)
	if w.take(n, "entries", time.Second) == nil {
		t.Error("does not resume after confirmation")
	}
}

// Guards against an instance without the store and the list that goes on
// until others take its slots. With a reclaim after 25 s the test failed with
// "6 requests of entries in flight, 4 slots owned".
func TestCutOffOwnerStopsBeforeReclaim(t *testing.T) {
	reclaimWhile(t, func(*world, *node, time.Duration) {})
}

// Guards against a sum above a lowered capacity for good, slots of a raised
// capacity left without an owner, and writes when nothing changes.
func TestCapacityFollowsRulesThenNoWrites(t *testing.T) {
	w := settled(t, 5, 0, map[model.Service]int{"entries": 16, "results": 3})
	for _, c := range []int{16, 4, 11, 0, 23} {
		w.caps = map[model.Service]int{"entries": c, "results": 3}
		for _, n := range w.nodes {
			w.setRules(n)
		}
		w.quiet(3 * time.Minute)
		if got := w.owned("entries"); got != c {
			t.Errorf("capacity %d: %d slots owned", c, got)
		}
		before := w.revision
		w.quiet(10 * time.Minute)
		if w.revision != before {
			t.Errorf("capacity %d: %d writes in a quiet time", c, w.revision-before)
		}
	}
}

// Guards against slots that stay idle because an instance left, and against an
// instance that leaves with requests in flight.
func TestLeavingOwnerGivesUpIdleSlots(t *testing.T) {
	w := settled(t, 3, 0, map[model.Service]int{"entries": 6})
	n := w.nodes[1]
	w.take(n, "entries", 20*time.Second)
	n.state.Leave(w.clock(n))
	if w.take(n, "entries", time.Second) != nil {
		t.Error("a leaving instance took a slot")
	}
	w.quiet(5 * time.Second)
	if got := w.record().Holders[n.id].at(0); got != 1 {
		t.Errorf("%d slots kept, want the one in use", got)
	}
	w.release(n, 0, false)
	w.quiet(5 * time.Second)
	if !n.state.HasLeft() {
		t.Error("slots not given up")
	}
}

// Guards against a repeated or late message that frees slots twice. Without
// the comparison of counts the test saw "3 slots on loan, want 2".
func TestReturnTwiceHasNoEffect(t *testing.T) {
	w := settled(t, 1, 1, map[model.Service]int{"entries": 3})
	l := w.nodes[0]
	k := Key{Region: "a", Service: "entries"}
	reply := l.state.Lend(w.clock(l), &BorrowArgs{From: "i1", Want: []Want{{Key: k, Count: 3}}})
	if len(reply.Loans) != 1 || reply.Loans[0].Count != 3 {
		t.Fatalf("reply %+v", reply)
	}
	id := reply.Loans[0].ID
	other := id
	other.Incarnation++
	back := func(from model.InstanceID, id LoanID, keep int) {
		l.state.HandleReturn(w.clock(l), &ReturnArgs{From: from, Loans: []Keep{{ID: id, Count: keep}}})
	}
	back("i1", id, 2)
	back("i1", id, 2)
	back("i1", id, 3)
	back("i1", id, -1)
	back("i2", id, 0)
	back("i1", other, 0)
	if lent := l.state.pools[k].lent; lent != 2 {
		t.Errorf("%d slots on loan, want 2", lent)
	}
	back("i1", id, 0)
	back("i1", id, 0)
	if lent := l.state.pools[k].lent; lent != 0 {
		t.Errorf("%d slots on loan, want 0", lent)
	}
}

// Guards against link parts that sum to more than the budget while one
// capacity is lowered and another raised. With one sum for all services in
// place of a sum by service, the random test saw 1.06; without the capacities
// before they were lowered, 1.08.
func TestLinkPartsWhileCapacitiesChange(t *testing.T) {
	w := settled(t, 3, 0, map[model.Service]int{"entries": 9, "results": 3})
	w.hold = 8 * time.Second
	w.caps = map[model.Service]int{"entries": 2, "results": 9}
	for _, n := range w.nodes {
		w.setRules(n)
	}
	w.quiet(time.Minute)
	parts := 0.0
	for _, n := range w.nodes {
		parts += n.state.LinkShare(w.clock(n))
	}
	if parts < 0.99 {
		t.Errorf("parts sum to %v after the change", parts)
	}
}

// Guards against slots that are used although a write that gives them up takes
// effect late. With the read-back skipped (slots of a write with an unknown
// result not withheld) the test failed with "2 requests of entries in flight,
// 0 slots owned".
func TestLateWriteLeavesSlotsWithheld(t *testing.T) {
	w := settled(t, 1, 0, map[model.Service]int{"entries": 2})
	n := w.nodes[0]
	w.caps = map[model.Service]int{"entries": 0}
	w.setRules(n)
	w.write(n, "late")
	w.caps = map[model.Service]int{"entries": 2}
	w.setRules(n)
	w.read(n)
	w.hold = 20 * time.Second
	w.advance(10 * time.Second)
	if got := w.owned("entries"); got != 0 {
		t.Fatalf("%d slots owned, want the late write in effect", got)
	}
	w.quiet(time.Minute)
	if len(w.requests) != 2 {
		t.Errorf("%d requests in flight after the slots were claimed again, want 2", len(w.requests))
	}
}

// Guards against a restarted instance that uses, or gives up, slots that
// requests of its predecessor still use. Without the wait the test failed with
// "4 requests of entries in flight, 2 slots owned".
func TestRestartedOwnerWaitsForPredecessor(t *testing.T) {
	w := settled(t, 2, 0, map[model.Service]int{"entries": 4})
	n := w.nodes[0]
	for w.take(n, "entries", 25*time.Second) != nil {
	}
	n.crashed = true
	w.advance(time.Second)
	w.start(n)
	w.read(n)
	w.write(n, "ok")
	w.hold = 20 * time.Second
	w.caps = map[model.Service]int{"entries": 2}
	for _, o := range w.nodes {
		w.setRules(o)
	}
	w.quiet(20 * time.Second)
	w.quiet(time.Minute)
	if w.owned("entries") != 2 || n.state.Usable(w.clock(n), Key{Region: "a", Service: "entries"}) == 0 {
		t.Errorf("not in use again: %s", w.value)
	}
}

// reclaimWhile has the second of two instances take the slots of the first,
// which the platform dropped, while the first does what during says.
func reclaimWhile(t *testing.T, during func(w *world, cut *node, at time.Duration)) {
	w := settled(t, 2, 0, map[model.Service]int{"entries": 4})
	cut, other := w.nodes[0], w.nodes[1]
	other.state.SetMembers(w.clock(other), nil)
	w.gone[cut.id] = w.now
	w.hold = 29 * time.Second
	for at := time.Duration(0); at < 150*time.Second; at += 100 * time.Millisecond {
		w.advance(100 * time.Millisecond)
		during(w, cut, at)
		w.read(other)
		w.write(other, "ok")
		w.list(other, 0)
	}
	if w.record().Holders[cut.id] != nil {
		t.Fatalf("not reclaimed: %s", w.value)
	}
}

// Guards against a reading of the record that confirms a holder which is noted
// there as missing. Confirmed all the same, it had "6 requests of entries in
// flight, 4 slots owned".
func TestNotedHolderIsNotConfirmedByReading(t *testing.T) {
	reclaimWhile(t, func(w *world, cut *node, _ time.Duration) { w.read(cut) })
}

// Guards against a confirmation by an old reading of the platform's list. Taken
// as new, it led to "6 requests of entries in flight, 4 slots owned".
func TestOldListConfirmsForLess(t *testing.T) {
	reclaimWhile(t, func(w *world, cut *node, at time.Duration) {
		// Short requests until just before the last confirmation ends, then
		// long ones.
		w.hold = 90 * time.Millisecond
		if at < 4800*time.Millisecond {
			w.list(cut, ListLag-50*time.Millisecond)
		} else if at > 33*time.Second {
			w.hold = MaxHold - 100*time.Millisecond
		}
	})
}

// Guards against a reclaim by an old note of an instance that was listed in
// between. Without the time since the last listing, "6 requests of entries in
// flight, 4 slots owned".
func TestNoteIsNotEnoughToReclaim(t *testing.T) {
	reclaimWhile(t, func(w *world, cut *node, at time.Duration) {
		switch {
		case at == 10*time.Second:
			delete(w.gone, cut.id)
		case at > 10*time.Second && at < 80*time.Second:
			w.list(cut, 0)
		case at == 80*time.Second:
			w.gone[cut.id] = w.now
		}
	})
}

// Guards against an instance that is listed again, uses its slots at once, and
// loses them by a reading from just before. Confirmed by its first reading, it
// had "4 requests of entries in flight, 2 slots owned".
func TestListedAgainIsNotConfirmedAtOnce(t *testing.T) {
	w := settled(t, 2, 0, map[model.Service]int{"entries": 4})
	cut, other := w.nodes[0], w.nodes[1]
	w.gone[cut.id] = w.now
	for second := range 75 {
		w.advance(time.Second)
		w.read(other)
		w.list(other, 0)
		if second < 20 {
			w.write(other, "ok")
		}
	}
	delete(w.gone, cut.id)
	w.hold = 20 * time.Second
	w.list(cut, 0)
	w.fill(cut)
	w.write(other, "ok")
	w.write(other, "ok")
	w.fill(other)
	w.check()
	if w.record().Holders[cut.id] != nil {
		t.Errorf("not reclaimed: %s", w.value)
	}
}
