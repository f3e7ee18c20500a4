// Package route chooses the region of a request and takes a slot there. It
// implements admission.Router.
//
// Requests of a service that has weights in the rules go to its regions in
// proportion to the weights. Requests of any other service go to the
// instance's own region, and spill to another one only if that region has
// no free slot. A region is chosen only if the cap on traffic shifts allows
// it, the link to it has budget left and a slot there is free, owned or
// borrowed.
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

// publishInterval is how often the positions of shifts are published to the
// other instances.
const publishInterval = time.Second

// Config holds the dependencies of a Router.
type Config struct {
	// Region is the instance's own region.
	Region      model.Region
	Incarnation model.Incarnation
	Capacity    *capacity.State
	Limiter     *shift.Limiter
	Positions   *shift.Positions
	Signals     *Signals
	// HasEndpoints reports whether a region has usable endpoints of a service.
	// If it is nil, all regions count as having some.
	HasEndpoints func(model.Service, model.Region) bool
}

// Router implements admission.Router. Its methods may be called concurrently.
type Router struct {
	cfg Config

	mu       sync.Mutex
	set      *rules.Set
	services map[model.Service]*service
	links    map[model.Region]*linkBucket
	// No request goes to a region that has failed, or of which all failure
	// domains are drained.
	failed  map[model.Region]bool
	drained map[model.Region]bool
	// ready means that the positions of shifts from before the start are known.
	ready bool
	// published is when the positions of shifts were last published.
	published time.Time
}

// service is the state of the choice among the regions of a service.
type service struct {
	name model.Service
	// weights is nil for a service whose requests go to Config.Region first.
	weights *weighted
	// regions are those with capacity, Config.Region first.
	regions []model.Region
	// waiting means that a request waits for a shift cap or a link. Either may
	// allow the request after some time, without a slot becoming free.
	waiting bool
}

var _ admission.Router = (*Router)(nil)

// New returns a Router without rules. Take finds no slots before SetRules is
// called.
func New(cfg Config) *Router {
	return &Router{
		cfg:      cfg,
		services: make(map[model.Service]*service),
		links:    make(map[model.Region]*linkBucket),
		failed:   make(map[model.Region]bool),
		drained:  make(map[model.Region]bool),
	}
}

// SetRules sets the rules in force. It passes them on to the capacity state
// and the limiter.
func (r *Router) SetRules(now time.Time, set *rules.Set) {
	r.cfg.Capacity.SetRules(now, set)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set = set
	r.setServices(set)
	r.cfg.Limiter.SetRules(now, set, r.startShares)
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
		if prev := old[name]; prev != nil && s.weights != nil && s.weights.equal(prev.weights) {
			s.weights = prev.weights
		}
		r.services[name] = s
	}
}

// sortRegions puts this instance's region first. The order of the others depends
// on that region, so that instances of different regions do not all spill to the
// same one.
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

// targetShares returns the shares of the regions that the rules ask for.
func (r *Router) targetShares(name model.Service) shift.Shares {
	if w := r.set.Weights[name]; len(w) > 0 {
		return shift.Shares(w)
	}
	return shift.Shares{r.cfg.Region: 1}
}

// startShares returns the shares that a service starts with when it or this
// instance is new: during a shift, those of the peer that is furthest from the
// target, else those that the rules ask for.
func (r *Router) startShares(name model.Service) shift.Shares {
	if sh, ok := r.cfg.Positions.StartShares(name, len(r.set.Weights[name]) > 0); ok {
		return sh
	}
	return r.targetShares(name)
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

// SetRegionFailed sets whether a region has failed. No request goes to a failed
// region. After its recovery, the shift cap limits how fast its shares rise.
func (r *Router) SetRegionFailed(now time.Time, region model.Region, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if failed && !r.failed[region] {
		r.cfg.Limiter.RegionFailed(now, region)
	}
	r.failed[region] = failed
}

// Ready reports whether the router knows the positions of the shifts in
// progress. Before that, Take takes no slots.
func (r *Router) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready
}

// Tick wakes requests that wait for a shift cap or a link, and publishes the
// positions of shifts. It has to be called several times a second.
func (r *Router) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.set == nil {
		return
	}
	r.applyPositions(now)
	for name, s := range r.services {
		if s.waiting {
			s.waiting = false
			r.cfg.Signals.Signal(name)
		}
	}
	if r.ready && now.Sub(r.published) >= publishInterval {
		r.published = now
		r.publish(now)
	}
}

// applyPositions applies the shift positions of the peers once they are known.
func (r *Router) applyPositions(now time.Time) {
	if r.ready || !r.cfg.Positions.Ready() {
		return
	}
	for name := range r.services {
		if sh, ok := r.cfg.Positions.StartShares(name, len(r.set.Weights[name]) > 0); ok {
			r.cfg.Limiter.SetShares(now, name, sh)
		}
		r.cfg.Signals.Signal(name)
	}
	r.ready = true
}

func (r *Router) publish(now time.Time) {
	for name := range r.set.Shifts {
		if r.services[name] != nil {
			r.cfg.Positions.Publish(r.cfg.Incarnation, name, r.cfg.Limiter.Position(now, name), r.targetShares(name))
		}
	}
}

// Slots implements admission.Router.
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

// Freed implements admission.Router.
func (r *Router) Freed(name model.Service) <-chan struct{} {
	return r.cfg.Signals.channel(name)
}
