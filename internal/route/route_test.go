package route

import (
	"errors"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "jujubestile.example/jujubestile/internal/fixedseed"

	"jujubestile.example/jujubestile/internal/admission"
	"jujubestile.example/jujubestile/internal/capacity"
	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
	"jujubestile.example/jujubestile/internal/shift"
	"jujubestile.example/jujubestile/internal/store"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testRules(services int, regions ...model.Region) *rules.Set {
	set := &rules.Set{
		Regions:      map[model.Region][]model.Domain{},
		Services:     map[model.Service]model.Priority{},
		Capacity:     map[rules.RegionService]int{},
		Links:        map[rules.Link]int64{},
		Weights:      map[model.Service]map[model.Region]float64{},
		Shifts:       map[model.Service]rules.ShiftCap{},
		DrainDomains: map[model.Domain]bool{},
	}
	for i := range services {
		svc := model.Service(string(rune('s')) + string(rune('0'+i%10)) + string(rune('0'+i/10%10)) + string(rune('0'+i/100)))
		set.Services[svc] = model.PriorityNormal
		for _, r := range regions {
			set.Regions[r] = []model.Domain{model.Domain(r + "-a")}
			set.Capacity[rules.RegionService{Region: r, Service: svc}] = 4
		}
	}
	return set
}

const svc = model.Service("s000")

// bench is a router of an instance in region a that owns all of a's slots and
// has borrowed lent slots of svc in each other region.
type bench struct {
	now     time.Time
	state   *capacity.State
	limiter *shift.Limiter
	signals *Signals
	router  *Router
	seq     uint64
}

func newBench(tb testing.TB, set *rules.Set, lent int) *bench {
	b := &bench{now: epoch, signals: NewSignals()}
	b.state = capacity.New(b.now, capacity.Config{
		Self: "i", Incarnation: 1, Region: "a", Rand: rand.New(rand.NewPCG(1, 2)), Freed: b.signals.Signal,
	})
	b.limiter = shift.New(rand.New(rand.NewPCG(3, 4)))
	h := shift.NewPositions("i", "a", func() time.Time { return b.now })
	h.MarkReady()
	b.router = New(Config{Region: "a", Incarnation: 1, Capacity: b.state, Limiter: b.limiter, Handover: h, Signals: b.signals})
	b.router.SetRules(b.now, set)
	b.state.SetMembers(b.now, nil)
	b.own(tb)
	b.router.Tick(b.now)
	for r := range set.Regions {
		if r != "a" && lent > 0 {
			b.borrow(tb, r, lent)
		}
	}
	return b
}

// own makes the instance claim all slots of its region.
func (b *bench) own(tb testing.TB) {
	b.state.ApplyListing(b.now, b.state.ReadClock(b.now), map[model.InstanceID]bool{"i": true})
	for rev := store.Revision(0); ; rev++ {
		var value []byte
		if rev > 0 {
			c := b.state.Propose(b.now)
			if c == nil {
				return
			}
			value, _ = c.Record.Marshal()
		}
		if err := b.state.ApplyRecord(b.now, b.state.ReadClock(b.now), store.KeyValue{Value: value, Revision: rev}); err != nil {
			tb.Fatal(err)
		}
	}
}

// borrow makes the instance ask a peer in the region and get n slots.
func (b *bench) borrow(tb testing.TB, r model.Region, n int) {
	k := capacity.Key{Region: r, Service: svc}
	b.state.SetPeers([]capacity.Peer{{ID: "p", Region: r}})
	for b.state.Usable(b.now, k) < n {
		for range n {
			b.state.ReportUnmet(b.now, k, model.PriorityNormal, false)
		}
		asks, _ := b.state.Plan(b.now)
		for _, a := range asks {
			b.seq++
			id := capacity.LoanID{Seq: b.seq}
			count := min(a.Args.Want[0].Count, n-b.state.Usable(b.now, k))
			b.state.HandleBorrowReply(b.now, a, &capacity.BorrowReply{Loans: []capacity.Loan{{ID: id, Key: k, Count: count}}})
		}
	}
	if got := b.state.Usable(b.now, k); got != n {
		tb.Fatalf("borrowed %d slots in %s, want %d", got, r, n)
	}
}

func (b *bench) need() forward.AdmissionRequest {
	return forward.AdmissionRequest{Service: svc, Priority: model.PriorityNormal, Deadline: b.now.Add(time.Second), Bytes: 1000}
}

// Guards against a choice by chance or with a burst after a region was left
// out: after each choice the counts are within one request of the weights.
func TestWeightedCountsWithinOne(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		weights := map[model.Region]float64{}
		sum := 0.0
		for i := range rapid.IntRange(1, 10).Draw(rt, "regions") {
			w := rapid.Float64Range(0.01, 1).Draw(rt, "weight")
			weights[model.Region(rune('a'+i))] = w
			sum += w
		}
		w := newWeighted(weights)
		counts := map[model.Region]int{}
		for n := 1; n <= 300; n++ {
			r := w.order(nil, func(model.Region) bool { return true })[0]
			w.chosen(r)
			counts[r]++
			for r, x := range weights {
				if d := math.Abs(x/sum*float64(n) - float64(counts[r])); d >= 1 {
					rt.Fatalf("after %d: %d requests to %s, weight %.3f", n, counts[r], r, x/sum)
				}
			}
		}
	})
}

// Guards against spilling while the own region has slots, to a region without
// a slot, to a tried, drained or failed one, and against a wrong reason.
func TestOwnRegionFirstThenSpill(t *testing.T) {
	b := newBench(t, testRules(1, "a", "b"), 2)
	var slots []forward.Slot
	for i := range 6 {
		s, err := b.router.Take(b.now, b.need())
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		if want := map[bool]model.Region{true: "a", false: "b"}[i < 4]; s.Region() != want {
			t.Errorf("request %d went to %s, want %s", i, s.Region(), want)
		}
		slots = append(slots, s)
	}
	if _, err := b.router.Take(b.now, b.need()); !errors.Is(err, admission.ErrNoSlot) {
		t.Errorf("with no slot: %v", err)
	}
	freed := b.router.Freed(svc)
	slots[5].Release()
	select {
	case <-freed:
	default:
		t.Error("no signal after a release")
	}
	n := b.need()
	n.Exclude = []model.Region{"b"}
	if _, err := b.router.Take(b.now, n); !errors.Is(err, admission.ErrNoSlot) {
		t.Errorf("with b tried: %v", err)
	}
	b.router.SetRegionFailed(b.now, "b", true)
	if _, err := b.router.Take(b.now, b.need()); !errors.Is(err, admission.ErrNoSlot) {
		t.Errorf("with b failed: %v", err)
	}
	b.router.SetRegionFailed(b.now, "b", false)
	if _, err := b.router.Take(b.now, b.need()); err != nil {
		t.Errorf("after b returned: %v", err)
	}
}

// Guards against a spill that the cap forbids, and against ErrNoSlot where the
// cap is the reason.
func TestSpillKeepsToCap(t *testing.T) {
	set := testRules(1, "a", "b")
	set.Shifts[svc] = rules.ShiftCap{Fraction: 0.25, Period: time.Minute}
	b := newBench(t, set, 4)
	for range 4 {
		if s, err := b.router.Take(b.now, b.need()); err != nil || s.Region() != "a" {
			t.Fatal(s, err)
		}
	}
	got := 0
	for range 4 {
		_, err := b.router.Take(b.now, b.need())
		if err == nil {
			got++
		} else if !errors.Is(err, admission.ErrShiftCapped) {
			t.Errorf("spill: %v", err)
		}
		b.now = b.now.Add(time.Millisecond)
	}
	if got != 1 {
		t.Errorf("%d of 4 spilled; at most 25 %% of 8 decided, less one step, may", got)
	}
}

// Guards against traffic to another region beyond the link's budget, and
// against bulk requests that use what is kept for others.
func TestLinkBudget(t *testing.T) {
	set := testRules(1, "a", "b")
	set.Links[rules.Link{From: "a", To: "b"}] = 100_000
	set.Weights[svc] = map[model.Region]float64{"b": 1}
	b := newBench(t, set, 64)
	take := func(p model.Priority) bool {
		n := b.need()
		n.Priority = p
		s, err := b.router.Take(b.now, n)
		if err == nil {
			s.Release()
		}
		return err == nil
	}
	if take(model.PriorityCritical) {
		t.Error("a link that starts had tokens")
	}
	b.now = b.now.Add(time.Second)
	bulk := 0
	for take(model.PriorityBulk) {
		bulk++
	}
	urgent := 0
	for take(model.PriorityCritical) {
		urgent++
	}
	if bulk != 8 || urgent != 2 {
		t.Errorf("bulk %d, urgent %d requests of 1000 bytes; want 8 and 2 of a burst of 10000", bulk, urgent)
	}
	sent := 0
	start := b.now
	for b.now.Sub(start) < 2*time.Second {
		b.now = b.now.Add(time.Millisecond)
		if take(model.PriorityCritical) {
			sent++
		}
	}
	if sent < 199 || sent > 200 {
		t.Errorf("%d requests of 1000 bytes in 2 s at 100 kB/s", sent)
	}
}

// Guards against weights that are not kept over the whole path, and against a
// move faster than the cap when an operator changes them.
func TestWeightsMoveAtCap(t *testing.T) {
	set := testRules(1, "a", "b")
	set.Weights[svc] = map[model.Region]float64{"a": 1}
	set.Shifts[svc] = rules.ShiftCap{Fraction: 0.1, Period: time.Second}
	b := newBench(t, set, 8)
	run := func(d time.Duration) (share float64) {
		n, toB := 0, 0
		for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(time.Millisecond) {
			if s, err := b.router.Take(b.now, b.need()); err == nil {
				n++
				if s.Region() == "b" {
					toB++
				}
				s.Release()
			}
		}
		return float64(toB) / float64(max(n, 1))
	}
	run(2 * time.Second)
	moved := *set
	moved.Weights = map[model.Service]map[model.Region]float64{svc: {"a": 0.5, "b": 0.5}}
	b.router.SetRules(b.now, &moved)
	before := 0.0
	for range 5 {
		share := run(time.Second)
		if share > before+0.1 || share < before+0.04 {
			t.Errorf("share of b went from %.3f to %.3f in a period", before, share)
		}
		before = share
	}
	held := moved
	held.Held = map[model.Service]bool{svc: true}
	b.router.SetRules(b.now, &held)
	if share := run(time.Second); share > before+0.03 {
		t.Errorf("held service moved from %.3f to %.3f", before, share)
	}
}

// Guards against a cap that refuses requests, or moves counts away from the
// weights, though nothing shifts. The bounds of the window and of a step
// together once refused one of 112 requests with ten equal weights.
func TestSteadyWeightsAreNotCapped(t *testing.T) {
	for _, k := range []int{2, 3, 10} {
		for _, fraction := range []float64{0.02, 0.1, 0.3} {
			for _, every := range []time.Duration{0, time.Millisecond, 100 * time.Millisecond, 700 * time.Millisecond, 7 * time.Second} {
				set := testRules(1, []model.Region{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}[:k]...)
				set.Shifts[svc] = rules.ShiftCap{Fraction: fraction, Period: 10 * time.Second}
				weights := map[model.Region]float64{}
				for i := range k {
					weights[model.Region(rune('a'+i))] = 2 * float64(i+1) / float64(k*(k+1))
				}
				l := shift.New(rand.New(rand.NewPCG(uint64(k), 1)))
				l.SetRules(epoch, set, func(model.Service) shift.Shares { return weights })
				w := newWeighted(weights)
				now := epoch
				for id := range uint64(3000) {
					now = now.Add(every)
					order := w.order(nil, func(r model.Region) bool { return l.Allow(now, svc, r, id) })
					if len(order) == 0 {
						t.Fatalf("%d regions, cap %v, a request every %v: request %d refused", k, fraction, every, id)
					}
					w.chosen(order[0])
					l.Sent(now, svc, order[0], id)
				}
			}
		}
	}
}
