package steering

import "time"

// Admission for services whose endpoints report the speed of their machines. The
// expected response times of such endpoints can be relied upon, so a request is
// admitted by whether it can be in time, and not only by whether a slot is free
// at the endpoint that is best for it.
//
// A request that cannot be in time is still worth more to its caller if it is late
// than if it is refused: a refused caller returns after a tenth of its time at the
// earliest, and is late then too. It must not displace requests that can be in time,
// so it gets what these leave free.

const (
	// maxLateUtilization is the utilization of a region up to which requests that
	// will be late take its free slots.
	maxLateUtilization = 0.85
	// maxMissUtilization is the utilization of a region up to which a request that will
	// be late goes to an endpoint that does not have its object cached. That endpoint
	// has the object from then on, but the request takes several times the work.
	maxMissUtilization = 0.6
	// maxLateLoadPerSlot bounds the load of an endpoint, as a multiple of its slots, up
	// to which requests that will be late join its queue.
	maxLateLoadPerSlot = 2
	// outrankedQueueShare is the part of an endpoint's slots that requests of less
	// urgent ranks may wait for in its queue. A more urgent request that arrives
	// behind them waits for that part of the time of a request at most.
	outrankedQueueShare = 0.34
)

// predictable reports whether the endpoints of the service report the speed of
// their machines.
func (s *service) predictable() bool { return s.reportsSpeed }

// outranked reports whether a request must not wait in the queue of the candidate
// because more urgent requests use the service. Tenants of several priorities share
// each service, so their requests wait briefly too: otherwise all tenants but the most
// urgent ones would never queue.
func (s *service) outranked(c *candidate, r Request, now time.Time) bool {
	if !s.ranks.outranked(r.Rank, now) {
		return false
	}
	return !s.predictable() && !r.RankOfTenant || float64(c.load+1-c.e.Slots) > outrankedQueueShare*float64(c.e.Slots)
}

// lateChoice returns an endpoint for a request that was not admitted at its best one,
// or nil. It reorders the list.
func (t *Table) lateChoice(s *service, list []candidate, best *candidate, r Request, now time.Time) *candidate {
	if !s.predictable() {
		return nil
	}
	if best.waitsWithObject(r) && !s.outranked(best, r, now) {
		return best
	}
	retry := len(r.Tried) > 0
	// The cap is decided by the whole list: it is lifted if this region has no
	// candidates, but not if these are full.
	remoteAllowed, _ := t.shiftAllowed(s, list, retry, now)
	free := list[:0]
	for i := range list {
		if c := &list[i]; c.hasRoomFor(r) && (remoteAllowed || !c.remote) {
			free = append(free, list[i])
		}
	}
	found, _, _ := t.cheapest(s, free, retry, now)
	return found
}

// waitsWithObject reports whether a request that will be late queues at the endpoint
// because its region is busy and the object is cached there.
func (c *candidate) waitsWithObject(r Request) bool {
	return c.warm && c.busy > maxMissUtilization && c.load < maxLateLoadPerSlot*c.e.Slots &&
		c.late(r) && c.beforeDeadline(r)
}

// hasRoomFor reports whether the endpoint has a free slot that the request may take.
func (c *candidate) hasRoomFor(r Request) bool {
	return c.load < c.e.Slots && c.beforeDeadline(r) && (!c.late(r) || c.busy <= maxLateUtilization)
}

func (c *candidate) late(r Request) bool { return c.expected > float64(r.UntilSoftDeadline) }

func (c *candidate) beforeDeadline(r Request) bool {
	return c.expected <= maxDeadlineShare*float64(r.UntilDeadline)
}
