package steering

import (
	"math/rand/v2"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/model"
)

// Config holds the facts of a deployment that decisions need.
type Config struct {
	Self   model.InstanceID
	Domain model.Domain
	Region model.Region
	// Regions tells the region of each failure domain.
	Regions map[model.Domain]model.Region
	// MaxShift is the largest change of the share of requests that leave
	// their region, between two windows of two seconds.
	MaxShift float64
	// NoPeerLoads means that instances do not tell each other their requests, so
	// that endpoints' reports have to stand for those of the others.
	NoPeerLoads bool
	Rand        *rand.Rand
}

// Table holds all endpoints and what is known of them. It is safe for
// concurrent use.
type Table struct {
	cfg Config

	mu        sync.Mutex
	endpoints map[model.EndpointID]*endpoint
	// firstSeen is when the first endpoint was added.
	firstSeen time.Time
	byWire    map[uint32]*endpoint
	services  map[model.Service]*service
	evacuated map[model.Domain]bool
	instances []Instance
	peers     map[model.InstanceID]map[uint32]int
	distances distances
	shift     shiftLimiter
	// sightings are the objects that were sent to endpoints since the last
	// report to the neighbours.
	sightings []Placement
	// recalled holds what an earlier process knew of endpoints that are not in
	// the table yet.
	recalled map[model.EndpointID]RecentObjects
}

// service is what the table knows of a service.
type service struct {
	desired.Service
	endpoints []*endpoint
	work      work
	keeps     keeps
	ranks     rankUse
	surplus   surplus
	// disturbed says when a region last lost an endpoint without a planned
	// departure.
	disturbed map[model.Region]time.Time
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		cfg:       cfg,
		endpoints: map[model.EndpointID]*endpoint{},
		byWire:    map[uint32]*endpoint{},
		services:  map[model.Service]*service{},
		evacuated: map[model.Domain]bool{},
		peers:     map[model.InstanceID]map[uint32]int{},
		shift:     shiftLimiter{cap: cfg.MaxShift},
		distances: newDistances(cfg),
	}
}

func (t *Table) service(name model.Service) *service {
	s := t.services[name]
	if s == nil {
		s = &service{disturbed: map[model.Region]time.Time{}}
		s.Name = name
		t.services[name] = s
	}
	return s
}

// SetServices takes the services of a desired state.
func (t *Table) SetServices(services map[model.Service]desired.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range services {
		t.service(name).Service = s
	}
}

// SetInstances takes the live entry instances, this one included.
func (t *Table) SetInstances(instances []Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instances = instances
}

// SetInitialRemoteShare says which share of the requests may leave the region at
// first. It is 0 for an instance that joins a fleet at work.
func (t *Table) SetInitialRemoteShare(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shift.startShare = share
}

// SetEvacuated says whether a failure domain gets no requests.
func (t *Table) SetEvacuated(d model.Domain, on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if on {
		t.evacuated[d] = true
	} else {
		delete(t.evacuated, d)
	}
}

// Put adds an endpoint or updates it. It reports what has changed: "added",
// "restarted", "leaving", "cold", "returned" or "" for nothing of interest.
func (t *Table) Put(e Endpoint, now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if region, ok := t.cfg.Regions[e.Domain]; ok {
		e.Region = region
	}
	old := t.endpoints[e.ID]
	if old != nil && (old.Addr != e.Addr || old.Service != e.Service || old.Started != e.Started) {
		t.drop(old)
		added := t.add(e, now)
		added.setCold(t.service(e.Service).ColdStart, now)
		return "restarted"
	}
	if old == nil {
		t.add(e, now)
		return "added"
	}
	change := ""
	switch {
	case e.Leaving && !old.Leaving:
		change = "leaving"
	case e.ColdFor > 0 && !old.isCold(now):
		change = "cold"
	case !old.lapsing.IsZero():
		change = "returned"
	}
	old.lapsing = time.Time{}
	old.Endpoint = e
	if e.ColdFor > 0 {
		old.setCold(e.ColdFor, now)
	}
	return change
}

func (e *endpoint) setCold(d time.Duration, now time.Time) {
	if until := now.Add(d); until.After(e.coldUntil) {
		e.coldUntil = until
	}
}

func (t *Table) add(e Endpoint, now time.Time) *endpoint {
	if t.firstSeen.IsZero() {
		t.firstSeen = now
	}
	n := newEndpoint(e, now)
	n.setCold(e.ColdFor, now)
	t.endpoints[e.ID] = n
	t.byWire[n.wire] = n
	if r, ok := t.recalled[e.ID]; ok {
		n.recall(r)
		delete(t.recalled, e.ID)
	}
	for _, loads := range t.peers {
		n.others += loads[n.wire]
	}
	s := t.service(e.Service)
	if t.cfg.NoPeerLoads {
		n.surplus = &s.surplus
	}
	s.endpoints = append(s.endpoints, n)
	return n
}

func (t *Table) drop(e *endpoint) {
	delete(t.endpoints, e.ID)
	if t.byWire[e.wire] == e {
		delete(t.byWire, e.wire)
	}
	s := t.service(e.Service)
	for i, o := range s.endpoints {
		if o == e {
			s.endpoints = append(s.endpoints[:i:i], s.endpoints[i+1:]...)
			break
		}
	}
}

// Remove takes an endpoint out. It reports whether it was known.
func (t *Table) Remove(id model.EndpointID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	if e == nil {
		return false
	}
	t.drop(e)
	if !e.Leaving {
		t.service(e.Service).disturbed[e.Region] = now
	}
	return true
}

// MarkMissing notes that an entry is missing after an outage of the store. The
// endpoint stays in use until the given time, unless Put confirms it. Leaving
// endpoints are gone at once.
func (t *Table) MarkMissing(id model.EndpointID, until, now time.Time) {
	t.mu.Lock()
	e := t.endpoints[id]
	if e != nil && !e.Leaving {
		e.lapsing = until
	}
	t.mu.Unlock()
	if e != nil && e.Leaving {
		t.Remove(id, now)
	}
}

// RemoveMissing removes the endpoints whose lapse has ended and returns their IDs.
func (t *Table) RemoveMissing(now time.Time) []model.EndpointID {
	var gone []model.EndpointID
	t.mu.Lock()
	for id, e := range t.endpoints {
		if !e.lapsing.IsZero() && !now.Before(e.lapsing) {
			gone = append(gone, id)
		}
	}
	t.mu.Unlock()
	for _, id := range gone {
		t.Remove(id, now)
	}
	return gone
}

// Lookup returns a known endpoint.
func (t *Table) Lookup(id model.EndpointID) (Endpoint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	if e == nil {
		return Endpoint{}, false
	}
	return e.Endpoint, true
}

// Usable returns the number of endpoints of a service in a region that requests
// may be sent to.
func (t *Table) Usable(name model.Service, region model.Region, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		return 0
	}
	n := 0
	for _, e := range s.endpoints {
		if e.Region == region && !e.Leaving && !t.evacuated[e.Domain] && !e.health.down {
			n++
		}
	}
	return n
}

// Probe is a health probe that is due.
type Probe struct {
	Endpoint
	Path string
}

// Probes returns the endpoints that are down and could come back.
func (t *Table) Probes() []Probe {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Probe
	for _, e := range t.endpoints {
		if e.health.down && !e.Leaving && !t.evacuated[e.Domain] {
			out = append(out, Probe{e.Endpoint, t.service(e.Service).HealthPath})
		}
	}
	return out
}

// ProbeResult is what a probe has shown.
type ProbeResult struct {
	// Reached means that the endpoint answered; Healthy that it says it is.
	Reached, Healthy bool
	// ColdFor is how much longer it says it is cold.
	ColdFor time.Duration
}

// reachedEnough is how many probes in a row must reach an endpoint that calls
// itself unhealthy before requests try it again: what probes say may be wrong
// either way.
const reachedEnough = 4

// RecordProbe takes the result of a probe. It reports whether the endpoint is used
// again.
func (t *Table) RecordProbe(id model.EndpointID, r ProbeResult, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	if e == nil || !e.health.down {
		return false
	}
	if !r.Reached {
		e.health.reached = 0
		return false
	}
	if r.ColdFor > 0 {
		e.setCold(r.ColdFor, now)
	}
	if e.health.reached++; !r.Healthy && e.health.reached < reachedEnough {
		return false
	}
	e.health.back(now)
	return true
}

// MarkCold notes that a response says the endpoint is cold.
func (t *Table) MarkCold(id model.EndpointID, coldFor time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[id]; e != nil {
		e.setCold(coldFor, now)
	}
}

// Counts are figures for metrics.
type Counts struct {
	Endpoints, Leaving, Cold, Down, InFlight int
}

// Counts returns figures for metrics.
func (t *Table) Counts(now time.Time) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := Counts{Endpoints: len(t.endpoints)}
	for _, e := range t.endpoints {
		c.InFlight += e.own
		if e.Leaving {
			c.Leaving++
		}
		if e.isCold(now) {
			c.Cold++
		}
		if e.health.ejected(now) {
			c.Down++
		}
	}
	return c
}
