package shift

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testRules(fraction float64, period time.Duration, regions ...model.Region) *rules.Set {
	set := &rules.Set{
		Regions:  map[model.Region][]model.Domain{},
		Services: map[model.Service]model.Priority{"s": 1},
		Shifts:   map[model.Service]rules.ShiftCap{"s": {Fraction: fraction, Period: period}},
	}
	for _, r := range regions {
		set.Regions[r] = []model.Domain{model.Domain(r + "-a")}
	}
	return set
}

func newLimiter(now time.Time, set *rules.Set, start Shares, seed uint64) *Limiter {
	l := New(rand.New(rand.NewPCG(seed, 1)))
	l.SetRules(now, set, func(model.Service) Shares { return start })
	return l
}

// TestLimiterMatchesReference guards against a limiter whose sliding counts
// differ from the definition applied to the full list of requests. With a window
// that does not slide, the test fails in its first case: the limiter refuses
// request 2 to region a at 14 s, which the reference model allows.
func TestLimiterMatchesReference(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fraction := rapid.SampledFrom([]float64{0, 0.05, 0.1, 0.3, 1}).Draw(rt, "fraction")
		set := testRules(fraction, 2*time.Second, "a", "b", "c")
		start := rapid.SampledFrom([]Shares{{"a": 1}, {"a": 0.5, "b": 0.3, "c": 0.2}, {"b": 0.4}}).Draw(rt, "start")
		l := newLimiter(epoch, set, start, 7)
		s := l.services["s"]
		n := newReference(epoch, s.limit, l.shareVector(start), s.phase)
		now := epoch
		bias := rapid.IntRange(0, 2).Draw(rt, "bias")
		ids := distinctIDs()
		for id := 1; id < len(ids); id++ {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 7, 30, 110, 400}).Draw(rt, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 99).Draw(rt, "idle") == 0 {
				now = now.Add(7 * time.Second)
			}
			i := bias
			if rapid.IntRange(0, 3).Draw(rt, "other") == 0 {
				i = rapid.IntRange(0, 2).Draw(rt, "region")
			}
			key := ids[id-rapid.IntRange(0, 1).Draw(rt, "again")]
			got, want := l.Allow(now, "s", l.regions[i], key), n.allow(now, i, key)
			if got != want {
				rt.Fatalf("request %d to %s at %v: limiter %v, reference model %v", id, l.regions[i], now.Sub(epoch), got, want)
			}
			if got {
				l.Sent(now, "s", l.regions[i], key)
				n.add(now, i, key)
				continue
			}
			l.Refused(now, "s", key)
			n.add(now, -1, key)
		}
	})
}

// distinctIDs returns IDs with different indexes in the table of refused
// requests, so that the limiter counts each refused request exactly once.
func distinctIDs() []uint64 {
	var ids []uint64
	seen := map[uint64]bool{}
	for id := uint64(1); len(ids) < 150; id++ {
		if place := id * 0x9e3779b97f4a7c15 >> 56; !seen[place] {
			seen[place] = true
			ids = append(ids, id)
		}
	}
	return ids
}

// fleet is the limiters of several instances, each with its own clock.
type fleet struct {
	limiters []*Limiter
	offsets  []time.Duration
	now      time.Duration
	sent     []fleetRequest
	id       uint64
}

type fleetRequest struct {
	at       time.Duration
	region   model.Region
	instance int
}

func (f *fleet) add(set *rules.Set, start Shares) {
	offset := time.Duration(len(f.limiters)) * 1234567 * time.Microsecond
	f.offsets = append(f.offsets, offset)
	f.limiters = append(f.limiters, newLimiter(epoch.Add(f.now+offset), set, start, uint64(len(f.limiters))))
}

// send sends one request of instance i to the first allowed region, or counts
// it as refused.
func (f *fleet) send(i int, preferred ...model.Region) {
	f.id++
	now := epoch.Add(f.now + f.offsets[i])
	for _, r := range preferred {
		if f.limiters[i].Allow(now, "s", r, f.id) {
			f.limiters[i].Sent(now, "s", r, f.id)
			f.sent = append(f.sent, fleetRequest{f.now, r, i})
			return
		}
	}
	f.limiters[i].Refused(now, "s", f.id)
	f.sent = append(f.sent, fleetRequest{f.now, "", i})
}

// largestIncrease returns the largest increase of a region's share from one
// period to the next, over all instances together and all pairs of consecutive
// periods, and when the second period ends. The share in the first period is
// taken per instance and weighted by the instance's requests in the second one,
// because a change of the load between instances is not a shift.
func (f *fleet) largestIncrease(period time.Duration, r model.Region) (largest float64, at time.Duration) {
	lo, mid := 0, 0
	before, in := make([][2]int, len(f.limiters)), make([][2]int, len(f.limiters))
	for hi, q := range f.sent {
		addRequest(in, q, r, 1)
		for f.sent[mid].at <= q.at-period {
			addRequest(in, f.sent[mid], r, -1)
			addRequest(before, f.sent[mid], r, 1)
			mid++
		}
		for f.sent[lo].at <= q.at-2*period {
			addRequest(before, f.sent[lo], r, -1)
			lo++
		}
		if hi+1 < len(f.sent) && f.sent[hi+1].at == q.at || f.sent[0].at > q.at-2*period {
			continue
		}
		if w := increase(before, in); w > largest {
			largest, at = w, q.at
		}
	}
	return largest, at
}

// increase returns the increase of a share between two windows. Each element
// holds the number of all requests of an instance and of those to the region.
func increase(before, in [][2]int) float64 {
	moved, all := 0.0, 0.0
	for i := range in {
		share := float64(before[i][1]) / math.Max(float64(before[i][0]), 1)
		moved += float64(in[i][1]) - share*float64(in[i][0])
		all += float64(in[i][0])
	}
	return moved / all
}

func addRequest(c [][2]int, q fleetRequest, r model.Region, d int) {
	c[q.instance][0] += d
	if q.region == r {
		c[q.instance][1] += d
	}
}

// TestFleetKeepsToCap guards against shifts faster than the cap over all
// instances together, in any window of the period: with two shifts at once, with
// all instances replaced one after the other, and with regions that fail and
// return, also within a period. Instances do not communicate, except that a new
// one takes the position of another. The test fails with a window that does not
// slide.
func TestFleetKeepsToCap(t *testing.T) {
	const period = 10 * time.Second
	for _, fraction := range []float64{0.05, 0.1, 0.25} {
		t.Run(fmt.Sprint(fraction), func(t *testing.T) {
			set := testRules(fraction, period, "a", "b", "c")
			f := &fleet{}
			for range 5 {
				f.add(set, Shares{"a": 1})
			}
			r := rand.New(rand.NewPCG(3, 4))
			phase := func(d time.Duration, preferred ...model.Region) {
				for end := f.now + d; f.now < end; f.now += time.Millisecond {
					f.send(r.IntN(len(f.limiters)), preferred...)
				}
			}
			phase(3*period, "a", "b", "c")
			phase(2*period, "b", "a")
			phase(2*period, "c", "b", "a")
			for i := range f.limiters {
				f.limiters[i] = newLimiter(epoch.Add(f.now+f.offsets[i]), set, f.furthestBehind("c"), uint64(i+9))
				phase(period/5, "c", "b", "a")
			}
			phase(3*period, "c", "b", "a")
			f.failRegion("a")
			phase(4*period, "b", "c")
			phase(4*period, "a", "b", "c")
			f.failRegion("b")
			phase(period/2, "a", "c")
			phase(2*period, "b", "a", "c")
			f.failRegion("b")
			phase(period/10, "a", "c")
			phase(2*period, "b", "a", "c")
			for _, reg := range []model.Region{"a", "b", "c"} {
				w, at := f.largestIncrease(period, reg)
				t.Logf("%s: largest increase in a period %.4f, at %v", reg, w, at)
				if w > fraction {
					t.Errorf("%s: share rose by %.4f in a period, cap %v", reg, w, fraction)
				}
			}
		})
	}
}

// failRegion reports the failure of a region to all limiters.
func (f *fleet) failRegion(r model.Region) {
	for i, l := range f.limiters {
		l.RegionFailed(epoch.Add(f.now+f.offsets[i]), r)
	}
}

// furthestBehind returns the position with the smallest share of region r.
func (f *fleet) furthestBehind(r model.Region) Shares {
	var best Shares
	for i, l := range f.limiters {
		if sh := l.Position(epoch.Add(f.now+f.offsets[i]), "s"); best == nil || sh[r] < best[r] {
			best = sh
		}
	}
	return best
}
