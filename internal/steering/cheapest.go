package steering

import (
	"math"
	"time"
)

// cheapest returns the candidate with the lowest cost that the cap on traffic
// shifts permits, and the second best. capped is set if the cap excluded the
// best one. The cap does not apply to retries, which are few.
func (t *Table) cheapest(s *service, list []candidate, retry bool, now time.Time) (best, next *candidate, capped bool) {
	remoteAllowed, localAllowed := t.shiftAllowed(s, list, retry, now)
	var local, remote [2]*candidate
	for i := range list {
		if c := &list[i]; c.remote {
			insertBest(&remote, c)
		} else {
			insertBest(&local, c)
		}
	}
	switch {
	case local[0] == nil && remote[0] == nil:
		return nil, nil, false
	case remote[0] == nil || (local[0] != nil && !remoteAllowed):
		return local[0], firstNonNil(local[1], remote[0]), remote[0] != nil && remote[0].cost < local[0].cost
	case local[0] == nil || (!localAllowed && remote[0].cost < math.Inf(1)):
		return remote[0], firstNonNil(local[0], remote[1]), false
	case remote[0].cost < local[0].cost:
		return remote[0], local[0], false
	}
	return local[0], firstNonNil(local[1], remote[0]), false
}

// shiftAllowed reports whether the cap on traffic shifts permits a choice among the
// candidates to run in another region, and in this one.
func (t *Table) shiftAllowed(s *service, list []candidate, retry bool, now time.Time) (remote, local bool) {
	remote, local = t.shift.allowed(now)
	at, lost := s.lastLoss[t.cfg.Region]
	if retry || !anyLocal(list) || (lost && now.Sub(at) < uncappedAfterLoss) || t.regionImpaired(s, now) {
		return true, true
	}
	return remote, local
}

func anyLocal(list []candidate) bool {
	for i := range list {
		if !list[i].remote {
			return true
		}
	}
	return false
}

// regionImpaired reports whether an endpoint of the service in this region is
// down or cold. Requests that leave the region then do so because of a
// failure, and are not capped.
func (t *Table) regionImpaired(s *service, now time.Time) bool {
	for _, e := range s.endpoints {
		if e.Region == t.cfg.Region && (e.health.down || e.isCold(now)) {
			return true
		}
	}
	return false
}

// insertBest adds the candidate to the two cheapest if it is one of them.
func insertBest(best *[2]*candidate, c *candidate) {
	switch {
	case best[0] == nil || c.cost < best[0].cost:
		best[1], best[0] = best[0], c
	case best[1] == nil || c.cost < best[1].cost:
		best[1] = c
	}
}

func firstNonNil(a, b *candidate) *candidate {
	if a != nil {
		return a
	}
	return b
}
