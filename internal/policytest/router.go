package policytest

import (
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/admission"
	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/model"
)

// ownSlots is how many slots each instance owns in its region; the rest of the
// region's capacity is in a pool that all instances borrow from. The Router
// withholds nothing from lower priorities: it is admission that is measured.
const ownSlots = 1

// slots is the capacity of all regions.
type slots struct {
	mu      sync.Mutex
	order   []model.Region
	free    map[model.Region]int
	routers []*router
	first   int // whom signalWaiting signals first
	later   int // number of the last ReleaseAt, modulo 1000
	// held is the slot time by priority between from and to.
	held     map[model.Priority]time.Duration
	from, to time.Time
}

// router is the fake admission.Router of one instance.
type router struct {
	all      *slots
	region   model.Region
	own      int
	ownFree  int
	borrowed int
	wants    bool // the last Take found no slot
	freed    chan struct{}
	// usable reports whether a region has endpoints left; nil means yes. Region
	// selection leaves out a region without any.
	usable func(model.Region) bool
}

func (s *slots) add(region model.Region) *router {
	r := &router{all: s, region: region, freed: make(chan struct{}, 1)}
	if s.free[region] >= ownSlots {
		s.free[region] -= ownSlots
		r.own, r.ownFree = ownSlots, ownSlots
	}
	s.routers = append(s.routers, r)
	return r
}

// Take implements admission.Router: an own slot, then one from the pool of the
// own region, then of the others.
func (r *router) Take(now time.Time, n forward.AdmissionRequest) (forward.Slot, error) {
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	if r.ownFree > 0 && r.open(r.region) && !contains(n.Exclude, r.region) {
		r.ownFree--
		return &slot{router: r, region: r.region, own: true, priority: n.Priority, taken: now}, nil
	}
	if s := r.borrow(now, n, r.region); s != nil {
		return s, nil
	}
	for _, g := range r.all.order {
		if s := r.borrow(now, n, g); g != r.region && s != nil {
			return s, nil
		}
	}
	r.wants = true
	return nil, admission.ErrNoSlot
}

func (r *router) borrow(now time.Time, n forward.AdmissionRequest, g model.Region) forward.Slot {
	if contains(n.Exclude, g) || r.all.free[g] == 0 || !r.open(g) {
		return nil
	}
	r.all.free[g]--
	r.borrowed++
	return &slot{router: r, region: g, priority: n.Priority, taken: now}
}

// Slots implements admission.Router.
func (r *router) Slots(time.Time, model.Service) int {
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	n := r.borrowed
	if r.open(r.region) {
		n += r.own
	}
	for _, g := range r.all.order {
		if r.open(g) {
			n += r.all.free[g]
		}
	}
	return n
}

func (r *router) open(g model.Region) bool { return r.usable == nil || r.usable(g) }

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
	all := s.router.all
	all.mu.Lock()
	defer all.mu.Unlock()
	all.held[s.priority] += overlap(s.taken, time.Now(), all.from, all.to)
	if s.own {
		s.router.ownFree++
		s.router.signal()
		return
	}
	s.router.borrowed--
	all.free[s.region]++
	all.signalWaiting()
}

// signalWaiting signals the instances whose last Take failed, one shortly
// after the other: at the same instant the order would be the scheduler's, and
// figures would not repeat.
func (s *slots) signalWaiting() {
	s.first++
	delay := time.Duration(0)
	for i := range s.routers {
		r := s.routers[(s.first+i)%len(s.routers)]
		if r.wants {
			r.wants = false
			delay += spacing
			time.AfterFunc(delay, r.signal)
		}
	}
}

// ReleaseAt implements forward.Slot. No two slots return at the same instant:
// synctest fires timers of one instant in random order.
func (s *slot) ReleaseAt(t time.Time) {
	all := s.router.all
	all.mu.Lock()
	all.later = (all.later + 1) % 1000
	delay := time.Until(t) + time.Duration(all.later)*spacing
	all.mu.Unlock()
	time.AfterFunc(delay, s.Release)
}

// overlap is the part of begin to end that lies between from and to.
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
