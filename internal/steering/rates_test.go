package steering

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/model"
)

// limitedFleet is a group of instances with one endpoint that names a rate limit. Each
// has a view of its own of which instances live.
type limitedFleet struct {
	tables  map[model.InstanceID]*Table
	members []Instance
	now     time.Time
	limit   float64
	named   bool
	// arrivals are the times of requests at the endpoint.
	arrivals []time.Time
}

func newLimitedFleet(n int) *limitedFleet {
	f := &limitedFleet{tables: map[model.InstanceID]*Table{}, now: epoch, named: true}
	for i := range n {
		f.members = append(f.members, Instance{ID: model.InstanceID(fmt.Sprint("i", i)), Region: "a"})
	}
	for i := range n {
		f.restart(i)
	}
	return f
}

// restart replaces an instance by a process that knows nothing of limits.
func (f *limitedFleet) restart(i int) {
	id := f.members[i].ID
	t := New(Config{Self: id, Domain: "a1", Region: "a", Regions: regions, MaxShift: 0.15, Rand: rand.New(rand.NewPCG(1, 2))})
	t.SetServices(map[model.Service]desired.Service{"s": {Name: "s", ColdRate: 2}})
	t.SetInstances(f.members)
	t.Put(ep("e", "a1", 5), f.now)
	f.tables[id] = t
}

// without returns the instances except one.
func (f *limitedFleet) without(i int) []Instance {
	return append(append([]Instance{}, f.members[:i]...), f.members[i+1:]...)
}

// share tells all instances what each knows of limits.
func (f *limitedFleet) share() {
	for _, from := range f.tables {
		limits := from.RateLimits(f.now)
		for _, to := range f.tables {
			to.MergeRateLimits(limits, f.now)
		}
	}
}

// run lets each instance have a request every 20 ms for a time, and share what it
// knows every 100 ms.
func (f *limitedFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(20 * time.Millisecond) {
		if f.now.Sub(epoch)%(100*time.Millisecond) == 0 {
			f.share()
		}
		for _, in := range f.members {
			t := f.tables[in.ID]
			c := t.Choose(f.now, req(1))
			if c.Pick == nil {
				continue
			}
			f.arrivals = append(f.arrivals, f.now)
			t.Finish(f.now, c.Pick, Report{Result: Answered})
			t.RecordRateLimit("e", f.limit, f.named, f.now)
		}
	}
}

// maxArrivals returns the largest number of requests within 4 s since a time.
func (f *limitedFleet) maxArrivals(since time.Time) int {
	most, first := 0, 0
	for i, at := range f.arrivals {
		for at.Sub(f.arrivals[first]) >= 4*time.Second || f.arrivals[first].Before(since) && first < i {
			first++
		}
		if !at.Before(since) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// Guards against instances that exceed the rate limit of an endpoint together while
// its owner changes, while two of them hold themselves for the owner, and after a
// restart of an instance, which has forgotten the limit.
func TestRateLimitIsKeptOverHandOvers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newLimitedFleet(6)
		f.limit = rapid.Float64Range(0.2, 6).Draw(t, "limit")
		f.run(time.Second)
		f.share()
		named := f.now
		for range rapid.IntRange(1, 4).Draw(t, "events") {
			i := rapid.IntRange(0, 5).Draw(t, "instance")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0: // All others miss one instance, which goes on.
				for j, in := range f.members {
					if j != i {
						f.tables[in.ID].SetInstances(f.without(i))
					}
				}
				f.run(rapid.SampledFrom([]time.Duration{time.Second, 3 * time.Second, 9 * time.Second}).Draw(t, "for"))
				for _, in := range f.members {
					f.tables[in.ID].SetInstances(f.members)
				}
			case 1: // One instance misses another.
				f.tables[f.members[i].ID].SetInstances(f.without((i + 1) % 6))
				f.run(3 * time.Second)
				f.tables[f.members[i].ID].SetInstances(f.members)
			case 2: // A new process is told before its first request.
				f.restart(i)
				f.share()
			}
			f.run(2 * time.Second)
		}
		if most, allowed := f.maxArrivals(named), int(1.5*f.limit*4)+5; most > allowed {
			t.Fatalf("%d requests in 4 s with a limit of %.2f/s, %d allowed", most, f.limit, allowed)
		}
	})
}

// Guards against a region that is cut into parts, in each of which an instance owns the
// endpoint, and against an owner that still sends little once the parts are joined.
func TestRateLimitIsKeptInACutRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 12
		f := newLimitedFleet(instances)
		f.limit = rapid.Float64Range(0.5, 6).Draw(t, "limit")
		f.run(time.Second)
		f.share()
		part := rapid.SliceOfN(rapid.IntRange(0, 3), instances, instances).Draw(t, "parts")
		cutAt := f.now
		for i, in := range f.members {
			seen := append([]Instance{}, f.members...)
			for j := range seen {
				seen[j].Silent = part[j] != part[i]
			}
			f.tables[in.ID].SetInstances(seen)
		}
		f.run(12 * time.Second)
		if most, allowed := f.maxArrivals(cutAt), int(1.5*f.limit*4)+5; most > allowed {
			t.Fatalf("%d requests in 4 s with a limit of %.2f/s, %d allowed", most, f.limit, allowed)
		}
		for _, in := range f.members {
			f.tables[in.ID].SetInstances(f.members)
		}
		f.run(8 * time.Second)
		if n, want := f.maxArrivals(f.now.Add(-4*time.Second)), int(ownerShare*f.limit*4)-1; n < want {
			t.Fatalf("%d requests in 4 s after the parts are joined, want %d", n, want)
		}
	})
}

// Guards against a changed limit that takes effect only after the pause of the one
// before, and against one that is kept after its end.
func TestRateLimitChangesAndEnds(t *testing.T) {
	f := newLimitedFleet(3)
	f.limit = 0 // The endpoint takes none, but still has to be asked whether it does.
	f.run(20 * time.Second)
	if n := f.maxArrivals(epoch.Add(time.Second)); n == 0 || n > 2 {
		t.Errorf("%d requests in 4 s with a limit of 0", n)
	}
	f.limit = 5
	f.run(12 * time.Second)
	if n := f.maxArrivals(f.now.Add(-4 * time.Second)); n < 10 || n > 35 {
		t.Errorf("%d requests in 4 s after the limit has risen to 5/s", n)
	}
	f.named = false
	f.run(5 * time.Second)
	if n := f.maxArrivals(f.now.Add(-4 * time.Second)); n < 500 {
		t.Errorf("%d requests in 4 s after the limit has ended", n)
	}
	for _, in := range f.members {
		if rate, named := f.tables[in.ID].RateLimit("e"); named {
			t.Errorf("%s still knows a limit of %g/s", in.ID, rate)
		}
	}
}

// Guards against a limit of an earlier process of an endpoint, or an older one, that
// another instance tells of.
func TestOlderRateLimitsAreIgnored(t *testing.T) {
	tb := newTable()
	e := ep("e", "a1", 3)
	e.Started = 1
	tb.Put(e, epoch)
	at := func(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }
	id := newEndpoint(e, epoch).wireID
	told := func(age time.Duration, now time.Time) { tb.MergeRateLimits([]RateLimit{{id, 3, true, age}}, now) }
	told(0, at(1))
	tb.RecordRateLimit("e", 0, false, at(2))
	told(time.Second, at(2.5))
	if _, named := tb.RateLimit("e"); named {
		t.Error("an older limit is in force after its end")
	}
	told(0, at(3))
	e.Started = 2
	tb.Put(e, at(4))
	told(2*time.Second, at(5))
	if _, named := tb.RateLimit("e"); named {
		t.Error("the limit of an earlier process is in force")
	}
	told(500*time.Millisecond, at(5))
	if _, named := tb.RateLimit("e"); !named {
		t.Error("the limit of the new process is not in force")
	}
}

// Guards against a request that waits, or has the wrong reason, when the only
// endpoint names a limit without room.
func TestRateLimitedRequestIsRefused(t *testing.T) {
	tb := newTable()
	tb.Put(ep("e", "a1", 3), epoch)
	tb.RecordRateLimit("e", 1, true, epoch)
	if c := tb.Choose(epoch, req(1)); c.Pick == nil {
		t.Fatalf("the owner's first request was refused: %s", c.Reason)
	}
	if c := tb.Choose(epoch.Add(time.Millisecond), req(1)); c.Pick != nil || c.Reason != ReasonRateLimited || c.RetryAfter <= 0 {
		t.Errorf("second request: %+v", c)
	}
}
