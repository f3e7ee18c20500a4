package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// meanWeight is the weight of a new sample in the mean latency of a pool.
const meanWeight = 0.02

// An endpoint that has just answered has just freed a slot, and this instance is
// the first to know. Within freedFor, which is the time in which a waiting
// request gets the slot that the answer returned, it is taken instead of the
// better of two unless it costs freedMargin times as much. In a quiet instance
// the next request comes later and is spread as usual.
const (
	freedFor    = 500 * time.Microsecond
	freedMargin = 3
)

// pool is the endpoints of one service in one region, without leaving and
// drained ones.
type pool struct {
	// subset is what the instance normally uses; rest is used when the subset
	// has no usable endpoint.
	subset []*endpoint
	rest   []*endpoint
	mean   float64 // latency in ns
	// utilization is the mean of the reports.
	utilization float64
	// freed is the endpoint that answered last, until it is picked.
	freed *endpoint
	group *group
}

// group is the subsets of a service in all regions. Ejections are distrusted
// when they concern more than half of them. Counted by region, the loss of a
// region would look like a fault of the measurement, and work would go on being
// sent there.
type group struct {
	pools               []*pool
	endpoints, ejected  int
	slots, ejectedSlots int
}

// eject counts an endpoint as ejected or not.
func (g *group) eject(e *endpoint, ejected bool) {
	sign := 1
	if !ejected {
		sign = -1
	}
	g.ejected += sign
	g.ejectedSlots += sign * e.Slots
}

func (g *group) distrusted() bool {
	return 2*g.ejected > g.endpoints
}

// mostAside reports whether more than half of the endpoints are ejected or set
// aside.
func (g *group) mostAside(now time.Time) bool {
	n := 0
	for _, p := range g.pools {
		for _, e := range p.subset {
			if e.ejected || e.aside(now) {
				n++
			}
		}
	}
	return 2*n > g.endpoints
}

func (p *pool) meanLatency() float64 {
	if p.mean == 0 {
		return defaultLatency
	}
	return p.mean
}

func (p *pool) sample(ns float64) {
	if p.mean == 0 {
		p.mean = ns
		return
	}
	p.mean += meanWeight * (ns - p.mean)
}

func (p *pool) sampleUtilization(u float64) {
	p.utilization += meanWeight * (u - p.utilization)
}

// pick returns the better of two random usable endpoints of the subset, or of
// the rest if there is none. It returns nil if all are excluded or ejected.
func (p *pool) pick(now time.Time, rnd *rand.Rand, exclude []model.EndpointID, probe bool) *endpoint {
	if probe {
		if e := p.probe(now, exclude); e != nil {
			return e
		}
	}
	if e := p.pickFrom(p.subset, now, rnd, exclude); e != nil {
		return e
	}
	return p.pickFrom(p.rest, now, rnd, exclude)
}

// probe returns an ejected endpoint whose pause has passed, so that the
// request shows whether it is back.
func (p *pool) probe(now time.Time, exclude []model.EndpointID) *endpoint {
	for _, e := range p.subset {
		if e.ejected && e.probeDue(now) && !e.alone && !slices.Contains(exclude, e.ID) {
			return e
		}
	}
	return nil
}

// pickFrom prefers endpoints that are not set aside. When more than half are,
// it uses all that are not ejected, and all when the group is distrusted.
func (p *pool) pickFrom(from []*endpoint, now time.Time, rnd *rand.Rand, exclude []model.EndpointID) *endpoint {
	if len(from) == 0 {
		return nil
	}
	all := p.group.distrusted()
	possible := func(e *endpoint) bool {
		return (all || !e.ejected) && !e.alone && !slices.Contains(exclude, e.ID)
	}
	anyway := p.group.mostAside(now)
	allowed := func(e *endpoint) bool { return possible(e) && (anyway || !e.aside(now)) }
	e := better(now, draw(from, now, rnd, allowed), draw(from, now, rnd, allowed))
	if e == nil {
		e = lowest(from, now, allowed)
	}
	if e == nil {
		return lowest(from, now, possible)
	}
	if f := p.freed; f != nil && allowed(f) && f.justFreed(now) && f.cost(now) < freedMargin*e.cost(now) {
		e = f
	}
	if e == p.freed {
		p.freed = nil
	}
	return e
}

// draw returns a random allowed endpoint, or nil after drawLimit draws. A cold
// endpoint is passed over with the probability that its ramp leaves.
func draw(from []*endpoint, now time.Time, rnd *rand.Rand, allowed func(*endpoint) bool) *endpoint {
	for range drawLimit {
		e := from[rnd.IntN(len(from))]
		if !allowed(e) {
			continue
		}
		if r := e.ramp(now); r == 1 || rnd.Float64() < r {
			return e
		}
	}
	return nil
}

func better(now time.Time, a, b *endpoint) *endpoint {
	if a == nil {
		return b
	}
	if b == nil || a == b || a.cost(now) <= b.cost(now) {
		return a
	}
	return b
}

// lowest returns the allowed endpoint of the lowest cost, or nil.
func lowest(from []*endpoint, now time.Time, allowed func(*endpoint) bool) *endpoint {
	var found *endpoint
	lowestCost := 0.0
	for _, e := range from {
		if !allowed(e) {
			continue
		}
		if c := e.cost(now) / e.ramp(now); found == nil || c < lowestCost {
			found, lowestCost = e, c
		}
	}
	return found
}

// best returns the lowest of the subset, or of the rest.
func (p *pool) best(now time.Time, exclude []model.EndpointID, ok func(*endpoint) bool) *endpoint {
	allowed := func(e *endpoint) bool { return ok(e) && !slices.Contains(exclude, e.ID) }
	if e := lowest(p.subset, now, allowed); e != nil {
		return e
	}
	return lowest(p.rest, now, allowed)
}
