package steering

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jujubestile.example/jujubestile/internal/desired"
	_ "jujubestile.example/jujubestile/internal/fixedseed" // Fixes the seed of property tests.
	"jujubestile.example/jujubestile/internal/model"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var regions = map[model.Domain]model.Region{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"}

func everywhere(model.Region) bool { return true }

func newTable() *Table {
	t := New(Config{Self: "i1", Domain: "a1", Region: "a", Regions: regions, MaxShift: 0.15, Rand: rand.New(rand.NewPCG(1, 2))})
	t.SetServices(map[model.Service]desired.Service{"s": {Name: "s", ColdRate: 2, ColdStart: 3 * time.Second, HealthPath: "/health"}})
	t.SetInstances([]Instance{{ID: "i1", Region: "a"}})
	return t
}

func ep(id string, domain model.Domain, slots int) Endpoint {
	return Endpoint{ID: model.EndpointID(id), Service: "s", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Domain: domain, Slots: slots}
}

func req(object uint32) Request {
	return Request{Service: "s", Object: object, UntilDeadline: time.Second, UntilSoftDeadline: 180 * time.Millisecond, TargetLatency: 200 * time.Millisecond, Allows: everywhere}
}

// serve runs one request to its end, with the processing time of a hit or a
// miss.
func serve(t *testing.T, tb *Table, now time.Time, r Request, cached map[string]bool) model.EndpointID {
	t.Helper()
	c := tb.Choose(now, r)
	if c.Pick == nil {
		t.Fatalf("refused: %s", c.Reason)
	}
	key := fmt.Sprint(c.Pick.ID, r.Object)
	work := 240 * time.Millisecond
	if cached[key] {
		work = 72 * time.Millisecond
	}
	cached[key] = true
	tb.Finish(now.Add(work+c.Pick.rtt), c.Pick, Report{Result: Answered})
	return c.Pick.ID
}

// Guards against an object being moved away from the endpoint that has it
// cached while that endpoint has free slots.
func TestObjectsKeepTheirEndpoint(t *testing.T) {
	tb := newTable()
	for i := range 4 {
		tb.Put(ep(fmt.Sprint("e", i), "a1", 5), epoch)
	}
	cached := map[string]bool{}
	now := epoch
	homes := map[uint32]model.EndpointID{}
	for round := range 5 {
		for object := uint32(1); object <= 20; object++ {
			now = now.Add(300 * time.Millisecond)
			id := serve(t, tb, now, req(object), cached)
			if round > 0 && homes[object] != id {
				t.Fatalf("object %d moved from %s to %s", object, homes[object], id)
			}
			homes[object] = id
		}
	}
}

// Guards against many concurrent requests for one object queueing at its
// endpoint while others are idle.
func TestHotObjectSpills(t *testing.T) {
	tb := newTable()
	for i := range 3 {
		tb.Put(ep(fmt.Sprint("e", i), "a1", 2), epoch)
	}
	used := map[model.EndpointID]int{}
	for range 6 {
		c := tb.Choose(epoch, Request{Service: "s", Object: 7, UntilDeadline: 5 * time.Second, UntilSoftDeadline: 5 * time.Second, TargetLatency: 200 * time.Millisecond, Allows: everywhere})
		if c.Pick == nil {
			t.Fatalf("refused: %s", c.Reason)
		}
		used[c.Pick.ID]++
	}
	if len(used) < 2 {
		t.Fatalf("six requests at once went to one endpoint of 2 slots: %v", used)
	}
}

// Overload by requests for one object: requests that would be late and delay
// others must be refused immediately, with a Retry-After within the caller's
// deadline.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	tb := newTable()
	tb.Put(ep("e", "a1", 2), epoch)
	refused := 0
	for range 30 {
		c := tb.Choose(epoch, req(1))
		if c.Pick != nil {
			continue
		}
		refused++
		if c.Reason != ReasonOverload {
			t.Fatalf("reason %s, want overload", c.Reason)
		}
		if c.RetryAfter < minRetryAfter || c.RetryAfter > 340*time.Millisecond {
			t.Fatalf("retry after %s of 1 s left", c.RetryAfter)
		}
	}
	if refused < 20 || refused > 28 {
		t.Fatalf("refused %d of 30 at an endpoint with 2 slots", refused)
	}
}

// Guards against refusing a request that is past its soft deadline although a
// slot is free and nobody would wait for it.
func TestLateRequestGetsFreeSlot(t *testing.T) {
	tb := newTable()
	tb.Put(ep("e", "a1", 2), epoch)
	r := req(1)
	r.UntilSoftDeadline = -time.Second
	if c := tb.Choose(epoch, r); c.Pick == nil {
		t.Fatalf("refused with two free slots: %s", c.Reason)
	}
}

// The object may be cached although the table does not know it. A request
// with little time left must get a free slot unless even a hit would take too
// long.
func TestOnlyRequestsThatMissTheirDeadlineAreRefused(t *testing.T) {
	tb := newTable()
	tb.Put(ep("e", "a1", 2), epoch)
	r := req(1)
	r.UntilDeadline = 150 * time.Millisecond // A miss is expected to take 180 ms.
	if c := tb.Choose(epoch, r); c.Pick == nil {
		t.Fatalf("refused: %s", c.Reason)
	}
	r.UntilDeadline = 20 * time.Millisecond
	if c := tb.Choose(epoch, r); c.Reason != ReasonDeadline {
		t.Fatalf("reason %q, want deadline", c.Reason)
	}
}

// Two ranks share a service: queue places must be left to the more urgent
// one.
func TestUrgentRankTakesTheQueue(t *testing.T) {
	tb := newTable()
	tb.Put(ep("e", "a1", 2), epoch)
	for range 2 {
		tb.Choose(epoch, req(1))
	}
	bulk := req(2)
	bulk.Rank, bulk.UntilSoftDeadline = 2, time.Second
	if c := tb.Choose(epoch, bulk); c.Pick != nil {
		t.Fatal("a bulk request was queued although urgent requests use the service")
	}
	if c := tb.Choose(epoch, req(1)); c.Pick == nil {
		t.Fatalf("an urgent request was refused: %s", c.Reason)
	}
}

// For any series of changes and requests: a request goes only to endpoints
// that it may use, a refusal has a Retry-After, and no load is left once all
// requests have ended.
func TestChoiceProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tb := newTable()
		domains := []model.Domain{"a1", "a2", "b1", "b2", "c1"}
		now := epoch
		present := map[model.EndpointID]Endpoint{}
		evacuated := map[model.Domain]bool{}
		var open []*Pick
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(rt, "what") {
			case 0:
				e := ep(fmt.Sprint("e", rapid.IntRange(0, 9).Draw(rt, "id")), rapid.SampledFrom(domains).Draw(rt, "domain"), rapid.IntRange(1, 4).Draw(rt, "slots"))
				if old, ok := present[e.ID]; ok {
					e.Domain = old.Domain
				}
				e.Leaving = rapid.Bool().Draw(rt, "leaving")
				tb.Put(e, now)
				present[e.ID] = e
			case 1:
				for id := range present {
					tb.Remove(id, now)
					delete(present, id)
					break
				}
			case 2:
				d := rapid.SampledFrom(domains).Draw(rt, "evacuated")
				evacuated[d] = !evacuated[d]
				tb.SetEvacuated(d, evacuated[d])
			case 3:
				if len(open) > 0 {
					p := open[0]
					open = open[1:]
					tb.Finish(now, p, Report{Result: Result(rapid.IntRange(0, 5).Draw(rt, "result"))})
				}
			default:
				allowed := rapid.SampledFrom([]model.Region{"a", "b", "c"}).Draw(rt, "home")
				r := req(uint32(rapid.IntRange(0, 5).Draw(rt, "object")))
				r.Allows = func(g model.Region) bool { return g == allowed }
				c := tb.Choose(now, r)
				if (c.Pick == nil) == (c.Reason == ReasonNone) {
					rt.Fatalf("pick %v with reason %q", c.Pick, c.Reason)
				}
				if c.Pick == nil {
					if c.RetryAfter <= 0 {
						rt.Fatal("refused without Retry-After")
					}
					continue
				}
				e, ok := present[c.Pick.ID]
				if !ok || e.Leaving || evacuated[e.Domain] || regions[e.Domain] != allowed {
					rt.Fatalf("picked %+v, evacuated %v, allowed region %s", e, evacuated, allowed)
				}
				open = append(open, c.Pick)
			}
		}
		for _, p := range open {
			tb.Finish(now, p, Report{Result: Answered})
		}
		if left := tb.OwnLoads(); len(left) > 0 {
			rt.Fatalf("loads left after all requests ended: %v", left)
		}
	})
}
