package steering

import (
	"math/rand/v2"
	"testing"
	"time"
)

// newTableWithoutPeerLoads returns a table with two endpoints of four slots,
// for instances that do not share their loads.
func newTableWithoutPeerLoads() *Table {
	t := New(Config{Self: "i1", Domain: "a1", Region: "a", MaxShift: 1, NoPeerLoads: true, Rand: rand.New(rand.NewPCG(1, 2))})
	for _, id := range []string{"e1", "e2"} {
		e := ep(id, "a1", 4)
		e.Region = "a"
		t.Put(e, time.Now())
	}
	return t
}

// respond ends a request with a report of the endpoint's load, which includes
// the request.
func respond(t *Table, p *Pick, load int, now time.Time) {
	t.Finish(now, p, Report{Result: Answered, HasLoad: true, Load: load})
}

// Instances that do not share their loads use busy endpoints. The excess load
// that an endpoint reports must count for a while; afterwards the endpoint
// must count as loaded as the service is on average.
func TestReportedLoadStandsForOtherInstances(t *testing.T) {
	tb, now := newTableWithoutPeerLoads(), time.Now()
	for range 400 {
		now = now.Add(time.Millisecond)
		c := tb.Choose(now, req(0))
		if c.Pick == nil {
			t.Fatalf("refused: %s", c.Reason)
		}
		now = now.Add(4 * time.Millisecond)
		respond(tb, c.Pick, 4, now)
	}
	e := tb.endpoints["e1"]
	if got := e.load(e.excessAt); got != 3 {
		t.Errorf("load %d right after a report of 4, want 3: one slot has become free", got)
	}
	if got := e.load(e.excessAt.Add(100 * time.Millisecond)); got != 4 {
		t.Errorf("load %d some time later, want 4: others have filled the slot", got)
	}
	if got := e.load(now.Add(maxReportAge)); got < 3 {
		t.Errorf("load %d without a recent report, want the mean of 3 or 4", got)
	}
	if got := e.load(e.excessAt.Add(30 * time.Second)); got != 0 {
		t.Errorf("load %d long after the last report, want 0", got)
	}
}

// Overload: the endpoint that has just responded has a free slot that only
// this instance knows of. It must be chosen over endpoints that seem full.
func TestJustFreedSlotIsTaken(t *testing.T) {
	tb, now := newTableWithoutPeerLoads(), time.Now()
	taken := 0
	for i := range 200 {
		now = now.Add(20 * time.Millisecond)
		c := tb.Choose(now, req(0))
		if c.Pick == nil {
			t.Fatalf("refused: %s", c.Reason)
		}
		now = now.Add(20 * time.Millisecond)
		respond(tb, c.Pick, 4, now)
		next := tb.Choose(now.Add(100*time.Microsecond), req(0))
		if i > 50 && next.Pick.ID == c.Pick.ID {
			taken++
		}
		respond(tb, next.Pick, 4, now)
	}
	if taken < 140 {
		t.Errorf("the freed slot was taken %d of 149 times", taken)
	}
}

// An exclusive request must get an endpoint without requests of this
// instance, and keep others away from it until it ends.
func TestExclusiveRequest(t *testing.T) {
	tb, now := newTableWithoutPeerLoads(), time.Now()
	first := tb.Choose(now, req(0)).Pick
	r := req(0)
	r.Exclusive = true
	exclusive := tb.Choose(now, r).Pick
	if exclusive == nil || exclusive.ID == first.ID {
		t.Fatalf("the exclusive request got %+v, want another endpoint than %s", exclusive, first.ID)
	}
	if c := tb.Choose(now, r); c.Pick != nil {
		t.Errorf("a second exclusive request got %s", c.Pick.ID)
	}
	for range 3 {
		if p := tb.Choose(now, req(0)).Pick; p == nil || p.ID == exclusive.ID {
			t.Fatalf("an ordinary request got %+v", p)
		}
	}
	tb.Finish(now, exclusive, Report{Result: NotStarted})
	if !tb.endpoints[exclusive.ID].exclusive && tb.endpoints[exclusive.ID].own == 0 {
		return
	}
	t.Error("the endpoint is still reserved after the exclusive request has ended")
}
