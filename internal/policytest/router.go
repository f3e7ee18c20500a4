package policytest

import (
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/admission"
	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/model"
)

// ownSlots is the number of slots that each instance owns in its region. The
// rest of the capacity is in a pool from which all instances borrow. The router
// reserves nothing for higher priorities, so that the results show the effect of
// admission control alone.
const ownSlots = 1

// slotPool holds the slots of all regions.
type slotPool struct {
	mu         sync.Mutex
	regions    []model.Region
	free       map[model.Region]int
	routers    []*router
	nextSignal int // index of the router that signalWaiting signals first
	releases   int // number of ReleaseAt calls, modulo 1000
	// held is the time for which slots were held between from and to, by
	// priority.
	held     map[model.Priority]time.Duration
	from, to time.Time
}

// router is the admission.Router of one instance.
type router struct {
	pool     *slotPool
	region   model.Region
	own      int
	ownFree  int
	borrowed int
	waiting  bool // the last Take found no slot
	freed    chan struct{}
	// usable reports whether a region has usable endpoints; slots of other
	// regions are not used. If it is nil, every region is usable.
	usable func(model.Region) bool
}

func (s *slotPool) addRouter(region model.Region) *router {
	r := &router{pool: s, region: region, freed: make(chan struct{}, 1)}
	if s.free[region] >= ownSlots {
		s.free[region] -= ownSlots
		r.own, r.ownFree = ownSlots, ownSlots
	}
	s.routers = append(s.routers, r)
	return r
}

// Take implements admission.Router. It prefers an own slot, then one from the
// pool in the instance's region, then one in another region.
func (r *router) Take(now time.Time, n forward.AdmissionRequest) (forward.Slot, error) {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	if r.ownFree > 0 && r.isUsable(r.region) && !contains(n.Exclude, r.region) {
		r.ownFree--
		return &slot{router: r, region: r.region, own: true, priority: n.Priority, taken: now}, nil
	}
	if s := r.borrow(now, n, r.region); s != nil {
		return s, nil
	}
	for _, g := range r.pool.regions {
		if s := r.borrow(now, n, g); g != r.region && s != nil {
			return s, nil
		}
	}
	r.waiting = true
	return nil, admission.ErrNoSlot
}

func (r *router) borrow(now time.Time, n forward.AdmissionRequest, g model.Region) forward.Slot {
	if contains(n.Exclude, g) || r.pool.free[g] == 0 || !r.isUsable(g) {
		return nil
	}
	r.pool.free[g]--
	r.borrowed++
	return &slot{router: r, region: g, priority: n.Priority, taken: now}
}

// Slots implements admission.Router.
func (r *router) Slots(time.Time, model.Service) int {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	n := r.borrowed
	if r.isUsable(r.region) {
		n += r.own
	}
	for _, g := range r.pool.regions {
		if r.isUsable(g) {
			n += r.pool.free[g]
		}
	}
	return n
}

func (r *router) isUsable(g model.Region) bool { return r.usable == nil || r.usable(g) }

// Freed implements admission.Router.
func (r *router) Freed(model.Service) <-chan struct{} { return r.freed }

func (r *router) signal() {
	select {
	case r.freed <- struct{}{}:
	default:
	}
}

type slot struct {
	router *router
	region model.Region
	own    bool

	priority model.Priority
	taken    time.Time
}

func (s *slot) Region() model.Region { return s.region }

// Release implements forward.Slot.
func (s *slot) Release() {
	pool := s.router.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.held[s.priority] += overlap(s.taken, time.Now(), pool.from, pool.to)
	if s.own {
		s.router.ownFree++
		s.router.signal()
		return
	}
	s.router.borrowed--
	pool.free[s.region]++
	pool.signalWaiting()
}

// signalWaiting signals the instances whose last Take found no slot, at
// staggered times: signals at the same instant would be handled in an order that
// depends on the scheduler, and the figures would not be reproducible.
func (s *slotPool) signalWaiting() {
	s.nextSignal++
	delay := time.Duration(0)
	for i := range s.routers {
		r := s.routers[(s.nextSignal+i)%len(s.routers)]
		if r.waiting {
			r.waiting = false
			delay += staggerStep
			time.AfterFunc(delay, r.signal)
		}
	}
}

// ReleaseAt implements forward.Slot. Releases are staggered, since synctest
// fires timers of the same instant in random order.
func (s *slot) ReleaseAt(t time.Time) {
	pool := s.router.pool
	pool.mu.Lock()
	pool.releases = (pool.releases + 1) % 1000
	delay := time.Until(t) + time.Duration(pool.releases)*staggerStep
	pool.mu.Unlock()
	time.AfterFunc(delay, s.Release)
}

// overlap returns how much of the interval from begin to end lies between from
// and to.
func overlap(begin, end, from, to time.Time) time.Duration {
	if begin.Before(from) {
		begin = from
	}
	if end.After(to) {
		end = to
	}
	return max(0, end.Sub(begin))
}

func contains(rs []model.Region, r model.Region) bool {
	for _, x := range rs {
		if x == r {
			return true
		}
	}
	return false
}
