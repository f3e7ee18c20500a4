package quarantine

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"jujubestile.example/jujubestile/internal/model"
)

// fleet simulates instances that share endpoints, in steps of 50 ms. One
// request, the poison request, crashes every endpoint that runs it.
type fleet struct {
	rng       *rand.Rand
	clock     time.Time
	instances []*Quarantine
	endpoints []*simEndpoint
	poisonFP  uint64
	crashes   int
	// unchecked means that requests run regardless of the verdict.
	unchecked bool
}

type simEndpoint struct {
	id      model.EndpointID
	running []run
	down    time.Time
}

type run struct {
	instance int
	fp       uint64
	ends     time.Time
}

func newFleet(seed uint64, instances, endpoints int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 2)), clock: time.Unix(1e9, 0)}
	for i := range instances {
		q := New(rand.New(rand.NewPCG(seed, uint64(i)+3)))
		q.now = func() time.Time { return f.clock }
		f.instances = append(f.instances, q)
	}
	for i := range endpoints {
		f.endpoints = append(f.endpoints, &simEndpoint{id: model.EndpointID(fmt.Sprint("e", i))})
	}
	return f
}

// gossip exchanges reports with the nearest neighbours in a ring and the one
// opposite, twice per step: an instance sends to all neighbours at once, and a
// hop takes up to 35 ms.
func (f *fleet) gossip() {
	n := len(f.instances)
	for range 2 {
		for i, q := range f.instances {
			for _, distance := range []int{1, 2, n - 1, n - 2, n / 2} {
				q.merge(f.instances[(i+distance)%n].reportsFor(q.Digest()))
			}
		}
	}
}

// start tries to start a request at a random instance and endpoint. It returns
// whether it did, and the verdict.
func (f *fleet) start(fp uint64) (bool, Verdict) {
	i := f.rng.IntN(len(f.instances))
	q := f.instances[i]
	v := q.Check(fp)
	e := f.endpoints[f.rng.IntN(len(f.endpoints))]
	if f.unchecked {
		v = Allow
	}
	if v == Refuse || f.clock.Before(e.down) || len(e.running) >= 4 || !f.unchecked && !q.MayStart(fp, e.id) {
		return false, v
	}
	if !f.unchecked {
		q.Started(fp, e.id)
	}
	length := time.Duration(50+f.rng.IntN(250)) * time.Millisecond
	e.running = append(e.running, run{i, fp, f.clock.Add(length)})
	return true, v
}

// step advances the clock and returns the requests that completed or lost their
// connection.
func (f *fleet) step() (ended []uint64) {
	f.clock = f.clock.Add(50 * time.Millisecond)
	for _, e := range f.endpoints {
		crashed := false
		for _, r := range e.running {
			crashed = crashed || r.fp == f.poisonFP && !r.ends.After(f.clock)
		}
		var left []run
		for _, r := range e.running {
			switch {
			case crashed:
				ended = append(ended, r.fp)
				f.finished(r, e.id, true)
			case !r.ends.After(f.clock):
				ended = append(ended, r.fp)
				f.finished(r, e.id, false)
			default:
				left = append(left, r)
			}
		}
		e.running = left
		if crashed {
			f.crashes++
			e.down = f.clock.Add(time.Second)
		}
	}
	f.gossip()
	return ended
}

func (f *fleet) finished(r run, e model.EndpointID, crashed bool) {
	if !f.unchecked {
		f.instances[r.instance].Finished(r.fp, e, crashed)
	}
}

// simulate sends several copies of the poison request and a number of other
// requests until all instances refuse the poison request, or for 2,000 steps.
// Callers send each request again when it has completed or lost its connection.
// It returns how many other requests were ever refused, and whether all
// instances refuse the poison request.
func (f *fleet) simulate(others, copies int) (refused int, refusedEverywhere bool) {
	f.poisonFP = 1
	waiting := map[uint64]int{f.poisonFP: copies}
	for i := range others {
		waiting[uint64(i)+2] = 1
	}
	refusedFPs := map[uint64]bool{}
	for range 2000 {
		for fp := range uint64(others + 1) {
			for range waiting[fp+1] {
				started, v := f.start(fp + 1)
				if started {
					waiting[fp+1]--
				}
				refusedFPs[fp+1] = refusedFPs[fp+1] || v == Refuse
			}
		}
		for _, fp := range f.step() {
			waiting[fp]++
		}
		if !f.unchecked && f.refusedEverywhere() {
			break
		}
	}
	for fp, r := range refusedFPs {
		if r && fp != f.poisonFP {
			refused++
		}
	}
	return refused, f.refusedEverywhere()
}

// refusedEverywhere reports whether all instances refuse the poison request.
func (f *fleet) refusedEverywhere() bool {
	for _, q := range f.instances {
		if q.Check(f.poisonFP) != Refuse {
			return false
		}
	}
	return true
}

// Guards against refusing requests that only shared an endpoint with the one
// that crashed it, and against crashes that continue. It prints how many other
// requests were refused and how many endpoints crashed.
func TestOnlyCrashingRequestRefused(t *testing.T) {
	for copies, runs := range map[int]int{1: 1000, 3: 200} {
		var mu sync.Mutex
		var g errgroup.Group
		g.SetLimit(4)
		total, most, refused, over := 0, 0, 0, 0
		for seed := range uint64(runs) {
			g.Go(func() error {
				f := newFleet(seed, 10, 12)
				n, refusedEverywhere := f.simulate(49, copies)
				mu.Lock()
				defer mu.Unlock()
				if !refusedEverywhere {
					t.Errorf("seed %d: the crashing request was not refused after %d crashes", seed, f.crashes)
				}
				refused += n
				total += f.crashes
				most = max(most, f.crashes)
				if f.crashes > refuseCrashes+copies-1 {
					over++
				}
				return nil
			})
		}
		_ = g.Wait()
		t.Logf("%d copies: %d runs with 49 other requests each: %d of those refused; crashes: mean %.2f, most %d; %d runs above 3 crashes plus the other copies in flight",
			copies, runs, refused, float64(total)/float64(runs), most, over)
		if refused != 0 {
			t.Errorf("%d other requests refused", refused)
		}
		if over > runs/20 {
			t.Errorf("%d of %d runs above 3 crashes plus the other copies in flight", over, runs)
		}
	}
}

// Guards against a verdict that never expires, a request that stays suspect
// although it completes, and an isolated request that shares its endpoint.
func TestVerdicts(t *testing.T) {
	f := newFleet(1, 1, 1)
	q := f.instances[0]
	crash := func(fp uint64, e model.EndpointID) {
		q.Started(fp, e)
		q.Finished(fp, e, true)
		f.clock = f.clock.Add(3 * time.Second)
	}
	expect := func(fp uint64, want Verdict) {
		t.Helper()
		if got := q.Check(fp); got != want {
			t.Errorf("request %d: verdict %d, want %d", fp, got, want)
		}
	}
	crash(1, "a")
	crash(2, "a")
	expect(1, Allow)
	crash(1, "b")
	crash(2, "b")
	expect(1, Isolate)
	q.Started(1, "c")
	if q.MayStart(3, "c") || !q.MayStart(3, "d") {
		t.Error("an isolated request shares its endpoint")
	}
	q.Finished(1, "c", false)
	expect(1, Allow)
	crash(2, "c")
	expect(2, Refuse)
	f.clock = f.clock.Add(Retention)
	expect(2, Allow)
	crash(2, "d")
	expect(2, Refuse)
	f.clock = f.clock.Add(reportRetention + time.Second)
	q.Digest()
	crash(2, "d")
	expect(2, Allow)
	for range 4 {
		crash(4, "only")
	}
	expect(4, Isolate)
	crash(4, "only")
	expect(4, Refuse)
}

// Guards against an attempt that did not reach its endpoint clearing the
// request. The crashing request was also sent to endpoints that were down, was
// cleared by that each time, and crashed all 12 endpoints of a fleet.
func TestCancelledAttemptClearsNothing(t *testing.T) {
	f := newFleet(1, 1, 1)
	q := f.instances[0]
	for _, e := range []model.EndpointID{"a", "b", "c"} {
		f.clock = f.clock.Add(3 * time.Second)
		q.Started(1, e)
		q.Finished(1, e, true)
		q.Started(1, e)
		q.Cancelled(1, e)
	}
	f.clock = f.clock.Add(refusalDelay)
	if v := q.Check(1); v != Refuse {
		t.Errorf("after 3 crashes: verdict %d, want refuse", v)
	}
}

// Guards against refusing a request before the reports of other instances
// about the same crash have arrived.
func TestLateReports(t *testing.T) {
	f := newFleet(1, 1, 1)
	q := f.instances[0]
	for _, e := range []model.EndpointID{"a", "b", "c"} {
		f.clock = f.clock.Add(3 * time.Second)
		q.Finished(1, e, true)
		if v := q.Check(1); v == Refuse || e == "c" && q.MayStart(1, "x") {
			t.Errorf("after the first report of a crash of %s: verdict %d", e, v)
		}
		f.clock = f.clock.Add(refusalDelay / 2)
		q.Finished(2, e, true)
	}
	f.clock = f.clock.Add(refusalDelay)
	if v := q.Check(1); v != Isolate || !q.MayStart(1, "x") {
		t.Errorf("crashes attributed to two requests equally: verdict %d, want isolate and a permitted start", v)
	}
}

// Guards against encoded reports that exceed the limits or crash the receiver,
// and against reports that accumulate without limit.
func TestReportExchange(t *testing.T) {
	f := newFleet(1, 2, 1)
	q, other := f.instances[0], f.instances[1]
	for i := range uint64(3 * maxReports) {
		q.Finished(i, "e", true)
		f.clock = f.clock.Add(time.Millisecond)
	}
	encoded := q.News(other.Digest())
	if changed, err := other.Merge(encoded); err != nil || !changed || len(other.reports) != maxReports {
		t.Errorf("merge: %v %v, %d reports", changed, err, len(other.reports))
	}
	if changed, err := other.Merge(encoded); err != nil || changed || q.News(other.Digest()) != nil {
		t.Errorf("second merge: %v %v", changed, err)
	}
	for _, bad := range [][]byte{nil, []byte("x"), encoded[:len(encoded)/2], make([]byte, maxEncodedBytes+1)} {
		if _, err := other.Merge(bad); err == nil {
			t.Errorf("malformed reports of %d bytes accepted", len(bad))
		}
	}
	t.Logf("%d reports: %d bytes encoded", maxReports, len(encoded))
}

// Guards against messages that grow with all crashes of the last minutes: each crash is
// reported by many instances to all.
func TestRecentReports(t *testing.T) {
	f := newFleet(1, 2, 1)
	q, other := f.instances[0], f.instances[1]
	q.Started(1, "a")
	q.Finished(1, "a", true)
	f.clock = f.clock.Add(time.Minute)
	if q.Recent(10*time.Second) != nil {
		t.Error("an old report counts as recent")
	}
	q.Started(1, "b")
	q.Finished(1, "b", true)
	if changed, err := other.Merge(q.Recent(10 * time.Second)); err != nil || !changed || len(other.reports) != 1 {
		t.Errorf("%v, %v, %d reports, want the recent one", changed, err, len(other.reports))
	}
}
