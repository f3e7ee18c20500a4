package fleetsim

import (
	"container/heap"
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

// outcome is the result of a request at an endpoint.
type outcome int

const (
	answered outcome = iota
	shed
	unreachable
)

// endpoint runs requests in its slots and caches the objects used last.
type endpoint struct {
	sim    *sim
	id     model.EndpointID
	region model.Region
	// serviceTimeFactor multiplies the service time.
	serviceTimeFactor float64
	// index is the endpoint's number in its region.
	index int
	// slowTimes are the times at which the machine becomes slow and usual, in turn.
	slowTimes []time.Duration
	// generation counts restarts. The endpoint is warming until warmAt.
	generation int
	warmAt     time.Duration
	entry      steering.Endpoint
	failed     bool
	running    int
	queue      []job
	// cache holds the cached objects, most recently used first.
	cache []uint32
	// rateLimit is the limit that the endpoint names since limitedSince, if it is
	// positive. limitedArrivals are the times of the latest requests since
	// limitSettleTime later.
	rateLimit       float64
	limitedSince    time.Duration
	limitedArrivals []time.Duration
}

const (
	limitWindow     = 4 * time.Second
	limitSettleTime = 3 * time.Second
)

// countArrival counts a request at an endpoint that names a rate limit.
func (e *endpoint) countArrival() {
	now := e.sim.now
	if e.rateLimit <= 0 || now < e.limitedSince+limitSettleTime {
		return
	}
	e.limitedArrivals = append(e.limitedArrivals, now)
	for now-e.limitedArrivals[0] >= limitWindow {
		e.limitedArrivals = e.limitedArrivals[1:]
	}
	e.sim.result.MaxLimited = max(e.sim.result.MaxLimited, len(e.limitedArrivals))
}

type job struct {
	object uint32
	done   func(outcome)
}

func (e *endpoint) accept(object uint32, done func(outcome)) {
	e.countArrival()
	e.sim.result.arrivals = append(e.sim.result.arrivals, arrival{e.sim.now, e.id})
	switch j := (job{object, done}); {
	case e.failed:
		done(unreachable)
	case e.running < e.sim.cfg.Slots:
		e.start(j)
	case len(e.queue) < e.sim.cfg.Queue:
		e.queue = append(e.queue, j)
	default:
		done(shed)
	}
}

// serviceTimeDeviation is the relative standard deviation of the service time.
const serviceTimeDeviation = 0.15

func (e *endpoint) start(j job) {
	e.running++
	s := e.sim
	serviceTime := float64(s.cfg.MissServiceTime)
	if e.isCached(j.object) {
		serviceTime = float64(s.cfg.HitServiceTime)
	}
	generation := e.generation
	serviceTime *= e.overload() * e.serviceTimeFactor * max(0.3, 1+serviceTimeDeviation*s.rnd.NormFloat64())
	s.schedule(e.finishTime(time.Duration(serviceTime)), func() {
		if e.failed || e.generation != generation {
			j.done(unreachable)
			return
		}
		e.running--
		e.addToCache(j.object)
		j.done(answered)
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			e.start(next)
		}
	})
}

func (e *endpoint) isCached(object uint32) bool {
	for _, o := range e.cache {
		if o == object {
			return true
		}
	}
	return false
}

func (e *endpoint) addToCache(object uint32) {
	cache := []uint32{object}
	for _, o := range e.cache {
		if o != object && len(cache) < e.sim.cfg.CacheSize {
			cache = append(cache, o)
		}
	}
	e.cache = cache
}

// fail makes the endpoint unreachable. Its running and queued requests fail.
func (e *endpoint) fail() {
	e.failed = true
	for _, j := range e.queue {
		j.done(unreachable)
	}
	e.queue = nil
}

// event is a function that runs at a simulated time. Events with the same time
// run in the order in which they were scheduled, by seq, so that runs with the
// same seed are equal.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []event

func (s *sim) schedule(t time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{t, s.seq, do})
}

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
