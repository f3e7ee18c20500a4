package balance

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"jujubestile.example/jujubestile/internal/dispatch"
	"jujubestile.example/jujubestile/internal/model"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func listOf(n int) []model.Endpoint {
	var l []model.Endpoint
	for i := range n {
		l = append(l, model.Endpoint{ID: id(i), Service: "s", Region: "r", Slots: 4})
	}
	return l
}

func id(i int) model.EndpointID { return model.EndpointID(fmt.Sprintf("e%d", i)) }

func newBalancer(n int) *Balancer {
	b := New(Config{Instance: "i", Rand: rand.New(rand.NewPCG(1, 2))})
	b.SetEndpoints(start, listOf(n))
	return b
}

// play sends requests one at a time with the given ending and counts them.
func play(b *Balancer, now time.Time, n int, end func(e model.Endpoint, o *dispatch.Observation)) map[model.EndpointID]int {
	count := map[model.EndpointID]int{}
	for range n {
		e, ok := b.Pick(now, "s", "r", nil)
		if !ok {
			count["none"]++
			continue
		}
		count[e.ID]++
		o := dispatch.Observation{Endpoint: e, Latency: 20 * time.Millisecond, Status: 200, Utilization: -1}
		end(e, &o)
		b.Observe(now, o)
		now = now.Add(time.Millisecond)
	}
	return count
}

func answer(model.Endpoint, *dispatch.Observation) {}

func failOn(bad ...model.EndpointID) func(model.Endpoint, *dispatch.Observation) {
	return func(e model.Endpoint, o *dispatch.Observation) {
		for _, b := range bad {
			if e.ID == b {
				o.Err, o.Latency = dispatch.ErrInterrupted, time.Microsecond
			}
		}
	}
}

// Guards against new work for a leaving endpoint because a lagging list still
// shows it as serving (P6), and against one that stays out for ever.
func TestLeaving(t *testing.T) {
	Convey("a leaving endpoint", t, func() {
		b := newBalancer(2)
		leaving := listOf(2)
		leaving[0].Leaving = true
		b.SetEndpoints(start, leaving)
		out := func(now time.Time) bool { return play(b, now, 50, answer)["e0"] == 0 }
		So(out(start), ShouldBeTrue)

		Convey("stays out whatever an older list says", func() {
			b.SetEndpoints(start.Add(time.Second), listOf(2))
			So(out(start.Add(time.Second)), ShouldBeTrue)
			b.SetEndpoints(start.Add(59*time.Second), listOf(2))
			So(out(start.Add(59*time.Second)), ShouldBeTrue)
		})
		Convey("returns after 60 s", func() {
			b.SetEndpoints(start.Add(61*time.Second), listOf(2))
			So(out(start.Add(80*time.Second)), ShouldBeFalse)
		})
		Convey("returns after a list lacked it", func() {
			b.SetEndpoints(start.Add(time.Second), listOf(2)[1:])
			b.SetEndpoints(start.Add(2*time.Second), listOf(2))
			So(out(start.Add(20*time.Second)), ShouldBeFalse)
		})
		Convey("stays out after a notice without a list", func() {
			b.Leave(start, "e1")
			So(play(b, start, 10, answer)["none"], ShouldEqual, 10)
		})
	})
}

// fails lets e0 fail n times in a row.
func fails(b *Balancer, n int) {
	for range n {
		b.Observe(start, dispatch.Observation{Endpoint: listOf(1)[0], Err: dispatch.ErrInterrupted, Utilization: -1})
	}
}

// Guards against work for an endpoint that fails, against its return without a
// probe, and against more than one request at a time as the probe.
func TestEjection(t *testing.T) {
	Convey("an endpoint that fails three times in a row is ejected", t, func() {
		b := newBalancer(4)
		fails(b, ejectAfter-1)
		So(b.endpoints["e0"].ejected, ShouldBeFalse)
		fails(b, 1)
		So(play(b, start, 400, answer)["e0"], ShouldEqual, 0)

		Convey("and gets one probe at a time", func() {
			now := start.Add(2 * time.Second)
			picked := 0
			for range 50 {
				if e, _ := b.Pick(now, "s", "r", nil); e.ID == "e0" {
					picked++
				}
			}
			So(picked, ShouldEqual, 1)
		})
		Convey("and stays out after a failed probe", func() {
			So(play(b, start.Add(2*time.Second), 400, failOn("e0"))["e0"], ShouldEqual, 1)
		})
		Convey("and returns after a good one", func() {
			play(b, start.Add(2*time.Second), 1, answer)
			So(play(b, start.Add(20*time.Second), 400, answer)["e0"], ShouldBeGreaterThan, 50)
		})
	})
	Convey("a refused connection ejects at once", t, func() {
		b := newBalancer(4)
		n := play(b, start, 400, func(e model.Endpoint, o *dispatch.Observation) {
			if e.ID == "e0" {
				o.Err = dispatch.ErrNotSent
			}
		})
		So(n["e0"], ShouldEqual, 1)
	})
	Convey("with active probes no request is a probe", t, func() {
		b := newBalancer(4)
		b.cfg.ActiveProbes = true
		fails(b, ejectAfter)
		now := start.Add(2 * time.Second)
		So(play(b, now, 200, answer)["e0"], ShouldEqual, 0)
		So(b.DueProbes(now), ShouldHaveLength, 1)
		So(b.DueProbes(now), ShouldHaveLength, 0)
		b.Probed(now, "e0", true)
		So(play(b, now.Add(20*time.Second), 400, answer)["e0"], ShouldBeGreaterThan, 50)
	})
}

// Guards against a lost endpoint that costs three requests, and against one
// that stays out although it is well and only one connection broke.
func TestSuspectIsProbed(t *testing.T) {
	Convey("an endpoint that did not answer", t, func() {
		b := newBalancer(4)
		b.cfg.ActiveProbes = true
		fails(b, 1)
		So(b.DueProbes(start), ShouldHaveLength, 1)
		Convey("is ejected by failed probes", func() {
			b.Probed(start, "e0", false)
			So(b.endpoints["e0"].ejected, ShouldBeFalse)
			So(b.DueProbes(start), ShouldHaveLength, 1)
			b.Probed(start, "e0", false)
			So(b.endpoints["e0"].ejected, ShouldBeTrue)
		})
		Convey("returns after a good probe", func() {
			So(b.endpoints["e0"].aside(start), ShouldBeTrue)
			b.Probed(start, "e0", true)
			So(b.endpoints["e0"].aside(start), ShouldBeFalse)
			So(b.DueProbes(start), ShouldHaveLength, 0)
		})
		Convey("is reported to others once ejected, and probed by them", func() {
			b.Probed(start, "e0", false)
			So(b.Ejected(), ShouldBeEmpty)
			b.DueProbes(start)
			b.Probed(start, "e0", false)
			So(b.Ejected(), ShouldResemble, []model.EndpointID{"e0"})

			other := newBalancer(4)
			other.cfg.ActiveProbes = true
			other.Observe(start, dispatch.Observation{Endpoint: listOf(4)[1], Status: 200, Utilization: -1})
			for _, id := range []model.EndpointID{"e0", "e1", "unknown"} {
				other.Suspect(start, id)
			}
			So(play(other, start, 100, answer)["e0"], ShouldEqual, 0)
			So(other.DueProbes(start), ShouldHaveLength, 1) // e1 has just answered
		})
		Convey("is not affected by a probe that nobody started", func() {
			b.Probed(start, "e1", false)
			So(b.endpoints["e1"].inARow, ShouldEqual, 0)
		})
	})
}

// Guards against concentrating all work on the few endpoints that look healthy
// when the measurement itself is at fault, and against refusing all work; but a
// refusal with Retry-After is no sign of a fault.
func TestDistrust(t *testing.T) {
	Convey("when most endpoints look unhealthy, all are used", t, func() {
		b := newBalancer(4)
		play(b, start, 200, failOn("e0", "e1", "e2", "e3"))
		So(b.Usable("s"), ShouldEqual, 1)
		n := map[model.EndpointID]int{}
		for range 400 {
			e, _ := b.Pick(start.Add(300*time.Millisecond), "s", "r", nil)
			b.Cancel(e.ID)
			n[e.ID]++
		}
		for i := range 4 {
			So(n[id(i)], ShouldBeGreaterThan, 10)
		}
	})
	Convey("when the others ask for a pause, an ejected endpoint stays out", t, func() {
		b := newBalancer(4)
		fails(b, ejectAfter)
		for _, e := range listOf(4)[1:] {
			b.Observe(start, dispatch.Observation{Endpoint: e, Err: dispatch.ErrRefused, RetryAfter: time.Second, Utilization: -1})
		}
		n := play(b, start, 100, answer)
		So(n["e0"]+n["none"], ShouldEqual, 0)
	})
}

// Guards against work that goes on to a lost region because its endpoints, all
// failing, look like a fault of the measurement; also after a new list.
func TestLostRegionIsNotDistrusted(t *testing.T) {
	Convey("a region without a healthy endpoint gets nothing while others are well", t, func() {
		b := newBalancer(0)
		list := listOf(9)
		for i := range list {
			list[i].Region = []model.Region{"r", "q", "p"}[i%3]
		}
		b.SetEndpoints(start, list)
		for _, e := range list[:9] {
			if e.Region == "r" {
				b.Observe(start, dispatch.Observation{Endpoint: e, Err: dispatch.ErrNotSent, Utilization: -1})
			}
		}
		b.SetEndpoints(start, list)
		So(play(b, start, 20, answer)["none"], ShouldEqual, 20)
		So(b.Usable("s"), ShouldAlmostEqual, 2.0/3)
		So(b.UsableIn("s", "r"), ShouldEqual, 0)
		So(b.UsableIn("s", "q"), ShouldEqual, 1)
		So(b.UsableIn("s", "nowhere"), ShouldEqual, 0)
		_, ok := b.Pick(start, "s", "q", nil)
		So(ok, ShouldBeTrue)
	})
}

// Guards against endpoints that attract work without being fast: fast
// failures, fast refusals, and idle reports from slow endpoints.
func TestMisleadingEndpoints(t *testing.T) {
	Convey("an endpoint that answers 500 at once gets no more than its share", t, func() {
		calls := 0
		b := newBalancer(4)
		n := play(b, start, 1000, func(e model.Endpoint, o *dispatch.Observation) {
			if e.ID != "e0" {
				return
			}
			o.Latency = time.Millisecond
			if calls++; calls%2 == 0 { // it is never ejected
				o.Status = 500
			}
		})
		So(n["e0"], ShouldBeLessThan, 100)
		So(b.endpoints["e0"].latency, ShouldBeGreaterThan, b.endpoints["e1"].latency)
	})
	Convey("an endpoint that refuses at once gets no more than its share", t, func() {
		n := play(newBalancer(4), start, 1000, func(e model.Endpoint, o *dispatch.Observation) {
			if e.ID == "e0" {
				o.Err, o.Latency = dispatch.ErrRefused, time.Microsecond
			}
		})
		So(n["e0"], ShouldBeLessThan, 100)
	})
	Convey("a slow endpoint that reports idle gets little", t, func() {
		n := play(newBalancer(4), start, 1000, func(e model.Endpoint, o *dispatch.Observation) {
			o.Utilization = 0.5
			if e.ID == "e0" {
				o.Latency, o.Utilization = 200*time.Millisecond, 0
			}
		})
		So(n["e0"], ShouldBeLessThan, 100)
	})
	Convey("a cancelled slow attempt counts against its endpoint", t, func() {
		n := play(newBalancer(4), start, 1000, func(e model.Endpoint, o *dispatch.Observation) {
			if e.ID == "e0" {
				o.Err, o.Latency, o.Censored = dispatch.ErrInterrupted, 200*time.Millisecond, true
			}
		})
		So(n["e0"], ShouldBeLessThan, 100)
	})
}

// Guards against full load on a cold endpoint, and against none at all.
func TestRamp(t *testing.T) {
	Convey("a new endpoint gets its share over 10 s", t, func() {
		b := newBalancer(4)
		play(b, start, 100, answer)
		b.SetEndpoints(start, listOf(5))
		share := func(after time.Duration) float64 {
			now := start.Add(after)
			return float64(play(b, now, 1000, answer)["e4"]) / 1000
		}
		So(share(0), ShouldBeBetween, 0.0, 0.04)
		So(share(5*time.Second), ShouldBeBetween, 0.06, 0.17)
		So(share(15*time.Second), ShouldBeBetween, 0.15, 0.25)

		Convey("again when it returns at another address", func() {
			moved := listOf(5)
			moved[4].Addr = netip.MustParseAddrPort("127.0.0.1:1")
			b.SetEndpoints(start.Add(30*time.Second), moved)
			So(share(30*time.Second), ShouldBeBetween, 0.0, 0.04)
		})
	})
}

// Guards against a waiting request that queues at a busy endpoint while the slot
// that an answer has just freed stays empty.
func TestJustFreed(t *testing.T) {
	b, other := newBalancer(8), 0
	for i := range 200 {
		e, _ := b.Pick(start, "s", "r", nil)
		if i > 0 && e.ID != "e3" {
			other++
		}
		b.Cancel(e.ID)
		b.Observe(start, dispatch.Observation{Endpoint: listOf(8)[3], Latency: 20 * time.Millisecond, Status: 200, Utilization: 0.5})
	}
	if other > 0 {
		t.Errorf("%d of 199 requests did not go to the endpoint that had just answered", other)
	}
}

// Guards against old measurements that keep steering work after measurements
// stopped.
func TestDecayToEqualWeights(t *testing.T) {
	Convey("loads decay to equal weights", t, func() {
		b := newBalancer(4)
		play(b, start, 400, func(e model.Endpoint, o *dispatch.Observation) {
			if e.ID == "e0" {
				o.Latency, o.Utilization = 400*time.Millisecond, 1
			}
		})
		count := func(now time.Time) int {
			n := 0
			for range 1000 {
				e, _ := b.Pick(now, "s", "r", nil)
				b.Cancel(e.ID)
				if e.ID == "e0" {
					n++
				}
			}
			return n
		}
		So(count(start.Add(time.Second)), ShouldBeLessThan, 100)
		for i := range 4 {
			So(b.endpoints[id(i)].cost(start.Add(2*time.Minute)), ShouldAlmostEqual, b.endpoints["e0"].cost(start.Add(2*time.Minute)), 1e4)
		}
	})
}

// Guards against more than 700 connections to an endpoint and against an
// uneven spread of the subsets.
func TestSubsetEvenness(t *testing.T) {
	for _, c := range []struct {
		instances, endpoints, most int
		ratio                      float64
	}{
		{20, 12, 20, 1}, {4900, 600, 700, 1.5}, {4900, 60, 700, 1.2}, {4900, 12, 700, 1.2},
	} {
		size := SubsetSize(c.endpoints, c.instances)
		use := make([]int, c.endpoints)
		all := make([]*endpoint, c.endpoints)
		index := map[*endpoint]int{}
		for j, l := range listOf(c.endpoints) {
			all[j] = &endpoint{Endpoint: l}
			index[all[j]] = j
		}
		for i := range c.instances {
			b := New(Config{Instance: model.InstanceID(fmt.Sprintf("lagos-a-%d", i))})
			b.instances = c.instances
			for _, e := range b.newPool(&group{}, slices.Clone(all), nil).subset {
				use[index[e]]++
			}
		}
		lowest, highest := use[0], use[0]
		for _, n := range use {
			lowest, highest = min(lowest, n), max(highest, n)
		}
		mean := float64(size*c.instances) / float64(c.endpoints)
		t.Logf("instances=%d endpoints=%d subset=%d mean=%.0f lowest=%d highest=%d", c.instances, c.endpoints, size, mean, lowest, highest)
		if highest > c.most || float64(highest) > c.ratio*mean {
			t.Errorf("instances=%d endpoints=%d: highest %d, mean %.0f", c.instances, c.endpoints, highest, mean)
		}
	}
}
