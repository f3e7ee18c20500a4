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

// fixture is the router of an instance in region a. The instance owns all slots
// of that region.
type fixture struct {
	now     time.Time
	state   *capacity.State
	limiter *shift.Limiter
	signals *Signals
	router  *Router
	seq     uint64
}

// newFixture returns a fixture whose instance has also borrowed the given number
// of slots of svc in each other region.
func newFixture(tb testing.TB, set *rules.Set, borrowed int) *fixture {
	f := &fixture{now: epoch, signals: NewSignals()}
	f.state = capacity.New(f.now, capacity.Config{
		Self: "i", Incarnation: 1, Region: "a", Rand: rand.New(rand.NewPCG(1, 2)), Freed: f.signals.Signal,
	})
	f.limiter = shift.New(rand.New(rand.NewPCG(3, 4)))
	positions := shift.NewPositions("i", "a", func() time.Time { return f.now })
	positions.MarkReady()
	f.router = New(Config{Region: "a", Incarnation: 1, Capacity: f.state, Limiter: f.limiter, Positions: positions, Signals: f.signals})
	f.router.SetRules(f.now, set)
	f.state.SetMembers(f.now, nil)
	f.claimAll(tb)
	f.router.Tick(f.now)
	for r := range set.Regions {
		if r != "a" && borrowed > 0 {
			f.borrow(tb, r, borrowed)
		}
	}
	return f
}

// claimAll makes the instance claim all slots of its region.
func (f *fixture) claimAll(tb testing.TB) {
	f.state.ApplyListing(f.now, f.state.ReadClock(f.now), map[model.InstanceID]bool{"i": true})
	for rev := store.Revision(0); ; rev++ {
		var value []byte
		if rev > 0 {
			c := f.state.Propose(f.now)
			if c == nil {
				return
			}
			value, _ = c.Record.Marshal()
		}
		if err := f.state.ApplyRecord(f.now, f.state.ReadClock(f.now), store.KeyValue{Value: value, Revision: rev}); err != nil {
			tb.Fatal(err)
		}
	}
}

// borrow makes the instance borrow n slots of svc from a peer in the region.
func (f *fixture) borrow(tb testing.TB, r model.Region, n int) {
	k := capacity.Key{Region: r, Service: svc}
	f.state.SetPeers([]capacity.Peer{{ID: "p", Region: r}})
	for f.state.Usable(f.now, k) < n {
		for range n {
			f.state.ReportUnmet(f.now, k, model.PriorityNormal, false)
		}
		calls, _ := f.state.Plan(f.now)
		for _, c := range calls {
			f.seq++
			id := capacity.LoanID{Seq: f.seq}
			count := min(c.Args.Want[0].Count, n-f.state.Usable(f.now, k))
			f.state.HandleBorrowReply(f.now, c, &capacity.BorrowReply{Loans: []capacity.Loan{{ID: id, Key: k, Count: count}}})
		}
	}
	if got := f.state.Usable(f.now, k); got != n {
		tb.Fatalf("borrowed %d slots in %s, want %d", got, r, n)
	}
}

func (f *fixture) request() forward.AdmissionRequest {
	return forward.AdmissionRequest{Service: svc, Priority: model.PriorityNormal, Deadline: f.now.Add(time.Second), Bytes: 1000}
}

// Guards against a random choice, or one that makes bursts: after each choice
// the counts are within one request of the weights.
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
			w.recordChoice(r)
			counts[r]++
			for r, x := range weights {
				if d := math.Abs(x/sum*float64(n) - float64(counts[r])); d >= 1 {
					rt.Fatalf("after %d: %d requests to %s, weight %.3f", n, counts[r], r, x/sum)
				}
			}
		}
	})
}

// Guards against a request that spills while its region has slots, or that
// goes to a region without a slot, an excluded region or a failed one, and
// against a wrong error.
func TestOwnRegionFirstThenSpill(t *testing.T) {
	f := newFixture(t, testRules(1, "a", "b"), 2)
	var slots []forward.Slot
	for i := range 6 {
		s, err := f.router.Take(f.now, f.request())
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		if want := map[bool]model.Region{true: "a", false: "b"}[i < 4]; s.Region() != want {
			t.Errorf("request %d went to %s, want %s", i, s.Region(), want)
		}
		slots = append(slots, s)
	}
	if _, err := f.router.Take(f.now, f.request()); !errors.Is(err, admission.ErrNoSlot) {
		t.Errorf("with no slot: %v", err)
	}
	freed := f.router.Freed(svc)
	slots[5].Release()
	select {
	case <-freed:
	default:
		t.Error("no signal after a release")
	}
	req := f.request()
	req.Exclude = []model.Region{"b"}
	if _, err := f.router.Take(f.now, req); !errors.Is(err, admission.ErrNoSlot) {
		t.Errorf("with b excluded: %v", err)
	}
	f.router.SetRegionFailed(f.now, "b", true)
	if _, err := f.router.Take(f.now, f.request()); !errors.Is(err, admission.ErrNoSlot) {
		t.Errorf("with b failed: %v", err)
	}
	f.router.SetRegionFailed(f.now, "b", false)
	if _, err := f.router.Take(f.now, f.request()); err != nil {
		t.Errorf("after b returned: %v", err)
	}
}

// Guards against a spill that the cap forbids, and against ErrNoSlot where the
// cap is the reason.
func TestSpillKeepsToCap(t *testing.T) {
	set := testRules(1, "a", "b")
	set.Shifts[svc] = rules.ShiftCap{Fraction: 0.25, Period: time.Minute}
	f := newFixture(t, set, 4)
	for range 4 {
		if s, err := f.router.Take(f.now, f.request()); err != nil || s.Region() != "a" {
			t.Fatal(s, err)
		}
	}
	got := 0
	for range 4 {
		_, err := f.router.Take(f.now, f.request())
		if err == nil {
			got++
		} else if !errors.Is(err, admission.ErrShiftCapped) {
			t.Errorf("spill: %v", err)
		}
		f.now = f.now.Add(time.Millisecond)
	}
	if got != 1 {
		t.Errorf("%d of 4 requests spilled, want 1: 25 %% of the 8 requests, less one step", got)
	}
}

// Guards against traffic to another region above the link's budget, and against
// bulk requests that use the reserve of other requests.
func TestLinkBudget(t *testing.T) {
	set := testRules(1, "a", "b")
	set.Links[rules.Link{From: "a", To: "b"}] = 100_000
	set.Weights[svc] = map[model.Region]float64{"b": 1}
	f := newFixture(t, set, 64)
	take := func(p model.Priority) bool {
		req := f.request()
		req.Priority = p
		s, err := f.router.Take(f.now, req)
		if err == nil {
			s.Release()
		}
		return err == nil
	}
	if take(model.PriorityCritical) {
		t.Error("a new link had tokens")
	}
	f.now = f.now.Add(time.Second)
	bulk := 0
	for take(model.PriorityBulk) {
		bulk++
	}
	critical := 0
	for take(model.PriorityCritical) {
		critical++
	}
	if bulk != 8 || critical != 2 {
		t.Errorf("bulk %d, critical %d requests of 1000 bytes; want 8 and 2 of a burst of 10000", bulk, critical)
	}
	sent := 0
	start := f.now
	for f.now.Sub(start) < 2*time.Second {
		f.now = f.now.Add(time.Millisecond)
		if take(model.PriorityCritical) {
			sent++
		}
	}
	if sent < 199 || sent > 200 {
		t.Errorf("%d requests of 1000 bytes in 2 s at 100 kB/s", sent)
	}
}

// Guards against traffic that moves faster than the cap, or not at all, when an
// operator changes the weights, and against a move while the service is held.
func TestWeightsMoveAtCap(t *testing.T) {
	set := testRules(1, "a", "b")
	set.Weights[svc] = map[model.Region]float64{"a": 1}
	set.Shifts[svc] = rules.ShiftCap{Fraction: 0.1, Period: time.Second}
	f := newFixture(t, set, 8)
	run := func(d time.Duration) (share float64) {
		n, toB := 0, 0
		for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
			if s, err := f.router.Take(f.now, f.request()); err == nil {
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
	f.router.SetRules(f.now, &moved)
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
	f.router.SetRules(f.now, &held)
	if share := run(time.Second); share > before+0.03 {
		t.Errorf("held service moved from %.3f to %.3f", before, share)
	}
}

// Guards against a cap that refuses requests although the weights do not
// change. The bounds of the window and of a step together once refused one of
// 112 requests at ten equal weights.
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
					w.recordChoice(order[0])
					l.Sent(now, svc, order[0], id)
				}
			}
		}
	}
}
