package steering

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	_ "jujubestile.example/jujubestile/internal/fixedseed" // Fixes the seed of property tests.
)

// A new endpoint joins a service whose objects are all cached elsewhere: it
// must get some requests, one at a time and from one instance only.
func TestNewEndpointIsWarmedUp(t *testing.T) {
	members := []Instance{{ID: "i1", Region: "a"}, {ID: "i2", Region: "a"}, {ID: "i3", Region: "a"}}
	senders, sent := 0, 0
	for _, m := range members {
		tb := New(Config{Self: m.ID, Domain: "a1", Region: "a", Regions: regions, MaxShift: 0.15, Rand: rand.New(rand.NewPCG(1, 2))})
		tb.SetInstances(members)
		cached := map[string]bool{}
		now := epoch
		for i := range 3 {
			tb.Put(ep(fmt.Sprint("e", i), "a1", 5), now)
		}
		run := func(n int) (got int) {
			for i := range uint32(n) {
				now = now.Add(50 * time.Millisecond)
				if serve(t, tb, now, req(i%40+1), cached) == "new" {
					got++
				}
			}
			return got
		}
		run(200)
		tb.Put(ep("new", "a1", 5), now)
		first := run(20)
		if first > 2 {
			t.Errorf("%d requests in the first second", first)
		}
		if got := first + run(200); got > 0 {
			senders++
			sent += got
		}
	}
	if senders != 1 || sent < 3 {
		t.Errorf("%d requests from %d instances", sent, senders)
	}
}

// The number of objects that endpoints cache must be estimated from hits and
// misses.
func TestCacheSizeIsEstimated(t *testing.T) {
	const real = 25
	k := cacheSizeEstimate{}
	rnd := rand.New(rand.NewPCG(5, 6))
	for range 2000 {
		distance := rnd.IntN(80)
		k.record(distance, distance < real)
	}
	if n := k.objects(); n < real-8 || n > real+8 {
		t.Fatalf("estimated %d cached objects, want about %d", n, real)
	}
}

// Stored recent objects must be used, but not for an endpoint that has
// restarted and not in place of objects recorded by this process.
func TestRestoreRecentObjects(t *testing.T) {
	before := newTable()
	e := ep("e", "a1", 3)
	e.Started = 17
	before.Put(e, epoch)
	other := ep("other", "a1", 3)
	before.Put(other, epoch)
	for object := uint32(1); object <= 5; object++ {
		before.recordPlacement(before.endpoints["e"], object)
		before.recordPlacement(before.endpoints["other"], object)
	}
	stored := before.RecentObjects("a")
	if len(stored) != 2 || len(stored["e"].Objects) != 5 || len(before.RecentObjects("b")) != 0 {
		t.Fatalf("%v", stored)
	}
	after := newTable()
	after.Put(other, epoch)
	after.recordPlacement(after.endpoints["other"], 99)
	after.RestoreRecentObjects(stored)
	after.Put(e, epoch)
	if d := after.endpoints["e"].recent.reuseDistance(5); d != 0 {
		t.Errorf("the last object has reuse distance %d", d)
	}
	if d := after.endpoints["other"].recent.reuseDistance(5); d != -1 {
		t.Error("the stored objects replaced those recorded by this process")
	}
	restarted := newTable()
	restarted.RestoreRecentObjects(stored)
	e.Started = 18
	restarted.Put(e, epoch)
	if d := restarted.endpoints["e"].recent.reuseDistance(5); d != -1 {
		t.Error("the stored objects were used for an endpoint that has restarted")
	}
}
