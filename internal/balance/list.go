package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// maxSubset is the largest subset. Better of two gains little from more.
	maxSubset = 20
	// meanConnections is the mean number of instances that use an endpoint. An
	// endpoint accepts about 700 connections; the subsets are hashed, so the
	// largest count is above the mean (by 4.5 standard deviations at 4,900
	// instances: 500 + 4.5 x 22 = 600).
	meanConnections = 500
)

// SetEndpoints replaces the list. A leaving endpoint gets no new work from now
// on; it stays out whatever an older list says, until a list lacks it or for
// LeavingTime.
func (b *Balancer) SetEndpoints(now time.Time, list []model.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listed = slices.Clone(list)
	present := make(map[model.EndpointID]bool, len(list))
	for _, l := range list {
		present[l.ID] = true
		if l.Leaving {
			b.leaving[l.ID] = now.Add(LeavingTime)
		}
	}
	for id := range b.leaving {
		if !present[id] {
			delete(b.leaving, id)
		}
	}
	b.rebuild(now)
}

// Leave takes an endpoint out at once on a notice that did not come with the
// list, as if the list had shown it as leaving.
func (b *Balancer) Leave(now time.Time, id model.EndpointID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving[id] = now.Add(LeavingTime)
	b.rebuild(now)
}

// SetDrained keeps out the endpoints that operators drain. Unlike a leaving
// endpoint, one that is not drained any more returns at once.
func (b *Balancer) SetDrained(now time.Time, endpoints map[model.EndpointID]bool, domains map[model.Domain]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drained = func(e model.Endpoint) bool { return endpoints[e.ID] || domains[e.Domain] }
	b.rebuild(now)
}

// SetInstances tells how many entry instances use the endpoints. It bounds the
// subset.
func (b *Balancer) SetInstances(now time.Time, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n == b.instances {
		return
	}
	b.instances = max(1, n)
	b.rebuild(now)
}

// rebuild computes the pools from the list. Endpoints keep their measurements.
func (b *Balancer) rebuild(now time.Time) {
	for _, e := range b.endpoints {
		e.gone = true
	}
	old := b.pools
	b.pools = map[poolKey]*pool{}
	members := map[poolKey][]*endpoint{}
	for _, l := range b.listed {
		if b.excluded(now, l) {
			continue
		}
		if e := b.endpoints[l.ID]; e != nil && !e.gone {
			continue // listed twice
		}
		k := poolKey{l.Service, l.Region}
		members[k] = append(members[k], b.keep(now, l, old[k] == nil))
	}
	groups := map[model.Service]*group{}
	b.groups = groups
	for k, es := range members {
		if groups[k.service] == nil {
			groups[k.service] = &group{}
		}
		b.pools[k] = b.newPool(groups[k.service], es, old[k])
	}
	for id, e := range b.endpoints {
		if e.gone && e.outstanding == 0 {
			delete(b.endpoints, id)
		}
	}
}

// excluded reports whether a listed endpoint gets no new work.
func (b *Balancer) excluded(now time.Time, l model.Endpoint) bool {
	if l.Leaving || b.drained != nil && b.drained(l) {
		return true
	}
	until, ok := b.leaving[l.ID]
	return ok && now.Before(until)
}

// keep returns the state of a listed endpoint. A new one starts its ramp, but
// not with the first list of a pool: then all are new to the instance, and that
// does not make them cold.
func (b *Balancer) keep(now time.Time, l model.Endpoint, first bool) *endpoint {
	e := b.endpoints[l.ID]
	if e == nil {
		e = &endpoint{Endpoint: l, rampStart: now}
		if first {
			e.rampStart = now.Add(-RampTime)
		}
		b.endpoints[l.ID] = e
	}
	if e.Addr != l.Addr {
		e.restore(now) // a new process under the old name
	}
	e.Endpoint = l
	e.gone = false
	return e
}

func (b *Balancer) newPool(g *group, members []*endpoint, old *pool) *pool {
	p := &pool{group: g}
	if old != nil {
		p.mean = old.mean
		p.utilization = old.utilization
	}
	size := SubsetSize(len(members), b.instances)
	b.sortByHash(members)
	for i, e := range members {
		e.pool = p
		e.inSubset = i < size
		if !e.inSubset {
			continue
		}
		g.slots += e.Slots
		if e.ejected {
			g.eject(e, true)
		}
	}
	g.endpoints += size
	p.subset = members[:size:size]
	p.rest = members[size:]
	g.pools = append(g.pools, p)
	return p
}

// sortByHash orders endpoints by the rendezvous hash with the instance: each
// instance gets its own order, which changes little when the list changes.
func (b *Balancer) sortByHash(es []*endpoint) {
	for _, e := range es {
		e.hash = rendezvous(b.cfg.Instance, e.ID)
	}
	slices.SortFunc(es, func(x, y *endpoint) int {
		if x.hash != y.hash {
			return cmp.Compare(x.hash, y.hash)
		}
		return cmp.Compare(x.ID, y.ID)
	})
}

func rendezvous(i model.InstanceID, e model.EndpointID) uint64 {
	return xxhash.Sum64String(string(i) + "\x00" + string(e))
}

// SubsetSize returns how many of n endpoints an instance uses when there are
// that many instances: at most maxSubset, and so few that an endpoint has
// meanConnections instances on average; at least 1. With fewer than
// instances/700 endpoints the bound of 700 cannot hold, as every instance
// needs one.
func SubsetSize(n, instances int) int {
	size := meanConnections * n / max(1, instances)
	return min(n, max(1, min(size, maxSubset)))
}
