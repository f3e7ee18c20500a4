package steering

import (
	"maps"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// Loads are the requests in flight of one instance, or of a group of
// instances (a failure domain or a region), by the endpoints' wire IDs, which
// identify them in messages between instances. Endpoints without requests are
// omitted, except from updates, where they have the value 0.
type Loads map[uint32]int

// OwnLoads returns the requests in flight from this instance.
func (t *Table) OwnLoads() Loads {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.ownLoads)
}

// addOwn changes the number of requests of this instance at an endpoint. The lock is
// held.
func (t *Table) addOwn(e *endpoint, n int) {
	e.own += n
	if t.byWireID[e.wireID] != e {
		return // The endpoint is no longer in the table.
	}
	if e.own > 0 {
		t.ownLoads[e.wireID] = e.own
	} else {
		delete(t.ownLoads, e.wireID)
	}
}

// LoadsWith returns the sum of the requests in flight from this instance and
// from the given instances or groups, for a report on a whole group.
func (t *Table) LoadsWith(peers []model.InstanceID) Loads {
	out := t.OwnLoads()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range peers {
		for w, n := range t.peers[p] {
			out[w] += n
		}
	}
	return out
}

// SetPeerLoads replaces the loads of another instance, or of a group under its
// aggregate ID. Nil removes them. The table keeps the map, so the caller must
// not change it afterwards.
func (t *Table) SetPeerLoads(peer model.InstanceID, loads Loads) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for w, n := range t.peers[peer] {
		if e := t.byWireID[w]; e != nil {
			e.others -= n
		}
	}
	if loads == nil {
		delete(t.peers, peer)
		return
	}
	t.peers[peer] = loads
	for w, n := range loads {
		if e := t.byWireID[w]; e != nil {
			e.others += n
		}
	}
}

// UpdatePeerLoads changes the loads of a group, for the endpoints in changed
// only. peer is the group's aggregate ID.
func (t *Table) UpdatePeerLoads(peer model.InstanceID, changed Loads) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updatePeerLoads(peer, changed)
}

// SetPeerLoadsWithin replaces the loads of a group for the endpoints with wire IDs
// from low to high.
func (t *Table) SetPeerLoadsWithin(peer model.InstanceID, low, high uint32, loads Loads) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for w, n := range t.peers[peer] {
		if _, listed := loads[w]; listed || w < low || w > high {
			continue
		}
		if e := t.byWireID[w]; e != nil {
			e.others -= n
		}
		delete(t.peers[peer], w)
	}
	t.updatePeerLoads(peer, loads)
}

// updatePeerLoads changes the listed loads of a group. The lock is held.
func (t *Table) updatePeerLoads(peer model.InstanceID, changed Loads) {
	known := t.peers[peer]
	if known == nil {
		known = Loads{}
		t.peers[peer] = known
	}
	for w, n := range changed {
		if e := t.byWireID[w]; e != nil {
			e.others += n - known[w]
		}
		known[w] = n
	}
}

// Placement says that a request for an object was sent to an endpoint. Endpoint
// is the endpoint's wire ID and Object the hash of the object.
type Placement struct{ Endpoint, Object uint32 }

// maxPlacements bounds the placements that are kept for the next report.
const maxPlacements = 256

// TakePlacements returns and clears the placements recorded since the last
// call.
func (t *Table) TakePlacements() []Placement {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := t.placements
	t.placements = nil
	return taken
}

// RecordPlacements records placements made by other instances.
func (t *Table) RecordPlacements(placements []Placement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range placements {
		if e := t.byWireID[p.Endpoint]; e != nil {
			e.recent.touch(p.Object)
		}
	}
}

// recordPlacement records that this instance sends a request for an object to
// an endpoint.
func (t *Table) recordPlacement(e *endpoint, object uint32) {
	e.recent.touch(object)
	if len(t.placements) < maxPlacements {
		t.placements = append(t.placements, Placement{e.wireID, object})
	}
}

// rttEstimates holds the estimated round-trip times to regions.
type rttEstimates struct {
	ownDomain model.Domain
	ownRegion model.Region
	byRegion  map[model.Region]time.Duration
}

const (
	// sameDomainRTT, sameRegionRTT and otherRegionRTT are the round-trip
	// times before the first measurement. One way, failure domains are about
	// 1.5 ms apart and regions 20 to 35 ms.
	sameDomainRTT  = 500 * time.Microsecond
	sameRegionRTT  = 3 * time.Millisecond
	otherRegionRTT = 55 * time.Millisecond
	// rttIncreaseWeight is the weight of a measurement above the estimate. A
	// measurement below it replaces the estimate, because delays only ever
	// add to the round-trip time.
	rttIncreaseWeight = 0.02
)

func newRTTEstimates(cfg Config) rttEstimates {
	return rttEstimates{ownDomain: cfg.Domain, ownRegion: cfg.Region, byRegion: map[model.Region]time.Duration{}}
}

func (d *rttEstimates) to(e *endpoint) time.Duration {
	switch {
	case e.Domain == d.ownDomain:
		return sameDomainRTT
	case e.Region == d.ownRegion:
		return sameRegionRTT
	}
	if m, ok := d.byRegion[e.Region]; ok {
		return m
	}
	return otherRegionRTT
}

// RecordRTT records a measured round-trip time to a region. Measurements
// within this instance's region are ignored.
func (t *Table) RecordRTT(r model.Region, rtt time.Duration) {
	if r == t.cfg.Region {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.rtts.byRegion[r]
	if !ok || rtt < old {
		t.rtts.byRegion[r] = rtt
		return
	}
	t.rtts.byRegion[r] = old + time.Duration(rttIncreaseWeight*float64(min(rtt, 2*old)-old))
}
