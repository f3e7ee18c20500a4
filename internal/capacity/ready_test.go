package capacity

import (
	"math/rand/v2"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
	"jujubestile.example/jujubestile/internal/store"
)

// Guards against instances that count as ready before a slot of their region has
// an owner, and against a region that never becomes ready when all its instances
// start together.
func TestNoSlotsBeforeFirstClaim(t *testing.T) {
	now := time.Unix(1000, 0)
	kv := store.KeyValue{Revision: store.Absent}
	ids := []model.InstanceID{"i0", "i1"}
	states := make([]*State, len(ids))
	for i, id := range ids {
		s := New(now, Config{Self: id, Incarnation: 1, Region: "a", Rand: rand.New(rand.NewPCG(1, uint64(i)))})
		s.SetRules(now, &rules.Set{Capacity: map[Key]int{testKey: 4}})
		s.SetMembers(now, ids)
		s.SetPeers([]Peer{{ID: ids[1-i], Region: "a", Starting: true}})
		s.ApplyListing(now, now, map[model.InstanceID]bool{"i0": true, "i1": true})
		states[i] = s
	}
	now = now.Add(time.Second)
	for i, s := range states {
		if err := s.ApplyRecord(now, now, kv); err != nil {
			t.Fatal(err)
		}
		if !s.Admitting(now) || s.HasSlots(now) {
			t.Errorf("%s before its claim: admitting %v, has slots %v", ids[i], s.Admitting(now), s.HasSlots(now))
		}
		c := s.Propose(now)
		value, err := c.Record.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		kv = store.KeyValue{Value: value, Revision: kv.Revision + 1}
		if err := s.ApplyRecord(now, now, kv); err != nil {
			t.Fatal(err)
		}
		if !s.HasSlots(now) {
			t.Errorf("%s has no slots after its claim", ids[i])
		}
	}
}

// Guards against an instance that counts as ready while the slots belong to its
// previous process and no peer lends any.
func TestNoSlotsAfterCrashWithoutLender(t *testing.T) {
	now := time.Unix(1000, 0)
	rec := &Record{Version: 1, Services: []model.Service{testKey.Service}, Caps: []int{4},
		Holders: map[model.InstanceID]*Holder{"i0": {Incarnation: 1, Slots: []int{4}}}}
	value, err := rec.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	s := New(now, Config{Self: "i0", Incarnation: 2, Region: "a", Rand: rand.New(rand.NewPCG(1, 1))})
	s.SetRules(now, &rules.Set{Capacity: map[Key]int{testKey: 4}})
	if err := s.ApplyRecord(now, now, store.KeyValue{Value: value, Revision: 1}); err != nil {
		t.Fatal(err)
	}
	if s.HasSlots(now) {
		t.Error("has slots without a lender")
	}
	s.SetPeers([]Peer{{ID: "i1", Region: "a"}})
	if !s.HasSlots(now) {
		t.Error("has no slots although a peer is ready")
	}
}
