package policytest

import (
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/dispatch"
	"jujubestile.example/jujubestile/internal/model"
)

// ownSlots is how many slots each instance owns in its region; the rest of the
// region's capacity is in a pool that all instances borrow from.
const ownSlots = 1

// Fractions of the pool that priority 2 and 3 leave, like the reserves of
// admission: otherwise bulk work of all instances together takes every slot.
var poolReserve = map[model.Priority]float64{model.PriorityNormal: 0.25, model.PriorityBulk: 0.37}

// slots is the capacity of all regions.
type slots struct {
	mu      sync.Mutex
	order   []model.Region
	size    map[model.Region]int // of the pool
	free    map[model.Region]int
	routers []*router
}

// router is the fake dispatch.Router of one instance.
type router struct {
	all      *slots
	region   model.Region
	own      int
	ownFree  int
	borrowed int
	freed    chan struct{}
}

func (s *slots) add(region model.Region) *router {
	r := &router{all: s, region: region, freed: make(chan struct{}, 1)}
	if s.free[region] >= ownSlots {
		s.free[region] -= ownSlots
		s.size[region] -= ownSlots
		r.own, r.ownFree = ownSlots, ownSlots
	}
	s.routers = append(s.routers, r)
	return r
}

// Take implements dispatch.Router: an own slot, then one from the pool of the
// own region, then of the others.
func (r *router) Take(_ time.Time, n dispatch.Need) (dispatch.Slot, error) {
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	if r.ownFree > 0 && !contains(n.Exclude, r.region) {
		r.ownFree--
		return &slot{router: r, region: r.region, own: true}, nil
	}
	if s := r.borrow(n, r.region); s != nil {
		return s, nil
	}
	for _, g := range r.all.order {
		if s := r.borrow(n, g); g != r.region && s != nil {
			return s, nil
		}
	}
	return nil, dispatch.ErrNoSlot
}

func (r *router) borrow(n dispatch.Need, g model.Region) dispatch.Slot {
	keep := int(poolReserve[n.Priority] * float64(r.all.size[g]))
	if contains(n.Exclude, g) || r.all.free[g] <= keep {
		return nil
	}
	r.all.free[g]--
	r.borrowed++
	return &slot{router: r, region: g}
}

// Slots implements dispatch.Router.
func (r *router) Slots(time.Time, model.Service) int {
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	n := r.own + r.borrowed
	for _, g := range r.all.order {
		n += r.all.free[g]
	}
	return n
}

// Freed implements dispatch.Router.
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
}

func (s *slot) Region() model.Region { return s.region }

// Release implements dispatch.Slot.
func (s *slot) Release() {
	all := s.router.all
	all.mu.Lock()
	defer all.mu.Unlock()
	if s.own {
		s.router.ownFree++
		s.router.signal()
		return
	}
	s.router.borrowed--
	all.free[s.region]++
	for _, r := range all.routers {
		r.signal()
	}
}

// ReleaseAt implements dispatch.Slot.
func (s *slot) ReleaseAt(t time.Time) {
	time.AfterFunc(time.Until(t), s.Release)
}

func contains(rs []model.Region, r model.Region) bool {
	for _, x := range rs {
		if x == r {
			return true
		}
	}
	return false
}
