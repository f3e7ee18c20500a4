package steering

import "time"

// The homes of an object in a region are the usable endpoints with the highest
// rendezvous hashes for it. A request that finds its object cached nowhere, or only
// at endpoints without room, goes to the first home with room. All instances order
// the homes alike, so the copies of an object are few and at the same endpoints for
// all of them, and leave the cache to other objects elsewhere.

// maxHomes is the number of homes of an object in a region. Endpoints cache few
// objects, so that further copies push out others.
const maxHomes = 4

// homeOrderShare is the part of the time that a cached object saves by which a home is
// preferred to the next one. Where little is saved, the load decides.
const homeOrderShare = 0.05

// homes are the homes of an object in a region, the first one first.
type homes struct {
	endpoints [maxHomes]*endpoint
	weights   [maxHomes]uint64
}

// add adds a usable endpoint. Only the first n homes are determined.
func (h *homes) add(e *endpoint, object uint32, n int) {
	w := mixHashes(e.hash, uint64(object))
	for i := range n {
		if h.endpoints[i] == nil || w > h.weights[i] {
			copy(h.endpoints[i+1:n], h.endpoints[i:])
			copy(h.weights[i+1:n], h.weights[i:])
			h.endpoints[i], h.weights[i] = e, w
			return
		}
	}
}

// rank returns the position of the endpoint among the homes, or maxHomes if it is
// not one of them.
func (h *homes) rank(e *endpoint) int {
	for i, o := range h.endpoints {
		if o == e {
			return i
		}
	}
	return maxHomes
}

// confirmedMisses is the share of the requests for objects thought not to be cached that
// took as long as misses. If the work does not depend on the object, or little is known
// of the caches, it is low, and the order of homes matters less than the load.
type confirmedMisses struct {
	mean float64
	n    int
}

// record adds a request for an object that was thought not to be cached.
func (m *confirmedMisses) record(hit bool) {
	x := 1.0
	if hit {
		x = 0
	}
	m.n++
	m.mean += measurementWeight(m.n) * (x - m.mean)
}

// share returns the share, 1 before the first request.
func (m *confirmedMisses) share() float64 {
	if m.n == 0 {
		return 1
	}
	return m.mean
}

// homeCount returns how many homes of an object matter for the choice.
func (s *service) homeCount() int {
	if s.predictable() {
		return maxHomes
	}
	return 1
}

// nonHomeCost returns what is added to the cost of a first request for an object at an
// endpoint of that rank among the object's homes.
func (s *service) nonHomeCost(e *endpoint, rank int) float64 {
	switch {
	case rank == 0:
		return 0
	case !s.predictable():
		return float64(nonHomePenalty)
	}
	saved := s.times.missTime - s.times.hitTime
	cost := float64(nonHomePenalty) + float64(rank-1)*min(float64(nonHomePenalty), homeOrderShare*saved)
	if rank >= s.copyLimits.copies(e.region) {
		// The object takes the place of another one in the cache, which then has to be
		// loaded again.
		cost += saved
	}
	return s.confirmedMisses.share() * cost
}

// copyLimits holds, by region, how many copies of an object the endpoints of a service
// can cache there, if all objects have as many.
type copyLimits struct {
	byRegion []int
	at       time.Time
}

const (
	// copyLimitInterval is the time between two counts of the cached objects.
	copyLimitInterval = time.Second
	// objectSample is the part of the objects, by their hashes, that are counted.
	objectSample = 8
)

// copies returns the number of copies for a region.
func (l *copyLimits) copies(region int) int {
	if region < len(l.byRegion) {
		return l.byRegion[region]
	}
	return maxHomes
}

// updateCopyLimits counts the cached objects of the service again if the last count is
// too old.
func (t *Table) updateCopyLimits(s *service, now time.Time) {
	if now.Sub(s.copyLimits.at) < copyLimitInterval {
		return
	}
	places := make([]int, len(t.regions))
	objects := make([]map[uint32]bool, len(t.regions))
	size := s.cacheSize.objects()
	for _, e := range s.endpoints {
		places[e.region] += size
		if objects[e.region] == nil {
			objects[e.region] = map[uint32]bool{}
		}
		for _, o := range e.recent.objects[:min(size, len(e.recent.objects))] {
			if o%objectSample == 0 {
				objects[e.region][o] = true
			}
		}
	}
	limits := make([]int, len(t.regions))
	for i, n := range places {
		limits[i] = min(max(n/max(objectSample*len(objects[i]), 1), 1), maxHomes)
	}
	s.copyLimits = copyLimits{limits, now}
}
