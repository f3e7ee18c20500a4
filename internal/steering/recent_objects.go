package steering

import "jujubestile.example/jujubestile/internal/model"

// recentList lists the objects that an endpoint handled last, the most recent
// first, as far as this instance knows from its own requests and from the
// placements that other instances share. It models the endpoint's cache, which
// holds a limited number of objects and evicts the least recently used.
type recentList struct {
	objects []uint32
}

// maxRecentObjects bounds the list.
const maxRecentObjects = 192

// reuseDistance returns how many other objects were handled since this one,
// or -1 if it is not listed.
func (r *recentList) reuseDistance(object uint32) int {
	for i, o := range r.objects {
		if o == object {
			return i
		}
	}
	return -1
}

// touch moves the object to the front.
func (r *recentList) touch(object uint32) {
	i := r.reuseDistance(object)
	if i < 0 {
		if len(r.objects) < maxRecentObjects {
			r.objects = append(r.objects, 0)
		}
		i = len(r.objects) - 1
	}
	copy(r.objects[1:i+1], r.objects[:i])
	r.objects[0] = object
}

// cacheSizeEstimate estimates how many objects the endpoints of a service
// cache.
type cacheSizeEstimate struct {
	n float64
}

const (
	// initialCacheSize is the estimate before the first observation.
	initialCacheSize = 64
	// minCacheSize and maxCacheSize bound the estimate.
	minCacheSize, maxCacheSize = 4, maxRecentObjects
	// missStep is the share of the difference by which the estimate moves
	// towards the reuse distance of a miss; it is small because misses have
	// other causes too. hitStep is added after a hit at a reuse distance near
	// the estimate.
	missStep, hitStep = 0.08, 0.5
)

// objects returns the estimated number of cached objects.
func (k *cacheSizeEstimate) objects() int {
	if k.n == 0 {
		k.n = initialCacheSize
	}
	return int(k.n)
}

// record updates the estimate with a request for an object at the given reuse
// distance.
func (k *cacheSizeEstimate) record(distance int, hit bool) {
	n := float64(k.objects())
	switch d := float64(distance); {
	case distance < 0:
		return
	case !hit && d < n:
		k.n -= missStep * (n - d)
	case hit && d > 0.9*n:
		k.n += hitStep
	}
	k.n = min(max(k.n, minCacheSize), maxCacheSize)
}

// RecentObjects lists the objects that an endpoint handled last. It is kept
// in the platform's store, so that it survives a restart of the instance.
type RecentObjects struct {
	// Started is the start of the endpoint, which distinguishes its runs.
	Started int64
	// Objects lists hashes of objects, the most recent first.
	Objects []uint32
}

// RecentObjects returns, for the endpoints of a region, the recent objects
// that are probably still cached.
func (t *Table) RecentObjects(region model.Region) map[model.EndpointID]RecentObjects {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[model.EndpointID]RecentObjects{}
	for id, e := range t.endpoints {
		if e.Region != region || len(e.recent.objects) == 0 {
			continue
		}
		n := min(len(e.recent.objects), t.service(e.Service).cacheSize.objects())
		out[id] = RecentObjects{e.Started, append([]uint32(nil), e.recent.objects[:n]...)}
	}
	return out
}

// RestoreRecentObjects takes the recent objects that an earlier process
// stored. They are not used for endpoints that have restarted since, or for
// which this process has already recorded objects.
func (t *Table) RestoreRecentObjects(stored map[model.EndpointID]RecentObjects) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pendingRecent = map[model.EndpointID]RecentObjects{}
	for id, r := range stored {
		if e := t.endpoints[id]; e != nil {
			e.restoreRecent(r)
		} else {
			t.pendingRecent[id] = r
		}
	}
}

func (e *endpoint) restoreRecent(r RecentObjects) {
	if len(e.recent.objects) > 0 || e.Started != r.Started {
		return
	}
	e.recent.objects = append(e.recent.objects, r.Objects[:min(len(r.Objects), maxRecentObjects)]...)
}
