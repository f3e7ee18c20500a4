package steering

import "jujubestile.example/jujubestile/internal/model"

// recency lists the objects that an endpoint handled last, the latest first,
// as far as this instance and its neighbours know. An endpoint keeps the state
// of a limited number of objects.
type recency struct {
	objects []uint32
}

// recencyMost bounds the list.
const recencyMost = 192

// depth returns how many other objects were handled since the object, or -1 if
// it is not listed.
func (r *recency) depth(object uint32) int {
	for i, o := range r.objects {
		if o == object {
			return i
		}
	}
	return -1
}

// note moves the object to the front.
func (r *recency) note(object uint32) {
	i := r.depth(object)
	if i < 0 {
		if len(r.objects) < recencyMost {
			r.objects = append(r.objects, 0)
		}
		i = len(r.objects) - 1
	}
	copy(r.objects[1:i+1], r.objects[:i])
	r.objects[0] = object
}

// keeps estimates how many objects the endpoints of a service keep.
type keeps struct {
	n float64
}

const (
	// keepsStart is the estimate before anything is known.
	keepsStart = 64
	// keepsLeast and keepsMost bound the estimate.
	keepsLeast, keepsMost = 4, recencyMost
	// keepsDown is the step towards the depth of a miss, and keepsUp the step
	// after a hit near the estimate. Misses also have other causes.
	keepsDown, keepsUp = 0.08, 0.5
)

func (k *keeps) limit() int {
	if k.n == 0 {
		k.n = keepsStart
	}
	return int(k.n)
}

// observed takes a request whose object had the depth, and whether it was a
// hit.
func (k *keeps) observed(depth int, hit bool) {
	n := float64(k.limit())
	switch d := float64(depth); {
	case depth < 0:
		return
	case !hit && d < n:
		k.n -= keepsDown * (n - d)
	case hit && d > 0.9*n:
		k.n += keepsUp
	}
	k.n = min(max(k.n, keepsLeast), keepsMost)
}

// RecentObjects is what is known of the objects of one endpoint. It outlasts the
// process in the platform's store.
type RecentObjects struct {
	// Started tells two runs of the endpoint apart.
	Started int64
	// Objects are the latest first.
	Objects []uint32
}

// RecentObjects returns the kept objects of a region's endpoints.
func (t *Table) RecentObjects(region model.Region) map[model.EndpointID]RecentObjects {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[model.EndpointID]RecentObjects{}
	for id, e := range t.endpoints {
		if e.Region != region || len(e.recent.objects) == 0 {
			continue
		}
		n := min(len(e.recent.objects), t.service(e.Service).keeps.limit())
		out[id] = RecentObjects{e.Started, append([]uint32(nil), e.recent.objects[:n]...)}
	}
	return out
}

// RestoreRecentObjects takes what an earlier process knew. Endpoints of which this process
// knows more keep that.
func (t *Table) RestoreRecentObjects(known map[model.EndpointID]RecentObjects) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recalled = map[model.EndpointID]RecentObjects{}
	for id, r := range known {
		if e := t.endpoints[id]; e != nil {
			e.recall(r)
		} else {
			t.recalled[id] = r
		}
	}
}

func (e *endpoint) recall(r RecentObjects) {
	if len(e.recent.objects) > 0 || e.Started != r.Started {
		return
	}
	e.recent.objects = append(e.recent.objects, r.Objects[:min(len(r.Objects), recencyMost)]...)
}
