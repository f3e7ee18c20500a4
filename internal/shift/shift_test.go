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

// Guards against a limiter whose sliding counts differ from the definition on
// the full list of requests. With a window that does not slide, the first case
// failed: "request 2 to a at 14s: limiter false, naive true".
func TestLimiterEqualsNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fraction := rapid.SampledFrom([]float64{0, 0.05, 0.1, 0.3, 1}).Draw(rt, "fraction")
		set := testRules(fraction, 2*time.Second, "a", "b", "c")
		start := rapid.SampledFrom([]Shares{{"a": 1}, {"a": 0.5, "b": 0.3, "c": 0.2}, {"b": 0.4}}).Draw(rt, "start")
		l := newLimiter(epoch, set, start, 7)
		s := l.series["s"]
		n := newNaive(epoch, s.limit, l.vector(start), s.phase)
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
				rt.Fatalf("request %d to %s at %v: limiter %v, naive %v", id, l.regions[i], now.Sub(epoch), got, want)
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

// distinctIDs returns ids that have places of their own in the table of
// refused requests, where the limiter counts each exactly once.
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

// fleet is several limiters with clocks of their own.
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

// decide sends one request of limiter i to the first allowed region.
func (f *fleet) decide(i int, wish ...model.Region) {
	f.id++
	now := epoch.Add(f.now + f.offsets[i])
	for _, r := range wish {
		if f.limiters[i].Allow(now, "s", r, f.id) {
			f.limiters[i].Sent(now, "s", r, f.id)
			f.sent = append(f.sent, fleetRequest{f.now, r, i})
			return
		}
	}
	f.limiters[i].Refused(now, "s", f.id)
	f.sent = append(f.sent, fleetRequest{f.now, "", i})
}

// worst returns the largest increase of a region's share from one window of
// the period to the next, over all instances together and all windows. The
// share before is that of each instance, weighted by its requests in the later
// window: more requests to one instance are not a shift.
func (f *fleet) worst(period time.Duration, r model.Region) (worst float64, at time.Duration) {
	lo, mid := 0, 0
	before, in := make([][2]int, len(f.limiters)), make([][2]int, len(f.limiters))
	for hi, q := range f.sent {
		count(in, q, r, 1)
		for f.sent[mid].at <= q.at-period {
			count(in, f.sent[mid], r, -1)
			count(before, f.sent[mid], r, 1)
			mid++
		}
		for f.sent[lo].at <= q.at-2*period {
			count(before, f.sent[lo], r, -1)
			lo++
		}
		if hi+1 < len(f.sent) && f.sent[hi+1].at == q.at || f.sent[0].at > q.at-2*period {
			continue
		}
		if w := increase(before, in); w > worst {
			worst, at = w, q.at
		}
	}
	return worst, at
}

func increase(before, in [][2]int) float64 {
	moved, all := 0.0, 0.0
	for i := range in {
		share := float64(before[i][1]) / math.Max(float64(before[i][0]), 1)
		moved += float64(in[i][1]) - share*float64(in[i][0])
		all += float64(in[i][0])
	}
	return moved / all
}

func count(c [][2]int, q fleetRequest, r model.Region, d int) {
	c[q.instance][0] += d
	if q.region == r {
		c[q.instance][1] += d
	}
}

// Guards against a shift faster than the cap over all instances together, in
// every window of the period: two shifts at once, all instances replaced one
// after the other, failed regions and their return, also within a period. With
// a window that does not slide it failed too. All instances are partitioned from each other: but for the position that a new
// one takes, they exchange nothing.
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
			phase := func(d time.Duration, wish ...model.Region) {
				for end := f.now + d; f.now < end; f.now += time.Millisecond {
					f.decide(r.IntN(len(f.limiters)), wish...)
				}
			}
			phase(3*period, "a", "b", "c")
			phase(2*period, "b", "a")
			phase(2*period, "c", "b", "a")
			for i := range f.limiters {
				f.limiters[i] = newLimiter(epoch.Add(f.now+f.offsets[i]), set, f.behind("c"), uint64(i+9))
				phase(period/5, "c", "b", "a")
			}
			phase(3*period, "c", "b", "a")
			f.lose("a")
			phase(4*period, "b", "c")
			phase(4*period, "a", "b", "c")
			f.lose("b")
			phase(period/2, "a", "c")
			phase(2*period, "b", "a", "c")
			f.lose("b")
			phase(period/10, "a", "c")
			phase(2*period, "b", "a", "c")
			for _, reg := range []model.Region{"a", "b", "c"} {
				w, at := f.worst(period, reg)
				t.Logf("%s: largest increase in a period %.4f, at %v", reg, w, at)
				if w > fraction {
					t.Errorf("%s: share rose by %.4f in a period, cap %v", reg, w, fraction)
				}
			}
		})
	}
}

func (f *fleet) lose(r model.Region) {
	for i, l := range f.limiters {
		l.RegionFailed(epoch.Add(f.now+f.offsets[i]), r)
	}
}

// behind returns the shares of the limiter with the least share of r.
func (f *fleet) behind(r model.Region) Shares {
	var best Shares
	for i, l := range f.limiters {
		if sh := l.Position(epoch.Add(f.now+f.offsets[i]), "s"); best == nil || sh[r] < best[r] {
			best = sh
		}
	}
	return best
}
