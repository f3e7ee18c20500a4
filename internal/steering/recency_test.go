package steering

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	_ "jujubestile.example/jujubestile/internal/fixedseed" // Property tests repeat.
)

// The newcomer gets some objects, one at a time, from one instance only.
func TestNewcomerTakesPart(t *testing.T) {
	members := []Instance{{"i1", "a"}, {"i2", "a"}, {"i3", "a"}}
	senders, sent := 0, 0
	for _, m := range members {
		tb := New(Config{Self: m.ID, Domain: "a1", Region: "a", Regions: regions, MaxShift: 0.15, Rand: rand.New(rand.NewPCG(1, 2))})
		tb.SetInstances(members)
		known := map[string]bool{}
		now := epoch
		for i := range 3 {
			tb.Put(ep(fmt.Sprint("e", i), "a1", 5), now)
		}
		play := func(n int) (got int) {
			for i := range uint32(n) {
				now = now.Add(50 * time.Millisecond)
				if serve(t, tb, now, req(i%40+1), known) == "new" {
					got++
				}
			}
			return got
		}
		play(200)
		tb.Put(ep("new", "a1", 5), now)
		first := play(20)
		if first > 2 {
			t.Errorf("%d requests in the first second", first)
		}
		if got := first + play(200); got > 0 {
			senders++
			sent += got
		}
	}
	if senders != 1 || sent < 3 {
		t.Errorf("%d requests from %d instances", sent, senders)
	}
}

// The number of objects that endpoints keep is found from misses.
func TestKeepsIsLearned(t *testing.T) {
	const real = 25
	k := keeps{}
	rnd := rand.New(rand.NewPCG(5, 6))
	for range 2000 {
		depth := rnd.IntN(80)
		k.observed(depth, depth < real)
	}
	if n := k.limit(); n < real-8 || n > real+8 {
		t.Fatalf("estimated %d kept objects, want about %d", n, real)
	}
}

// restarted, and not over what this process has seen.
func TestRecall(t *testing.T) {
	before := newTable()
	e := ep("e", "a1", 3)
	e.Started = 17
	before.Put(e, epoch)
	other := ep("other", "a1", 3)
	before.Put(other, epoch)
	for object := uint32(1); object <= 5; object++ {
		before.sent(before.endpoints["e"], object)
		before.sent(before.endpoints["other"], object)
	}
	known := before.RecentObjects("a")
	if len(known) != 2 || len(known["e"].Objects) != 5 || len(before.RecentObjects("b")) != 0 {
		t.Fatalf("%v", known)
	}
	after := newTable()
	after.Put(other, epoch)
	after.sent(after.endpoints["other"], 99)
	after.RestoreRecentObjects(known)
	after.Put(e, epoch)
	if d := after.endpoints["e"].recent.depth(5); d != 0 {
		t.Errorf("the last object has depth %d", d)
	}
	if d := after.endpoints["other"].recent.depth(5); d != -1 {
		t.Error("the record replaced what the process has seen")
	}
	restarted := newTable()
	restarted.RestoreRecentObjects(known)
	e.Started = 18
	restarted.Put(e, epoch)
	if d := restarted.endpoints["e"].recent.depth(5); d != -1 {
		t.Error("the record was used for an endpoint that has restarted")
	}
}
