package shift

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "jujubestile.example/jujubestile/internal/fixedseed"

	"jujubestile.example/jujubestile/internal/model"
)

// TestRandomFleetKeepsToCap guards against shifts faster than the cap over all
// instances together, in any window. It runs random sequences of targets and
// region failures, with uneven request rates. When the bound used the share at
// the start of the window instead of the smallest one in it, shares rose by
// 0.0710 with a cap of 0.05; without a margin, by 0.1035 with a cap of 0.1.
func TestRandomFleetKeepsToCap(t *testing.T) {
	const period = 2 * time.Second
	regions := []model.Region{"a", "b", "c"}
	rapid.Check(t, func(rt *rapid.T) {
		fraction := rapid.SampledFrom([]float64{0.05, 0.1, 0.25, 0.5}).Draw(rt, "fraction")
		set := testRules(fraction, period, regions...)
		f := &fleet{}
		for range rapid.IntRange(1, 4).Draw(rt, "instances") {
			f.add(set, Shares{"a": 1})
		}
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		for range rapid.IntRange(3, 10).Draw(rt, "phases") {
			preferred := rapid.Permutation(regions).Draw(rt, "wish")
			if rapid.IntRange(0, 2).Draw(rt, "lose") == 0 {
				f.failRegion(preferred[0])
				preferred = preferred[1:]
			}
			d := time.Duration(rapid.IntRange(50, 5000).Draw(rt, "ms")) * time.Millisecond
			for end := f.now + d; f.now < end; f.now += time.Millisecond {
				// The first instance gets more than half of the requests.
				f.send(max(r.IntN(2*len(f.limiters))-len(f.limiters), 0), preferred...)
			}
		}
		if len(f.sent) == 0 {
			return
		}
		for _, reg := range regions {
			if w, at := f.largestIncrease(period, reg); w > fraction+1e-9 {
				rt.Fatalf("share of %s rose by %.4f in the period that ends at %v, cap %v", reg, w, at, fraction)
			}
		}
	})
}

// TestPositionsStartFromFurthestBehind guards against a new instance that starts
// ahead of its peers, or before it knows their positions. It also checks that
// instances with the same positions exchange nothing, that old positions expire
// and that malformed ones are rejected.
func TestPositionsStartFromFurthestBehind(t *testing.T) {
	now := epoch
	clock := func() time.Time { return now }
	target := Shares{"a": 0.2, "b": 0.8}
	ahead, behind := NewPositions("i1", "a", clock), NewPositions("i2", "b", clock)
	ahead.Publish(1, "s", Shares{"a": 0.4, "b": 0.6}, target)
	behind.Publish(1, "s", Shares{"a": 0.7, "b": 0.3}, target)
	joined := NewPositions("i3", "a", clock)
	exchange := func(from, to *Positions) {
		news := from.News(to.Digest())
		if news == nil {
			return
		}
		if _, err := to.Merge(news); err != nil {
			t.Fatal(err)
		}
	}
	if joined.Ready() {
		t.Error("ready before any news of a peer")
	}
	exchange(ahead, joined)
	exchange(behind, joined)
	if !joined.Ready() {
		t.Error("not ready after news of peers")
	}
	if sh, ok := joined.StartShares("s", true); !ok || sh["b"] != 0.3 {
		t.Errorf("starts from %v, want the position furthest from the target", sh)
	}
	if sh, ok := joined.StartShares("s", false); !ok || sh["b"] != 0.6 {
		t.Errorf("without global weights starts from %v, want the position of its own region", sh)
	}
	for range 2 {
		exchange(joined, ahead)
		exchange(ahead, joined)
		exchange(behind, ahead)
		exchange(ahead, behind)
	}
	if ahead.News(joined.Digest()) != nil || behind.News(ahead.Digest()) != nil {
		t.Error("instances with the same positions exchange news")
	}
	now = now.Add(entryTTL + time.Second)
	if _, ok := joined.StartShares("s", true); ok {
		t.Error("an expired position is used")
	}
	for _, bad := range []string{"", "{", `[{"Shares":{"a":2}}]`, `[{"AgeMillis":-1}]`, `[{"Distance":9}]`} {
		if _, err := joined.Merge([]byte(bad)); err == nil {
			t.Errorf("malformed news %q was accepted", bad)
		}
	}
}

// TestReplacedInstanceKeepsToCap guards against a new instance that starts from
// the current shares of a peer. They are up to the cap above the peer's position
// at the start of its window: started from them, the share rose by 0.1006 with a
// cap of 0.1.
func TestReplacedInstanceKeepsToCap(t *testing.T) {
	const period, fraction = 10 * time.Second, 0.1
	set := testRules(fraction, period, "a", "b")
	for _, after := range []time.Duration{period / 2, period, 3 * period / 2, 7 * period / 4, 5 * period / 2} {
		f := &fleet{}
		f.add(set, Shares{"a": 1})
		f.add(set, Shares{"a": 1})
		run := func(d time.Duration) {
			for end := f.now + d; f.now < end; f.now += time.Millisecond {
				f.send(int(f.now/time.Millisecond)%2, "b", "a")
			}
		}
		run(after)
		peer := f.limiters[1].Position(epoch.Add(f.now+f.offsets[1]), "s")
		f.limiters[0] = newLimiter(epoch.Add(f.now+f.offsets[0]), set, peer, 8)
		run(2*period + after/2)
		if w, at := f.largestIncrease(period, "b"); w > fraction {
			t.Errorf("replaced after %v: share rose by %.4f in the period that ends at %v, above the cap", after, w, at)
		}
	}
}

// TestFailedRegionReturnsAtCap guards against a failed region that gets its
// former share back at once when it returns. When the limiter ignored failures,
// 7188 of 10000 requests went to it.
func TestFailedRegionReturnsAtCap(t *testing.T) {
	const period, fraction = 10 * time.Second, 0.1
	f := &fleet{}
	f.add(testRules(fraction, period, "a", "b"), Shares{"a": 0.5, "b": 0.5})
	run := func(d time.Duration, preferred ...model.Region) (toB, n int) {
		first := len(f.sent)
		for end := f.now + d; f.now < end; f.now += time.Millisecond {
			f.send(0, preferred...)
		}
		for _, q := range f.sent[first:] {
			if n++; q.region == "b" {
				toB++
			}
		}
		return toB, n
	}
	run(2*period, "b", "a")
	f.failRegion("b")
	run(period/20, "a")
	if b, n := run(period, "b", "a"); float64(b) > fraction*float64(n) {
		t.Errorf("%d of %d requests went to the region that returned, above the cap", b, n)
	}
}
