package steering

import (
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// Loads are the requests in flight of one instance, by the endpoint's name in
// messages. Endpoints without requests are left out.
type Loads map[uint32]int

// OwnLoads returns the requests in flight from this instance.
func (t *Table) OwnLoads() Loads {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := Loads{}
	for _, e := range t.endpoints {
		if e.own > 0 {
			out[e.wire] = e.own
		}
	}
	return out
}

// LoadsWith returns the requests in flight from this instance and the given
// others, for a report on all of them.
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

// SetPeerLoads replaces what is known of the requests of another instance or
// group. Nil forgets it.
func (t *Table) SetPeerLoads(peer model.InstanceID, loads Loads) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for w, n := range t.peers[peer] {
		if e := t.byWire[w]; e != nil {
			e.others -= n
		}
	}
	if loads == nil {
		delete(t.peers, peer)
		return
	}
	t.peers[peer] = loads
	for w, n := range loads {
		if e := t.byWire[w]; e != nil {
			e.others += n
		}
	}
}

// UpdatePeerLoads changes what is known of the requests of a group.
func (t *Table) UpdatePeerLoads(peer model.InstanceID, changed Loads) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.peers[peer]
	if known == nil {
		known = Loads{}
		t.peers[peer] = known
	}
	for w, n := range changed {
		if e := t.byWire[w]; e != nil {
			e.others += n - known[w]
		}
		known[w] = n
	}
}

// Placement is an object that was sent to an endpoint, by their names in
// messages.
type Placement struct{ Endpoint, Object uint32 }

// maxSightings bounds the sightings that wait for a report.
const maxSightings = 256

// TakePlacements returns the objects sent to endpoints since the last call.
func (t *Table) TakePlacements() []Placement {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sightings
	t.sightings = nil
	return s
}

// RecordPlacements takes sightings of a neighbour.
func (t *Table) RecordPlacements(seen []Placement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range seen {
		if e := t.byWire[s.Endpoint]; e != nil {
			e.recent.note(s.Object)
		}
	}
}

// sent notes that an object goes to an endpoint.
func (t *Table) sent(e *endpoint, object uint32) {
	e.recent.note(object)
	if len(t.sightings) < maxSightings {
		t.sightings = append(t.sightings, Placement{e.wire, object})
	}
}

// distances holds the measured round-trip times to regions.
type distances struct {
	own     model.Domain
	region  model.Region
	regions map[model.Region]time.Duration
}

const (
	// sameDomain, sameRegion and otherRegion are the round-trip times before
	// the first measurement: failure domains are about 1.5 ms apart one way,
	// regions 20 to 35 ms.
	sameDomain  = 500 * time.Microsecond
	sameRegion  = 3 * time.Millisecond
	otherRegion = 55 * time.Millisecond
	// distanceWeight is the weight of a measurement above the estimate; lower
	// ones replace it, because delays only add.
	distanceWeight = 0.02
)

func newDistances(cfg Config) distances {
	return distances{own: cfg.Domain, region: cfg.Region, regions: map[model.Region]time.Duration{}}
}

func (d *distances) to(e *endpoint) time.Duration {
	switch {
	case e.Domain == d.own:
		return sameDomain
	case e.Region == d.region:
		return sameRegion
	}
	if m, ok := d.regions[e.Region]; ok {
		return m
	}
	return otherRegion
}

// RecordRTT takes a measured round trip to another region.
func (t *Table) RecordRTT(r model.Region, rtt time.Duration) {
	if r == t.cfg.Region {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.distances.regions[r]
	if !ok || rtt < old {
		t.distances.regions[r] = rtt
		return
	}
	t.distances.regions[r] = old + time.Duration(distanceWeight*float64(min(rtt, 2*old)-old))
}
