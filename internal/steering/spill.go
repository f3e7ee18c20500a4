package steering

import (
	"math"
	"slices"
	"time"
)

// A request leaves its region only for one that has more room. What is known of the
// endpoints of other regions is up to 0.4 s old, in which a free slot there is likely
// to be taken if the region is as busy as this one; such a request would pay for the
// round trip and displace the requests of that region. This does not apply if no
// endpoint of this region is likely to respond before the deadline: slow endpoints get
// few requests, and failed requests end early, so the region would seem to have room.

// maxLocalFailureRate is the failure rate of an endpoint up to which it is likely to
// respond.
const maxLocalFailureRate = 0.5

// roomElsewhere reports whether a region has enough room for requests of this one, by
// the utilizations of both.
func roomElsewhere(own, other float64) bool { return other <= own }

// ownUtilization returns the utilization of this region, or more than that of any
// region if the request cannot be served here.
func (t *Table) ownUtilization(views []regionView) float64 {
	if i := slices.Index(t.regions, t.cfg.Region); i >= 0 && views[i].slots > 0 {
		return views[i].busy()
	}
	return math.Inf(1)
}

// anyLocalBeforeDeadline reports whether an endpoint of this region is likely to respond
// before the request's deadline.
func anyLocalBeforeDeadline(list []candidate, r Request, now time.Time) bool {
	for i := range list {
		if c := &list[i]; !c.remote && c.beforeDeadline(r) && c.e.health.failureRate(now) <= maxLocalFailureRate {
			return true
		}
	}
	return false
}
