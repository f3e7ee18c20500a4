package steering

import "time"

// A new endpoint of a running service has no objects cached. For almost every
// request, another endpoint that has its object cached is cheaper, so the new
// one would stay idle until the others are full. The instance that owns the new
// endpoint (see owns) therefore sends it a few requests for objects of which it
// is the home, one at a time, so that it takes part of the load before it is
// urgently needed.

const (
	// warmUpObjects is the number of objects after which an endpoint gets
	// requests by cost alone.
	warmUpObjects = 4
	// warmUpInterval is the time between two warm-up requests. Each is a miss
	// and takes longer than usual.
	warmUpInterval = 500 * time.Millisecond
	// initialSetPeriod is the time after the first endpoint was added in
	// which endpoints count as part of the initial set and not as new.
	initialSetPeriod = 5 * time.Second
)

// warmUpCandidate returns a new endpoint that the request warms up, or nil.
func (t *Table) warmUpCandidate(s *service, list []candidate, r Request, now time.Time) *candidate {
	if r.Object == 0 || len(r.Tried) > 0 {
		return nil
	}
	for i := range list {
		c := &list[i]
		e := c.e
		if c.homeRank > 0 || c.remote || c.warm || c.load >= e.Slots || len(e.recent.objects) >= warmUpObjects {
			continue
		}
		if e.addedAt.Sub(t.firstAddedAt) < initialSetPeriod || now.Before(e.nextWarmUp) || !owns(t.cfg.Self, t.instances, e) {
			continue
		}
		if s.admit(c, r, now, false) != ReasonNone {
			continue
		}
		e.nextWarmUp = now.Add(warmUpInterval)
		return c
	}
	return nil
}
