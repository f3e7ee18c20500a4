package fleetsim

import (
	"container/heap"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// outcome is how a request ended at an endpoint.
type outcome int

const (
	answered outcome = iota
	shed
	lost
)

// endpoint runs requests in its slots and keeps the state of some objects.
type endpoint struct {
	sim    *sim
	id     model.EndpointID
	region model.Region
	// speed multiplies the work.
	speed   float64
	gone    bool
	running int
	waiting []job
	// kept are the known objects, the latest first.
	kept []uint32
}

type job struct {
	object uint32
	done   func(outcome)
}

func (e *endpoint) arrive(object uint32, done func(outcome)) {
	switch j := (job{object, done}); {
	case e.gone:
		done(lost)
	case e.running < e.sim.cfg.Slots:
		e.start(j)
	case len(e.waiting) < e.sim.cfg.Queue:
		e.waiting = append(e.waiting, j)
	default:
		done(shed)
	}
}

// spread is the relative deviation of the work.
const spread = 0.15

func (e *endpoint) start(j job) {
	e.running++
	s := e.sim
	work := float64(s.cfg.MissServiceTime)
	if e.knows(j.object) {
		work = float64(s.cfg.HitServiceTime)
	}
	work *= e.speed * max(0.3, 1+spread*s.rnd.NormFloat64())
	s.at(s.now+time.Duration(work), func() {
		if e.gone {
			j.done(lost)
			return
		}
		e.running--
		e.keep(j.object)
		j.done(answered)
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			e.start(next)
		}
	})
}

func (e *endpoint) knows(object uint32) bool {
	for _, o := range e.kept {
		if o == object {
			return true
		}
	}
	return false
}

func (e *endpoint) keep(object uint32) {
	kept := []uint32{object}
	for _, o := range e.kept {
		if o != object && len(kept) < e.sim.cfg.CacheSize {
			kept = append(kept, o)
		}
	}
	e.kept = kept
}

// lose ends the endpoint with all that it has.
func (e *endpoint) lose() {
	e.gone = true
	for _, j := range e.waiting {
		j.done(lost)
	}
	e.waiting = nil
}

// event is something that happens at a time. order keeps events of the same
// time in the order in which they were made, so that a seed decides a run.
type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (s *sim) at(t time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, event{t, s.order, do})
}

// Len implements heap.Interface.
func (q events) Len() int { return len(q) }

// Less implements heap.Interface.
func (q events) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

// Swap implements heap.Interface.
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
