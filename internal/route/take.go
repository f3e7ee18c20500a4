package route

import (
	"slices"
	"time"

	"jujubestile.example/jujubestile/internal/admission"
	"jujubestile.example/jujubestile/internal/capacity"
	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/model"
)

// maxRegions bounds the regions considered without an allocation.
const maxRegions = 16

// Take is part of admission.Router.
func (r *Router) Take(now time.Time, n forward.AdmissionRequest) (forward.Slot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[n.Service]
	if s == nil {
		return nil, admission.ErrNoSlot
	}
	if !r.ready {
		s.waiting = true
		return nil, admission.ErrShiftCapped
	}
	var buf [maxRegions]model.Region
	a := attempt{r: r, s: s, now: now, need: n, id: requestID(n)}
	a.candidates = r.candidates(buf[:0], s, n)
	return a.run()
}

// requestID tells requests of a service apart. Deadlines have a resolution of
// a nanosecond and stay the same while a request waits.
func requestID(n forward.AdmissionRequest) uint64 {
	return uint64(n.Deadline.UnixNano())
}

// candidates appends the regions that the request may go to, the first choice
// first.
func (r *Router) candidates(to []model.Region, s *service, n forward.AdmissionRequest) []model.Region {
	if s.weights != nil {
		return s.weights.order(to, func(region model.Region) bool { return r.eligible(region, n) })
	}
	for _, region := range s.regions {
		if r.eligible(region, n) {
			to = append(to, region)
		}
	}
	return to
}

func (r *Router) eligible(region model.Region, n forward.AdmissionRequest) bool {
	return !r.lost[region] && !r.drained[region] && !slices.Contains(n.Exclude, region) && r.hasEndpoints(n.Service, region)
}

// attempt is the search for the slot of one request.
type attempt struct {
	r          *Router
	s          *service
	now        time.Time
	need       forward.AdmissionRequest
	id         uint64
	candidates []model.Region
	// allowed counts regions that the cap allows; cappedFree means that the
	// cap forbids a region with a free slot.
	allowed            int
	capped, cappedFree bool
}

func (a *attempt) run() (forward.Slot, error) {
	for _, region := range a.candidates {
		if slot := a.try(region); slot != nil {
			return slot, nil
		}
	}
	if a.capped {
		a.s.waiting = true
		a.r.cfg.Limiter.Refused(a.now, a.need.Service, a.id)
	}
	if a.cappedFree || a.capped && a.allowed == 0 {
		return nil, admission.ErrShiftCapped
	}
	return nil, admission.ErrNoSlot
}

// try takes a slot in the region, or returns nil.
func (a *attempt) try(region model.Region) forward.Slot {
	c := a.r.cfg.Capacity
	k := capacity.Key{Region: region, Service: a.need.Service}
	if !a.r.cfg.Limiter.Allow(a.now, a.need.Service, region, a.id) {
		a.capped = true
		a.cappedFree = a.cappedFree || c.Free(a.now, k, a.need.Deadline) > 0
		return nil
	}
	spill := a.allowed > 0
	a.allowed++
	link := a.r.links[region]
	if link != nil && !link.has(a.now, c.LinkShare(a.now), a.need) {
		a.s.waiting = true
		return nil
	}
	slot := c.Take(a.now, k, a.need.Priority, a.need.Deadline)
	if slot == nil {
		c.ReportUnmet(a.now, k, a.need.Priority, spill)
		return nil
	}
	a.taken(region, link)
	return slot
}

func (a *attempt) taken(region model.Region, link *linkBucket) {
	a.r.cfg.Limiter.Sent(a.now, a.need.Service, region, a.id)
	if link != nil {
		link.take(a.need.Bytes)
	}
	if a.s.weights != nil {
		a.s.weights.chosen(region)
	}
}
