package capacity

import (
	"math/rand/v2"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
	"jujubestile.example/jujubestile/internal/store"
)

// Guards against an instance that asks no peer for slots because it read the
// record before the peer's claim and the store has failed since. Without the
// check for slots that have no owner, it made no call.
func TestAsksPeersWhenTheRecordIsIncomplete(t *testing.T) {
	k := Key{Region: "a", Service: "entries"}
	now := time.Unix(1e9, 0)
	s := New(now, Config{Self: "i1", Incarnation: 1, Region: "a", Domain: "a1", Rand: rand.New(rand.NewPCG(1, 2))})
	s.SetRules(now, &rules.Set{Capacity: map[Key]int{k: 16}})
	if err := s.ApplyRecord(now, now, store.KeyValue{Revision: store.Absent}); err != nil {
		t.Fatal(err)
	}
	s.SetPeers([]Peer{{ID: "i2", Region: "a", Domain: "a2"}})
	now = now.Add(time.Second)
	if s.Take(now, k, model.PriorityCritical, now.Add(time.Second)) != nil {
		t.Fatal("took a slot that nobody owns")
	}
	s.ReportUnmet(now, k, model.PriorityCritical, false)
	calls, _ := s.Plan(now)
	if len(calls) != 1 || calls[0].To != "i2" || len(calls[0].Args.Want) != 1 {
		t.Errorf("calls %+v, want one to i2", calls)
	}
}
