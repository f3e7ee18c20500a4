package route

import (
	"slices"
	"time"

	"jujubestile.example/jujubestile/internal/admission"
	"jujubestile.example/jujubestile/internal/capacity"
	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/model"
)

// maxRegions is the number of candidate regions up to which a search allocates
// no memory.
const maxRegions = 16

// Take implements admission.Router.
func (r *Router) Take(now time.Time, req forward.AdmissionRequest) (forward.Slot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[req.Service]
	if s == nil {
		return nil, admission.ErrNoSlot
	}
	if !r.ready {
		s.waiting = true
		return nil, admission.ErrShiftCapped
	}
	var buf [maxRegions]model.Region
	ss := slotSearch{r: r, s: s, now: now, req: req, id: requestID(req)}
	ss.candidates = r.candidates(buf[:0], s, req)
	return ss.run()
}

// requestID returns an ID of a request within its service. It is made from the
// deadline, which has a resolution of 1 ns and stays the same while the request
// waits.
func requestID(req forward.AdmissionRequest) uint64 {
	return uint64(req.Deadline.UnixNano())
}

// candidates appends the regions that the request may go to, the preferred one
// first.
func (r *Router) candidates(to []model.Region, s *service, req forward.AdmissionRequest) []model.Region {
	if s.weights != nil {
		return s.weights.order(to, func(region model.Region) bool { return r.eligible(region, req) })
	}
	for _, region := range s.regions {
		if r.eligible(region, req) {
			to = append(to, region)
		}
	}
	return to
}

func (r *Router) eligible(region model.Region, req forward.AdmissionRequest) bool {
	return !r.failed[region] && !r.drained[region] && !slices.Contains(req.Exclude, region) && r.hasEndpoints(req.Service, region)
}

// slotSearch is the search for a slot for one request.
type slotSearch struct {
	r          *Router
	s          *service
	now        time.Time
	req        forward.AdmissionRequest
	id         uint64
	candidates []model.Region
	// allowed counts the regions tried so far that the shift cap allows. capped
	// means that the cap forbids a region, cappedFree that it forbids one with
	// a free slot.
	allowed            int
	capped, cappedFree bool
}

func (ss *slotSearch) run() (forward.Slot, error) {
	for _, region := range ss.candidates {
		if slot := ss.tryRegion(region); slot != nil {
			return slot, nil
		}
	}
	if ss.capped {
		ss.s.waiting = true
		ss.r.cfg.Limiter.Refused(ss.now, ss.req.Service, ss.id)
	}
	if ss.cappedFree || ss.capped && ss.allowed == 0 {
		return nil, admission.ErrShiftCapped
	}
	return nil, admission.ErrNoSlot
}

// tryRegion takes a slot in the region. It returns nil if the cap, the budget
// of the link or a lack of slots prevents that.
func (ss *slotSearch) tryRegion(region model.Region) forward.Slot {
	c := ss.r.cfg.Capacity
	k := capacity.Key{Region: region, Service: ss.req.Service}
	if !ss.r.cfg.Limiter.Allow(ss.now, ss.req.Service, region, ss.id) {
		ss.capped = true
		ss.cappedFree = ss.cappedFree || c.Free(ss.now, k, ss.req.Priority, ss.req.Deadline) > 0
		return nil
	}
	spill := ss.allowed > 0
	ss.allowed++
	link := ss.r.links[region]
	if link != nil && !link.allows(ss.now, c.LinkShare(ss.now), ss.req) {
		ss.s.waiting = true
		return nil
	}
	slot := c.Take(ss.now, k, ss.req.Priority, ss.req.Deadline)
	if slot == nil {
		c.ReportUnmet(ss.now, k, ss.req.Priority, spill)
		return nil
	}
	ss.recordTaken(region, link)
	return slot
}

func (ss *slotSearch) recordTaken(region model.Region, link *linkBucket) {
	ss.r.cfg.Limiter.Sent(ss.now, ss.req.Service, region, ss.id)
	if link != nil {
		link.take(ss.req.Bytes)
	}
	if ss.s.weights != nil {
		ss.s.weights.recordChoice(region)
	}
}
