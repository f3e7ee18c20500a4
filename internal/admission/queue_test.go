package admission

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "jujubestile.example/jujubestile/internal/fixedseed"

	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/model"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeRouter has a fixed number of slots.
type fakeRouter struct {
	mu    sync.Mutex
	n     int
	taken int
	err   error
	freed chan struct{}
}

func newRouter(n int) *fakeRouter {
	return &fakeRouter{n: n, err: ErrNoSlot, freed: make(chan struct{}, 1)}
}

func (r *fakeRouter) Take(time.Time, forward.AdmissionRequest) (forward.Slot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.taken >= r.n {
		return nil, r.err
	}
	r.taken++
	return fakeSlot{r}, nil
}

func (r *fakeRouter) Slots(time.Time, model.Service) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n
}

func (r *fakeRouter) Freed(model.Service) <-chan struct{} { return r.freed }
func (s fakeSlot) Region() model.Region                   { return "r" }
func (s fakeSlot) ReleaseAt(t time.Time)                  { time.AfterFunc(time.Until(t), s.Release) }
func need(p model.Priority, deadline time.Time) forward.AdmissionRequest {
	return forward.AdmissionRequest{Service: "s", Priority: p, Deadline: deadline}
}

type fakeSlot struct{ r *fakeRouter }

func (s fakeSlot) Release() {
	s.r.mu.Lock()
	s.r.taken--
	s.r.mu.Unlock()
	select {
	case s.r.freed <- struct{}{}:
	default:
	}
}

// naiveQueue is a sorted list with the same rules: the model of TestOrder.
type naiveQueue struct {
	slots    int
	inFlight int
	waiting  []*ticket
	granted  []*ticket
}

func (m *naiveQueue) oldest(now time.Time, class int) time.Duration {
	var longest time.Duration
	for _, t := range m.waiting {
		if t.class == class {
			longest = max(longest, now.Sub(t.enqueued))
		}
	}
	return longest
}

func (m *naiveQueue) count(class int) int {
	n := 0
	for _, t := range m.waiting {
		if t.class == class {
			n++
		}
	}
	return n
}

// serve grants the first waiting request in order, as often as it can.
func (m *naiveQueue) serve(now time.Time) {
	limits := [numClasses]int{
		m.slots,
		max(1, int(math.Round(0.75*float64(m.slots)))),
		max(1, int(math.Round(0.63*float64(m.slots)))),
	}
	for {
		var newestFirst [numClasses]bool
		for c := range newestFirst {
			newestFirst[c] = m.oldest(now, c) > overloadAfter
		}
		slices.SortStableFunc(m.waiting, func(a, b *ticket) int {
			byTime := a.enqueued.Compare(b.enqueued)
			if newestFirst[a.class] {
				byTime = -byTime
			}
			return cmp.Or(cmp.Compare(a.class, b.class), byTime)
		})
		if len(m.waiting) == 0 || m.inFlight >= limits[m.waiting[0].class] {
			return
		}
		m.granted = append(m.granted, m.waiting[0])
		m.waiting = m.waiting[1:]
		m.inFlight++
	}
}

// Guards against any departure from the order of service: priorities,
// reserves, first come first served, newest first under overload, bounds.
// Compares the queue with a naive sorted list.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 2, 3, 4, 8, 20}).Draw(t, "slots")
		r := newRouter(n)
		q := newQueue("s", r, [numClasses]float64{})
		m := &naiveQueue{slots: n}
		now := start
		var live []*ticket
		// pass advances the time. Tickets whose deadline passes are polled, as
		// the timers of their waiting callers do.
		pass := func(d time.Duration) {
			now = now.Add(d)
			m.waiting = slices.DeleteFunc(m.waiting, func(tk *ticket) bool { return !tk.need.Deadline.After(now) })
			for _, tk := range live {
				if tk.state == stateWaiting && !tk.need.Deadline.After(now) {
					q.poll(now, tk)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				p := model.Priority(rapid.IntRange(1, 3).Draw(t, "priority"))
				for range rapid.IntRange(1, 8).Draw(t, "burst") {
					pass(time.Microsecond)
					deadline := now.Add(time.Duration(rapid.IntRange(50, 5000).Draw(t, "ms")) * time.Millisecond)
					if tk := m.enter(t, q, now, need(p, deadline)); tk != nil {
						live = append(live, tk)
					}
				}
			},
			"release": func(t *rapid.T) {
				i := slices.IndexFunc(live, func(x *ticket) bool { return x.state == stateGranted })
				if i < 0 {
					return
				}
				pass(time.Microsecond)
				m.inFlight--
				q.release(now, live[i], now)
				m.serve(now)
			},
			"wait": func(t *rapid.T) {
				pass(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			},
			"abandon": func(t *rapid.T) {
				i := slices.IndexFunc(live, func(x *ticket) bool { return x.state == stateWaiting })
				if i >= 0 {
					q.abandon(now, live[i])
					m.waiting = slices.DeleteFunc(m.waiting, func(x *ticket) bool { return x == live[i] })
				}
			},
			"": func(t *rapid.T) {
				check(t, q, m, r, live)
			},
		})
	})
}

// enter enters a request into both queues. It returns nil if it was refused.
func (m *naiveQueue) enter(t *rapid.T, q *queue, now time.Time, n forward.AdmissionRequest) *ticket {
	class := classOf(n.Priority)
	full := m.count(class) >= max(8, 2*m.slots)
	newestFirst := m.oldest(now, class) > overloadAfter
	tk, _, err := q.enter(now, n)
	if (err != nil) != (full && !newestFirst) {
		t.Fatalf("refused: %v, queue full: %v, newest first: %v", err, full, newestFirst)
	}
	if err != nil {
		return nil
	}
	if full {
		m.dropOldest(class)
	}
	m.waiting = append(m.waiting, tk)
	m.serve(now)
	return tk
}

func (m *naiveQueue) dropOldest(class int) {
	var oldest *ticket
	for _, t := range m.waiting {
		if t.class == class && (oldest == nil || t.enqueued.Before(oldest.enqueued)) {
			oldest = t
		}
	}
	m.waiting = slices.DeleteFunc(m.waiting, func(t *ticket) bool { return t == oldest })
}

func check(t *rapid.T, q *queue, m *naiveQueue, r *fakeRouter, live []*ticket) {
	inFlight := 0
	for _, tk := range live {
		if tk.state == stateGranted {
			inFlight++
		}
		was := slices.Contains(m.granted, tk)
		is := tk.state == stateGranted || tk.state == stateReleased
		if was != is {
			t.Fatalf("ticket of class %d at %v: granted %v, in the model %v", tk.class, tk.enqueued.Sub(start), is, was)
		}
	}
	if r.taken != inFlight || m.inFlight != inFlight {
		t.Fatalf("%d slots taken, %d in flight, %d in the model", r.taken, inFlight, m.inFlight)
	}
	for c := range q.waiting {
		if q.waiting[c].n > max(8, 2*m.slots) {
			t.Fatalf("%d waiting in class %d", q.waiting[c].n, c)
		}
	}
}

// Guards against work that is started although it cannot finish in time, both
// before queueing and when its turn comes.
func TestDeadline(t *testing.T) {
	q := newQueue("s", newRouter(1), [numClasses]float64{})
	q.answered(start, critical, 100*time.Millisecond)
	if _, _, err := q.enter(start, need(1, start.Add(90*time.Millisecond))); err == nil {
		t.Error("admitted with less time than the service time")
	}
	first, granted, _ := q.enter(start, need(1, start.Add(time.Second)))
	if !granted {
		t.Fatal("a free slot was not granted")
	}
	late, _, _ := q.enter(start, need(1, start.Add(150*time.Millisecond)))
	if _, _, err := q.enter(start, need(1, start.Add(190*time.Millisecond))); err == nil {
		t.Error("queued although its turn comes too late")
	}
	now := start.Add(80 * time.Millisecond)
	q.answered(now, critical, 100*time.Millisecond)
	q.release(now, first, now)
	if late.state != stateRefused || late.refusal.Reason != forward.ReasonDeadline || late.refusal.RetryAfter <= 0 {
		t.Errorf("state %d, refusal %+v at dequeue, want a refusal with Retry-After", late.state, late.refusal)
	}
}

// Guards against newest first in slow services that are not overloaded, where
// the oldest request would wait for ever longer.
func TestOverloadByServiceTime(t *testing.T) {
	q := newQueue("s", newRouter(1), [numClasses]float64{})
	first, _, _ := q.enter(start, need(2, start.Add(time.Hour)))
	second, _, _ := q.enter(start, need(2, start.Add(time.Hour)))
	third, _, _ := q.enter(start.Add(time.Second), need(2, start.Add(time.Hour)))
	now := start.Add(3 * time.Second)
	q.answered(now, normal, 4*time.Second)
	q.release(now, first, now)
	if second.state != stateGranted || third.state != stateWaiting {
		t.Errorf("states %d and %d, want the older request granted", second.state, third.state)
	}
}

// Guards against refusing all work for ever after one slow period: the
// estimate of the service time falls when nothing is answered.
func TestServiceTimeEstimateFalls(t *testing.T) {
	q := newQueue("s", newRouter(1), [numClasses]float64{})
	q.answered(start, critical, 10*time.Second)
	if _, _, err := q.enter(start, need(1, start.Add(2*time.Second))); err == nil {
		t.Fatal("admitted with less time than the service time")
	}
	now := start.Add(4 * time.Second)
	if _, _, err := q.enter(now, need(1, now.Add(2*time.Second))); err != nil {
		t.Errorf("refused 4 s later: %v", err)
	}
}

// Guards against lower priorities that starve in a flood of critical work, and
// against more than their share: measures slot time over 20 s at 3 and 40
// slots.
func TestMinimumShare(t *testing.T) {
	for _, n := range []int{3, 40} {
		r := newRouter(n)
		q := newQueue("s", r, [numClasses]float64{0, 0.1, 0.05})
		var all []*ticket
		var used [numClasses]int
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(10 * time.Millisecond) {
			for _, p := range model.Priorities {
				for q.waiting[classOf(p)].n < 4 {
					tk, _, err := q.enter(now, need(p, now.Add(time.Hour)))
					if err != nil {
						t.Fatal(err)
					}
					all = append(all, tk)
				}
			}
			for _, tk := range all {
				if tk.state == stateGranted && now.Sub(tk.granted) >= 50*time.Millisecond {
					q.release(now, tk, now)
				}
			}
			all = slices.DeleteFunc(all, func(tk *ticket) bool { return tk.state == stateReleased })
			for c := range used {
				used[c] += q.inFlight[c]
			}
		}
		sum := used[0] + used[1] + used[2]
		t.Logf("slots=%d slot time %v", n, used)
		for c, want := range []float64{0.85, 0.1, 0.05} {
			if got := float64(used[c]) / float64(sum); math.Abs(got-want) > 0.02 {
				t.Errorf("%d slots: class %d got %.3f of the slot time, want %.2f", n, c, got, want)
			}
		}
	}
}

// Guards against critical work that waits behind bulk work in flight, against
// cancelling more attempts than requests wait, and against cancelling work that
// its minimum share protects.
func TestPreemption(t *testing.T) {
	q := newQueue("s", newRouter(4), [numClasses]float64{})
	cancelled := 0
	for range 2 {
		tk, _, _ := q.enter(start, need(3, start.Add(time.Hour)))
		tk.Preemptible(func() {
			cancelled++
			q.release(start, tk, start.Add(10*time.Millisecond))
		})
	}
	critical1 := func(n int) (ts []*ticket) {
		for range n {
			tk, _, _ := q.enter(start, need(1, start.Add(time.Hour)))
			ts = append(ts, tk)
		}
		return ts
	}
	critical1(2)
	if cancelled != 0 {
		t.Fatalf("%d attempts cancelled while slots were free", cancelled)
	}
	waiting := critical1(1)
	if cancelled != 1 {
		t.Fatalf("%d attempts cancelled for one waiting request", cancelled)
	}
	q.abandon(start, waiting[0])
	_ = q.load(start.Add(time.Second))
	if q.preempting != 0 || q.inFlight[bulk] != 1 {
		t.Errorf("preempting %d, bulk in flight %d after the slot returned", q.preempting, q.inFlight[bulk])
	}
}

// BenchmarkCapacityQueue measures one request that waits behind others.
func BenchmarkCapacityQueue(b *testing.B) {
	for _, waiting := range []int{0, 100, 900} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			q := newQueue("s", newRouter(500), [numClasses]float64{0, 0.05, 0.05})
			q.slots = 500
			var running []*ticket
			for range 500 + waiting {
				tk, _, _ := q.enter(start, need(1, start.Add(time.Hour)))
				running = append(running, tk)
			}
			b.ReportAllocs()
			now := start
			for b.Loop() {
				now = now.Add(time.Microsecond)
				tk, _, _ := q.enter(now, need(1, now.Add(time.Hour)))
				running = append(running, tk)
				q.release(now, running[0], now)
				running = running[1:]
			}
		})
	}
}
