package capacity

import (
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// newSettled returns a simulation without network faults in which all slots
// have owners.
func newSettled(t *testing.T, home, remote int, caps map[model.Service]int) *simulation {
	sim := newSimulation(t, nil, home, remote, caps)
	sim.runFor(time.Minute)
	return sim
}

func (sim *simulation) owned(svc model.Service) int {
	if sim.era > 0 {
		return sim.caps[svc]
	}
	rec := sim.record()
	if i := rec.index(svc); i >= 0 {
		return rec.totals()[i]
	}
	return 0
}

// Guards against an instance that uses its slots after a pause in which others
// reclaimed them. Its monotonic clock stops during the pause. Without the
// check for pauses and the comparison with the wall clock, the test failed
// with "2 requests of entries in flight, 1 slots owned" at a capacity of 2.
func TestPausedOwnerDoesNotUseReclaimedSlots(t *testing.T) {
	sim := newSettled(t, 2, 0, map[model.Service]int{"entries": 2})
	n := sim.instances[0]
	sim.pause(n, 100*time.Second, true)
	sim.unlisted[n.id] = sim.now
	sim.runFor(90 * time.Second)
	if sim.record().Holders[n.id] != nil {
		t.Fatalf("slots of the missing instance not reclaimed: %s", sim.value)
	}
	sim.fillHold = 5 * time.Second
	for _, o := range sim.instances {
		sim.now = max(sim.now, o.pausedUntil)
		sim.fill(o)
	}
	sim.check()
	if n.state.Admitting(sim.clock(n)) {
		t.Error("admits after a pause without a new confirmation")
	}
	sim.fillHold = 0
	delete(sim.unlisted, n.id)
	sim.runFor(2 * time.Minute)
	if sim.take(n, "entries", time.Second) == nil {
		t.Error("does not resume after confirmation")
	}
}

// Guards against an instance that reaches neither the store nor the platform
// and still uses its slots when others reclaim them. With a reclaim after 25 s
// the test failed with "6 requests of entries in flight, 4 slots owned".
func TestCutOffOwnerStopsBeforeReclaim(t *testing.T) {
	reclaimWhile(t, func(*simulation, *simInstance, time.Duration) {})
}

// Guards against owners that keep more than a lowered capacity, against slots
// of a raised capacity that stay without an owner, and against writes when
// nothing changes.
func TestCapacityFollowsRulesThenNoWrites(t *testing.T) {
	sim := newSettled(t, 5, 0, map[model.Service]int{"entries": 16, "results": 3})
	for _, c := range []int{16, 4, 11, 0, 23} {
		sim.caps = map[model.Service]int{"entries": c, "results": 3}
		for _, n := range sim.instances {
			sim.setRules(n)
		}
		sim.runFor(3 * time.Minute)
		if got := sim.owned("entries"); got != c {
			t.Errorf("capacity %d: %d slots owned", c, got)
		}
		before := sim.revision
		sim.runFor(10 * time.Minute)
		if sim.revision != before {
			t.Errorf("capacity %d: %d writes without a change", c, sim.revision-before)
		}
	}
}

// Guards against slots that stay idle because their owner leaves, and against
// an owner that relinquishes slots while its requests use them.
func TestLeavingOwnerRelinquishesIdleSlots(t *testing.T) {
	sim := newSettled(t, 3, 0, map[model.Service]int{"entries": 6})
	n := sim.instances[1]
	sim.take(n, "entries", 20*time.Second)
	n.state.Leave(sim.clock(n))
	if sim.take(n, "entries", time.Second) != nil {
		t.Error("a leaving instance took a slot")
	}
	sim.runFor(5 * time.Second)
	if got := sim.record().Holders[n.id].at(0); got != 1 {
		t.Errorf("%d slots kept, want the one in use", got)
	}
	sim.release(n, 0, false)
	sim.runFor(5 * time.Second)
	if !n.state.HasLeft() {
		t.Error("slots not relinquished")
	}
}

// Guards against a duplicate or late Return call that frees slots twice.
// Without the comparison of counts the test failed with "3 slots on loan, want
// 2".
func TestDuplicateReturnHasNoEffect(t *testing.T) {
	sim := newSettled(t, 1, 1, map[model.Service]int{"entries": 3})
	l := sim.instances[0]
	k := Key{Region: "a", Service: "entries"}
	reply := l.state.Lend(sim.clock(l), &BorrowArgs{From: "i1", Want: []Want{{Key: k, Count: 3}}})
	if len(reply.Loans) != 1 || reply.Loans[0].Count != 3 {
		t.Fatalf("reply %+v", reply)
	}
	id := reply.Loans[0].ID
	other := id
	other.Incarnation++
	returnLoan := func(from model.InstanceID, id LoanID, keep int) {
		l.state.HandleReturn(sim.clock(l), &ReturnArgs{From: from, Loans: []Keep{{ID: id, Count: keep}}})
	}
	returnLoan("i1", id, 2)
	returnLoan("i1", id, 2)
	returnLoan("i1", id, 3)
	returnLoan("i1", id, -1)
	returnLoan("i2", id, 0)
	returnLoan("i1", other, 0)
	if lent := l.state.pools[k].lent; lent != 2 {
		t.Errorf("%d slots on loan, want 2", lent)
	}
	returnLoan("i1", id, 0)
	returnLoan("i1", id, 0)
	if lent := l.state.pools[k].lent; lent != 0 {
		t.Errorf("%d slots on loan, want 0", lent)
	}
}

// Guards against link shares that sum to more than 1 while one capacity is
// lowered and another raised. With one sum for all services instead of one per
// service in the divisor, the shares summed to 1.06 in the random test; without
// the former values of lowered capacities, to 1.08.
func TestLinkSharesWhileCapacitiesChange(t *testing.T) {
	sim := newSettled(t, 3, 0, map[model.Service]int{"entries": 9, "results": 3})
	sim.fillHold = 8 * time.Second
	sim.caps = map[model.Service]int{"entries": 2, "results": 9}
	for _, n := range sim.instances {
		sim.setRules(n)
	}
	sim.runFor(time.Minute)
	shares := 0.0
	for _, n := range sim.instances {
		shares += n.state.LinkShare(sim.clock(n))
	}
	if shares < 0.99 {
		t.Errorf("link shares sum to %v after the change", shares)
	}
}

// Guards against the use of slots that a write with an unknown result
// relinquishes later. When such slots were not withheld, the test failed with
// "2 requests of entries in flight, 0 slots owned".
func TestLateWriteLeavesSlotsWithheld(t *testing.T) {
	sim := newSettled(t, 1, 0, map[model.Service]int{"entries": 2})
	n := sim.instances[0]
	sim.caps = map[model.Service]int{"entries": 0}
	sim.setRules(n)
	sim.write(n, "late")
	sim.caps = map[model.Service]int{"entries": 2}
	sim.setRules(n)
	sim.read(n)
	sim.fillHold = 20 * time.Second
	sim.advance(10 * time.Second)
	if got := sim.owned("entries"); got != 0 {
		t.Fatalf("%d slots owned, want the late write in effect", got)
	}
	sim.runFor(time.Minute)
	if len(sim.requests) != 2 {
		t.Errorf("%d requests in flight after the slots were claimed again, want 2", len(sim.requests))
	}
}

// Guards against a restarted instance that uses or relinquishes slots that
// requests of its previous process still use. Without the wait the test failed
// with "4 requests of entries in flight, 2 slots owned".
func TestRestartedOwnerWaitsForPreviousProcess(t *testing.T) {
	sim := newSettled(t, 2, 0, map[model.Service]int{"entries": 4})
	n := sim.instances[0]
	for sim.take(n, "entries", 25*time.Second) != nil {
	}
	n.crashed = true
	sim.advance(time.Second)
	sim.start(n)
	sim.read(n)
	sim.write(n, "ok")
	sim.fillHold = 20 * time.Second
	sim.caps = map[model.Service]int{"entries": 2}
	for _, o := range sim.instances {
		sim.setRules(o)
	}
	sim.runFor(20 * time.Second)
	sim.runFor(time.Minute)
	if sim.owned("entries") != 2 || n.state.Usable(sim.clock(n), Key{Region: "a", Service: "entries"}) == 0 {
		t.Errorf("not in use again: %s", sim.value)
	}
}

// reclaimWhile lets the second of two instances reclaim the slots of the first,
// which is missing from the platform's list, and calls during every 100 ms with
// the first instance and the time since it was removed from the list.
func reclaimWhile(t *testing.T, during func(sim *simulation, cut *simInstance, at time.Duration)) {
	sim := newSettled(t, 2, 0, map[model.Service]int{"entries": 4})
	cut, other := sim.instances[0], sim.instances[1]
	other.state.SetMembers(sim.clock(other), nil)
	sim.unlisted[cut.id] = sim.now
	sim.fillHold = 29 * time.Second
	for at := time.Duration(0); at < 150*time.Second; at += 100 * time.Millisecond {
		sim.advance(100 * time.Millisecond)
		during(sim, cut, at)
		sim.read(other)
		sim.write(other, "ok")
		sim.list(other, 0)
	}
	if sim.record().Holders[cut.id] != nil {
		t.Fatalf("not reclaimed: %s", sim.value)
	}
}

// Guards against a read of the record that confirms a holder which is marked
// there as missing. When it did, the test failed with "6 requests of entries in
// flight, 4 slots owned".
func TestMarkedHolderIsNotConfirmedByRecord(t *testing.T) {
	reclaimWhile(t, func(sim *simulation, cut *simInstance, _ time.Duration) { sim.read(cut) })
}

// Guards against a confirmation that does not allow for the age of the listing
// it is based on. When an old listing counted as new, the test failed with "6
// requests of entries in flight, 4 slots owned".
func TestOldListingConfirmsForLess(t *testing.T) {
	reclaimWhile(t, func(sim *simulation, cut *simInstance, at time.Duration) {
		// Short requests until just before the last confirmation ends, then
		// long ones.
		sim.fillHold = 90 * time.Millisecond
		if at < 4800*time.Millisecond {
			sim.list(cut, ListLag-50*time.Millisecond)
		} else if at > 33*time.Second {
			sim.fillHold = MaxHold - 100*time.Millisecond
		}
	})
}

// Guards against a reclaim based on an old mark although the instance was
// listed in between. Without the check of how long it has been missing, the
// test failed with "6 requests of entries in flight, 4 slots owned".
func TestMarkIsNotEnoughToReclaim(t *testing.T) {
	reclaimWhile(t, func(sim *simulation, cut *simInstance, at time.Duration) {
		switch {
		case at == 10*time.Second:
			delete(sim.unlisted, cut.id)
		case at > 10*time.Second && at < 80*time.Second:
			sim.list(cut, 0)
		case at == 80*time.Second:
			sim.unlisted[cut.id] = sim.now
		}
	})
}

// Guards against an instance that uses its slots as soon as it is listed again,
// while another one reclaims them by its previous listing. When the first
// listing confirmed it, the test failed with "4 requests of entries in flight,
// 2 slots owned".
func TestRelistedInstanceIsNotConfirmedAtOnce(t *testing.T) {
	sim := newSettled(t, 2, 0, map[model.Service]int{"entries": 4})
	cut, other := sim.instances[0], sim.instances[1]
	sim.unlisted[cut.id] = sim.now
	for second := range 75 {
		sim.advance(time.Second)
		sim.read(other)
		sim.list(other, 0)
		if second < 20 {
			sim.write(other, "ok")
		}
	}
	delete(sim.unlisted, cut.id)
	sim.fillHold = 20 * time.Second
	sim.list(cut, 0)
	sim.fill(cut)
	sim.write(other, "ok")
	sim.write(other, "ok")
	sim.fill(other)
	sim.check()
	if sim.record().Holders[cut.id] != nil {
		t.Errorf("not reclaimed: %s", sim.value)
	}
}

// Guards against slots that get a new owner after a restore of the store while an
// instance that does not know of the restore, or has not ended its requests, uses them.
func TestRecordIsSettledAfterAllConfirm(t *testing.T) {
	sim := newSimulation(t, nil, 2, 0, map[model.Service]int{"entries": 4})
	sim.era = 1
	sim.runFor(time.Minute)
	knowing, unaware := sim.instances[0], sim.instances[1]
	sim.take(knowing, "entries", 10*time.Second)
	sim.release(knowing, 0, true)
	rec := sim.record()
	delete(rec.Holders, knowing.id)
	var err error
	if sim.value, err = rec.Marshal(); err != nil {
		t.Fatal(err)
	}
	sim.era = 2
	exchange := func(n *simInstance) {
		sim.read(n)
		sim.write(n, "ok")
	}
	exchange(knowing)
	if sim.record().Holders[knowing.id] != nil {
		t.Error("an instance has confirmed while a request uses a slot that it lost")
	}
	for range 100 {
		sim.advance(time.Second)
		sim.list(knowing, 0)
		sim.list(unaware, 0)
		exchange(knowing)
	}
	if rec := sim.record(); rec.Settled != 1 || rec.Holders[knowing.id].Era != 2 || rec.Holders[knowing.id].at(0) != 0 {
		t.Errorf("settled in era %d without the other instance, %s", rec.Settled, sim.value)
	}
	sim.runFor(10 * time.Second)
	if rec := sim.record(); rec.Settled != 2 || rec.totals()[0] != 4 {
		t.Errorf("not settled after all have confirmed: %s", sim.value)
	}
}

// Guards against an instance that cannot leave until a restored record is settled.
func TestLeavesDuringRecovery(t *testing.T) {
	sim := newSimulation(t, nil, 2, 0, map[model.Service]int{"entries": 4})
	sim.era = 1
	sim.runFor(time.Minute)
	sim.era = 2
	n := sim.instances[0]
	sim.read(n)
	n.state.Leave(sim.clock(n))
	sim.write(n, "ok")
	if !n.state.HasLeft() || sim.record().Holders[n.id] != nil {
		t.Errorf("still in the record: %s", sim.value)
	}
}
