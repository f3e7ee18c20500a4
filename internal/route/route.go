// Package route chooses the region of a request and takes a slot there. It
// implements admission.Router.
//
// A service with weights in the rules goes to its regions in their ratio. Any
// other service goes to the instance's own region, and to another one only if
// the own region has no free slot. A region is chosen only if the cap on
// shifts allows it, a slot there is free (owned or borrowed) and the link to
// it has budget left.
package route

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jujubestile.example/jujubestile/internal/admission"
	"jujubestile.example/jujubestile/internal/capacity"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
	"jujubestile.example/jujubestile/internal/shift"
)

// publishEvery is how often positions of shifts are published.
const publishEvery = time.Second

// Config holds what a Router decides by.
type Config struct {
	// Region is the instance's own region.
	Region      model.Region
	Incarnation model.Incarnation
	Capacity    *capacity.State
	Limiter     *shift.Limiter
	Handover    *shift.Positions
	Signals     *Signals
	// HasEndpoints reports whether a region has endpoints of a service to send
	// to. It may be nil; then all regions have.
	HasEndpoints func(model.Service, model.Region) bool
}

// Router implements admission.Router. Its methods may be called concurrently.
type Router struct {
	cfg Config

	mu       sync.Mutex
	set      *rules.Set
	services map[model.Service]*service
	links    map[model.Region]*linkBucket
	// lost are regions that no request goes to.
	lost    map[model.Region]bool
	drained map[model.Region]bool
	ready   bool
	// published is when the positions of shifts were last published.
	published time.Time
}

// service holds the choice among the regions of one service.
type service struct {
	name model.Service
	// weights is nil for a service that goes to the own region first.
	weights *weighted
	// regions are those with capacity, the own one first.
	regions []model.Region
	// waiting means that a request waits for a cap or a link, which become
	// free with time.
	waiting bool
}

var _ admission.Router = (*Router)(nil)

// New returns a router without rules. It gives no slots before SetRules.
func New(cfg Config) *Router {
	return &Router{
		cfg:      cfg,
		services: make(map[model.Service]*service),
		links:    make(map[model.Region]*linkBucket),
		lost:     make(map[model.Region]bool),
		drained:  make(map[model.Region]bool),
	}
}

// SetRules takes the rules that are in effect. It passes them to the capacity
// and the limiter.
func (r *Router) SetRules(now time.Time, set *rules.Set) {
	r.cfg.Capacity.SetRules(now, set)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set = set
	r.setServices(set)
	r.cfg.Limiter.SetRules(now, set, r.start)
	r.setLinks(now, set)
	r.setDrained(now, set)
}

func (r *Router) setServices(set *rules.Set) {
	byService := make(map[model.Service][]model.Region)
	for k, n := range set.Capacity {
		if n > 0 {
			byService[k.Service] = append(byService[k.Service], k.Region)
		}
	}
	old := r.services
	r.services = make(map[model.Service]*service, len(set.Services))
	for name := range set.Services {
		s := &service{name: name, regions: byService[name]}
		r.sortRegions(s.regions)
		if w := set.Weights[name]; len(w) > 0 {
			s.weights = newWeighted(w)
		}
		if prev := old[name]; prev != nil && s.weights != nil && s.weights.same(prev.weights) {
			s.weights = prev.weights
		}
		r.services[name] = s
	}
}

// sortRegions puts the own region first and the others in an order that
// differs between own regions, so that they do not all spill to the same.
func (r *Router) sortRegions(regions []model.Region) {
	key := func(x model.Region) uint64 {
		if x == r.cfg.Region {
			return 0
		}
		return xxhash.Sum64String(string(r.cfg.Region)+"\x00"+string(x)) | 1
	}
	slices.SortFunc(regions, func(a, b model.Region) int {
		ka, kb := key(a), key(b)
		if ka < kb {
			return -1
		}
		if ka > kb {
			return 1
		}
		return 0
	})
}

// target returns the shares that the rules ask for.
func (r *Router) target(name model.Service) shift.Shares {
	if w := r.set.Weights[name]; len(w) > 0 {
		return shift.Shares(w)
	}
	return shift.Shares{r.cfg.Region: 1}
}

// start returns the shares that a new service or instance begins with.
func (r *Router) start(name model.Service) shift.Shares {
	if sh, ok := r.cfg.Handover.StartShares(name, len(r.set.Weights[name]) > 0); ok {
		return sh
	}
	return r.target(name)
}

func (r *Router) setDrained(now time.Time, set *rules.Set) {
	for region, domains := range set.Regions {
		all := len(domains) > 0
		for _, d := range domains {
			all = all && set.DrainDomains[d]
		}
		if all && !r.drained[region] {
			r.cfg.Limiter.RegionFailed(now, region)
		}
		r.drained[region] = all
	}
}

// SetRegionFailed says whether a region has failed. No request goes to a failed
// region, and its shares return at the cap.
func (r *Router) SetRegionFailed(now time.Time, region model.Region, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if lost && !r.lost[region] {
		r.cfg.Limiter.RegionFailed(now, region)
	}
	r.lost[region] = lost
}

// Ready reports whether the router knows where shifts stand.
func (r *Router) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready
}

// Tick wakes waiting requests whose cap or link may allow them by now, and
// publishes shifts in progress. It is called several times a second.
func (r *Router) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.set == nil {
		return
	}
	r.settle(now)
	for name, s := range r.services {
		if s.waiting {
			s.waiting = false
			r.cfg.Signals.Signal(name)
		}
	}
	if r.ready && now.Sub(r.published) >= publishEvery {
		r.published = now
		r.publish(now)
	}
}

// settle takes the positions of peers once they are known.
func (r *Router) settle(now time.Time) {
	if r.ready || !r.cfg.Handover.Ready() {
		return
	}
	for name := range r.services {
		if sh, ok := r.cfg.Handover.StartShares(name, len(r.set.Weights[name]) > 0); ok {
			r.cfg.Limiter.SetShares(now, name, sh)
		}
		r.cfg.Signals.Signal(name)
	}
	r.ready = true
}

func (r *Router) publish(now time.Time) {
	for name := range r.set.Shifts {
		if r.services[name] != nil {
			r.cfg.Handover.Publish(r.cfg.Incarnation, name, r.cfg.Limiter.Position(now, name), r.target(name))
		}
	}
}

// Slots is part of admission.Router.
func (r *Router) Slots(now time.Time, name model.Service) int {
	r.mu.Lock()
	s := r.services[name]
	r.mu.Unlock()
	if s == nil {
		return 0
	}
	n := 0
	for _, region := range s.regions {
		if !r.hasEndpoints(name, region) {
			continue
		}
		n += r.cfg.Capacity.Usable(now, capacity.Key{Region: region, Service: name})
	}
	return n
}

func (r *Router) hasEndpoints(s model.Service, region model.Region) bool {
	return r.cfg.HasEndpoints == nil || r.cfg.HasEndpoints(s, region)
}

// Freed is part of admission.Router.
func (r *Router) Freed(name model.Service) <-chan struct{} {
	return r.cfg.Signals.channel(name)
}
