package steering

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jujubestile.example/jujubestile/internal/desired"
	_ "jujubestile.example/jujubestile/internal/fixedseed" // Property tests repeat.
	"jujubestile.example/jujubestile/internal/model"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var regions = map[model.Domain]model.Region{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"}

func everywhere(model.Region) bool { return true }

func newTable() *Table {
	t := New(Config{Self: "i1", Domain: "a1", Region: "a", Regions: regions, MaxShift: 0.15, Rand: rand.New(rand.NewPCG(1, 2))})
	t.SetServices(map[model.Service]desired.Service{"s": {Name: "s", ColdRate: 2, ColdStart: 3 * time.Second, HealthPath: "/health"}})
	t.SetInstances([]Instance{{"i1", "a"}})
	return t
}

func ep(id string, domain model.Domain, slots int) Endpoint {
	return Endpoint{ID: model.EndpointID(id), Service: "s", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Domain: domain, Slots: slots}
}

func req(object uint32) Request {
	return Request{Service: "s", Object: object, UntilDeadline: time.Second, UntilSoftDeadline: 180 * time.Millisecond, Target: 200 * time.Millisecond, Allows: everywhere}
}

// serve runs one request to its end, with the work of a hit or a miss.
func serve(t *testing.T, tb *Table, now time.Time, r Request, known map[string]bool) model.EndpointID {
	t.Helper()
	c := tb.Choose(now, r)
	if c.Pick == nil {
		t.Fatalf("refused: %s", c.Reason)
	}
	key := fmt.Sprint(c.Pick.ID, r.Object)
	work := 240 * time.Millisecond
	if known[key] {
		work = 72 * time.Millisecond
	}
	known[key] = true
	tb.Finish(now.Add(work+c.Pick.rtt), c.Pick, Report{Result: Answered})
	return c.Pick.ID
}

// An object keeps its endpoint, which knows it, as long as that has room.
func TestObjectsKeepTheirEndpoint(t *testing.T) {
	tb := newTable()
	for i := range 4 {
		tb.Put(ep(fmt.Sprint("e", i), "a1", 5), epoch)
	}
	known := map[string]bool{}
	now := epoch
	homes := map[uint32]model.EndpointID{}
	for round := range 5 {
		for object := uint32(1); object <= 20; object++ {
			now = now.Add(300 * time.Millisecond)
			id := serve(t, tb, now, req(object), known)
			if round > 0 && homes[object] != id {
				t.Fatalf("object %d moved from %s to %s", object, homes[object], id)
			}
			homes[object] = id
		}
	}
}

// Pattern: one hot object. Its endpoint must not queue while others are idle.
func TestHotObjectSpills(t *testing.T) {
	tb := newTable()
	for i := range 3 {
		tb.Put(ep(fmt.Sprint("e", i), "a1", 2), epoch)
	}
	used := map[model.EndpointID]int{}
	for range 6 {
		c := tb.Choose(epoch, Request{Service: "s", Object: 7, UntilDeadline: 5 * time.Second, UntilSoftDeadline: 5 * time.Second, Target: 200 * time.Millisecond, Allows: everywhere})
		if c.Pick == nil {
			t.Fatalf("refused: %s", c.Reason)
		}
		used[c.Pick.ID]++
	}
	if len(used) < 2 {
		t.Fatalf("six requests at once went to one endpoint of 2 slots: %v", used)
	}
}

// Pattern: overload of one kind of request. What would be late and make others

// late is refused at once, with a time to return within the caller's wait.
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
		if c.RetryAfter < minReturn || c.RetryAfter > 340*time.Millisecond {
			t.Fatalf("retry after %s of 1 s left", c.RetryAfter)
		}
	}
	if refused < 20 || refused > 28 {
		t.Fatalf("refused %d of 30 at an endpoint with 2 slots", refused)
	}
}

// A late request still gets a free slot: it harms nobody.
func TestLateRequestGetsAFreeSlot(t *testing.T) {
	tb := newTable()
	tb.Put(ep("e", "a1", 2), epoch)
	r := req(1)
	r.UntilSoftDeadline = -time.Second
	if c := tb.Choose(epoch, r); c.Pick == nil {
		t.Fatalf("refused with two free slots: %s", c.Reason)
	}
}

// The endpoint may be faster than expected, so a request with little time gets

// a free slot unless even a known object would take too long.
func TestDeadlineRefusesOnlyWhatCannotMakeIt(t *testing.T) {
	tb := newTable()
	tb.Put(ep("e", "a1", 2), epoch)
	r := req(1)
	r.UntilDeadline = 150 * time.Millisecond // An unknown object is expected to take 180 ms.
	if c := tb.Choose(epoch, r); c.Pick == nil {
		t.Fatalf("refused: %s", c.Reason)
	}
	r.UntilDeadline = 20 * time.Millisecond
	if c := tb.Choose(epoch, r); c.Reason != ReasonDeadline {
		t.Fatalf("reason %q, want deadline", c.Reason)
	}
}

// Pattern: two ranks share a service. The last slots are for the urgent one.
func TestUrgentRankTakesTheQueue(t *testing.T) {
	tb := newTable()
	tb.Put(ep("e", "a1", 2), epoch)
	for range 2 {
		tb.Choose(epoch, req(1))
	}
	bulk := req(2)
	bulk.Rank, bulk.UntilSoftDeadline = 2, time.Second
	if c := tb.Choose(epoch, bulk); c.Pick != nil {
		t.Fatal("bulk work was queued although urgent work uses the service")
	}
	if c := tb.Choose(epoch, req(1)); c.Pick == nil {
		t.Fatalf("urgent work was refused: %s", c.Reason)
	}
}

// Pattern: endpoints that return cold. One instance of the region sends within

// Pattern: one region has too little capacity. The share that leaves it grows

// After an outage of the store a missing entry counts as lapsed for a while; a

// An endpoint that cannot be reached gets nothing until a probe succeeds, and

// Pattern: endpoints are added to a service at work whose objects are all known.

// Pattern: probes lie. An endpoint that answers probes is tried again although

// Pattern: an endpoint fails requests while its probe is good. Its share falls

// Pattern: an endpoint takes four times as long. It is found and avoided, and

// Whatever happens, a request only goes where it may, and loads add up.
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
				home := rapid.SampledFrom([]model.Region{"a", "b", "c"}).Draw(rt, "home")
				r := req(uint32(rapid.IntRange(0, 5).Draw(rt, "object")))
				r.Allows = func(g model.Region) bool { return g == home }
				c := tb.Choose(now, r)
				if (c.Pick == nil) == (c.Reason == ReasonNone) {
					rt.Fatalf("pick %v with reason %q", c.Pick, c.Reason)
				}
				if c.Pick == nil {
					if c.RetryAfter <= 0 {
						rt.Fatal("refused without a time to return")
					}
					continue
				}
				e, ok := present[c.Pick.ID]
				if !ok || e.Leaving || evacuated[e.Domain] || regions[e.Domain] != home {
					rt.Fatalf("picked %+v, evacuated %v, home %s", e, evacuated, home)
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

// Pattern: all instances start together and every object is new. A share of

// What an earlier process knew is used, but not for an endpoint that has
