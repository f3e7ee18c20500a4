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

// fakeRouter is a Router with n slots in one region.
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

// referenceQueue is the reference model of TestOrder: a sorted list with the
// same rules as queue.
type referenceQueue struct {
	slots    int
	inFlight int
	waiting  []*ticket
	granted  []*ticket
}

// oldest returns how long the oldest waiting request of a class has waited.
func (m *referenceQueue) oldest(now time.Time, class int) time.Duration {
	var longest time.Duration
	for _, t := range m.waiting {
		if t.class == class {
			longest = max(longest, now.Sub(t.enqueued))
		}
	}
	return longest
}

func (m *referenceQueue) count(class int) int {
	n := 0
	for _, t := range m.waiting {
		if t.class == class {
			n++
		}
	}
	return n
}

// serve grants slots to the waiting requests in order of service until none is
// available to the first one.
func (m *referenceQueue) serve(now time.Time) {
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

// TestOrder compares the queue with a reference model for random sequences of
// events. It guards against any deviation in the order of service: priorities,
// reserves, first in first out, last in first out under overload, and queue
// bounds.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 2, 3, 4, 8, 20}).Draw(t, "slots")
		r := newRouter(n)
		q := newQueue("s", r, [numClasses]float64{})
		m := &referenceQueue{slots: n}
		now := start
		var live []*ticket
		// advance moves the time forward. It polls the tickets whose deadline
		// has passed, as the timers of their waiting callers would.
		advance := func(d time.Duration) {
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
					advance(time.Microsecond)
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
				advance(time.Microsecond)
				m.inFlight--
				q.release(now, live[i], now)
				m.serve(now)
			},
			"wait": func(t *rapid.T) {
				advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
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

// enter adds a request to the queue and to the model. It returns nil if the
// request was refused.
func (m *referenceQueue) enter(t *rapid.T, q *queue, now time.Time, n forward.AdmissionRequest) *ticket {
	class := classOf(n.Priority)
	full := m.count(class) >= max(8, 2*m.slots)
	newestFirst := m.oldest(now, class) > overloadAfter
	tk, _, err := q.admit(now, n)
	if (err != nil) != (full && !newestFirst) {
		t.Fatalf("refusal %v, but queue full is %v and newest first is %v", err, full, newestFirst)
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

func (m *referenceQueue) dropOldest(class int) {
	var oldest *ticket
	for _, t := range m.waiting {
		if t.class == class && (oldest == nil || t.enqueued.Before(oldest.enqueued)) {
			oldest = t
		}
	}
	m.waiting = slices.DeleteFunc(m.waiting, func(t *ticket) bool { return t == oldest })
}

// check compares the state of the queue with the model and the Router.
func check(t *rapid.T, q *queue, m *referenceQueue, r *fakeRouter, live []*ticket) {
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
			t.Fatalf("%d requests wait in class %d, more than the bound", q.waiting[c].n, c)
		}
	}
}

// TestDeadline guards against starting requests that cannot finish before their
// deadline. Such a request is refused on arrival or, if it has waited too long,
// when it is dequeued.
func TestDeadline(t *testing.T) {
	q := newQueue("s", newRouter(1), [numClasses]float64{})
	q.recordServiceTime(start, critical, 100*time.Millisecond)
	if _, _, err := q.admit(start, need(1, start.Add(90*time.Millisecond))); err == nil {
		t.Error("admitted with less time than the service time")
	}
	first, granted, _ := q.admit(start, need(1, start.Add(time.Second)))
	if !granted {
		t.Fatal("a free slot was not granted")
	}
	late, _, _ := q.admit(start, need(1, start.Add(150*time.Millisecond)))
	if _, _, err := q.admit(start, need(1, start.Add(190*time.Millisecond))); err == nil {
		t.Error("queued a request whose estimated wait exceeds its deadline")
	}
	now := start.Add(80 * time.Millisecond)
	q.recordServiceTime(now, critical, 100*time.Millisecond)
	q.release(now, first, now)
	if late.state != stateRefused || late.refusal.Reason != forward.ReasonDeadline || late.refusal.RetryAfter <= 0 {
		t.Errorf("state %d, refusal %+v at dequeue, want a deadline refusal with RetryAfter", late.state, late.refusal)
	}
}

// TestOverloadByServiceTime guards against treating a slow service as
// overloaded. Served newest first, its oldest request would wait ever longer.
func TestOverloadByServiceTime(t *testing.T) {
	q := newQueue("s", newRouter(1), [numClasses]float64{})
	first, _, _ := q.admit(start, need(2, start.Add(time.Hour)))
	second, _, _ := q.admit(start, need(2, start.Add(time.Hour)))
	third, _, _ := q.admit(start.Add(time.Second), need(2, start.Add(time.Hour)))
	now := start.Add(3 * time.Second)
	q.recordServiceTime(now, normal, 4*time.Second)
	q.release(now, first, now)
	if second.state != stateGranted || third.state != stateWaiting {
		t.Errorf("states %d and %d, want the older request granted", second.state, third.state)
	}
}

// TestServiceTimeEstimateFalls guards against refusing all requests forever
// after one slow period: the estimated service time decays while no request is
// answered.
func TestServiceTimeEstimateFalls(t *testing.T) {
	q := newQueue("s", newRouter(1), [numClasses]float64{})
	q.recordServiceTime(start, critical, 10*time.Second)
	if _, _, err := q.admit(start, need(1, start.Add(2*time.Second))); err == nil {
		t.Fatal("admitted with less time than the service time")
	}
	now := start.Add(4 * time.Second)
	if _, _, err := q.admit(now, need(1, now.Add(2*time.Second))); err != nil {
		t.Errorf("refused 4 s later: %v", err)
	}
}

// TestMinimumShare guards against starvation of the lower priorities under a
// constant load of critical requests, and against giving them more than their
// minimum share. It measures the slot time over 20 s with 3 and with 40 slots.
func TestMinimumShare(t *testing.T) {
	for _, n := range []int{3, 40} {
		r := newRouter(n)
		q := newQueue("s", r, [numClasses]float64{0, 0.1, 0.05})
		var all []*ticket
		var used [numClasses]int
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(10 * time.Millisecond) {
			for _, p := range model.Priorities {
				for q.waiting[classOf(p)].n < 4 {
					tk, _, err := q.admit(now, need(p, now.Add(time.Hour)))
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

// TestPreemption guards against critical requests that wait for bulk requests
// in flight, against cancelling attempts while slots are free, and against
// cancelling more attempts than requests wait.
func TestPreemption(t *testing.T) {
	q := newQueue("s", newRouter(4), [numClasses]float64{})
	cancelled := 0
	for range 2 {
		tk, _, _ := q.admit(start, need(3, start.Add(time.Hour)))
		tk.Preemptible(func() {
			cancelled++
			q.release(start, tk, start.Add(10*time.Millisecond))
		})
	}
	admitCritical := func(n int) (ts []*ticket) {
		for range n {
			tk, _, _ := q.admit(start, need(1, start.Add(time.Hour)))
			ts = append(ts, tk)
		}
		return ts
	}
	admitCritical(2)
	if cancelled != 0 {
		t.Fatalf("%d attempts cancelled while slots were free", cancelled)
	}
	waiting := admitCritical(1)
	if cancelled != 1 {
		t.Fatalf("%d attempts cancelled for one waiting request", cancelled)
	}
	q.abandon(start, waiting[0])
	_ = q.load(start.Add(time.Second))
	if q.preempting != 0 || q.inFlight[bulk] != 1 {
		t.Errorf("after the release %d preemptions are pending and %d bulk requests in flight, want 0 and 1", q.preempting, q.inFlight[bulk])
	}
}

// BenchmarkCapacityQueue measures the admission and release of one request
// while others wait in the queue.
func BenchmarkCapacityQueue(b *testing.B) {
	for _, waiting := range []int{0, 100, 900} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			q := newQueue("s", newRouter(500), [numClasses]float64{0, 0.05, 0.05})
			q.slots = 500
			var running []*ticket
			for range 500 + waiting {
				tk, _, _ := q.admit(start, need(1, start.Add(time.Hour)))
				running = append(running, tk)
			}
			b.ReportAllocs()
			now := start
			for b.Loop() {
				now = now.Add(time.Microsecond)
				tk, _, _ := q.admit(now, need(1, now.Add(time.Hour)))
				running = append(running, tk)
				q.release(now, running[0], now)
				running = running[1:]
			}
		})
	}
}
