package steering

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/model"
)

// Config holds the properties of a deployment that decisions depend on. Self,
// Domain and Region are those of this instance.
type Config struct {
	Self   model.InstanceID
	Domain model.Domain
	Region model.Region
	// Regions maps failure domains to their regions.
	Regions map[model.Domain]model.Region
	// MaxShift is the maximum change of the share of requests that run
	// outside their region, between two consecutive windows of two seconds.
	MaxShift float64
	// NoPeerLoads means that instances do not share their loads. The loads
	// that endpoints report are used to estimate those of other instances.
	NoPeerLoads bool
	// Pace enables the adaptive slow start of endpoints.
	Pace bool
	// Rand must not be used elsewhere, because it is not safe for concurrent
	// use.
	Rand *rand.Rand
}

// Table holds all endpoints and what is known of them. It is safe for
// concurrent use.
type Table struct {
	cfg Config

	mu        sync.Mutex
	endpoints map[model.EndpointID]*endpoint
	// firstAddedAt is when the first endpoint was added.
	firstAddedAt time.Time
	byWireID     map[uint32]*endpoint
	// regions lists the regions of endpoints in the order of their indexes.
	regions []model.Region
	// usableScratch and candidateScratch are reused by each choice.
	usableScratch    []*endpoint
	candidateScratch []candidate
	// ownLoads holds the requests in flight from this instance.
	ownLoads  Loads
	services  map[model.Service]*service
	evacuated map[model.Domain]bool
	instances []Instance
	peers     map[model.InstanceID]map[uint32]int
	rtts      rttEstimates
	shift     shiftLimiter
	// placements are those since the last call of TakePlacements.
	placements []Placement
	// left remembers the processes of endpoints that are leaving by their own word.
	left departures
	// unknownLeft holds departures of endpoints that are not in the table: the starts
	// of their processes by wire ID.
	unknownLeft map[uint32]int64
	// pendingRecent holds restored recent objects of endpoints that are not
	// in the table yet.
	pendingRecent map[model.EndpointID]RecentObjects
	// hasSpeeds is set once an endpoint has reported a speed.
	hasSpeeds bool
	// paceMode is that of the current choice. paceSkipped is set if it left out an
	// endpoint that is starting, paceOthers if there are others to choose from.
	paceMode                paceMode
	paceSkipped, paceOthers bool
	// paceChanges are those since the last call of TakePaceChanges.
	paceChanges []PaceChange
}

// service is the state of a service.
type service struct {
	desired.Service
	endpoints  []*endpoint
	times      serviceTimes
	cacheSize  cacheSizeEstimate
	ranks      rankUsage
	meanExcess meanExcess
	// reportsSpeed is set while endpoints report the speed of their machines, speedAt is
	// the time of the last report.
	reportsSpeed    bool
	speedAt         time.Time
	copyLimits      copyLimits
	confirmedMisses confirmedMisses
	// lastLoss is when a region last lost an endpoint that was not leaving.
	lastLoss map[model.Region]time.Time
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		cfg:         cfg,
		endpoints:   map[model.EndpointID]*endpoint{},
		byWireID:    map[uint32]*endpoint{},
		ownLoads:    Loads{},
		services:    map[model.Service]*service{},
		evacuated:   map[model.Domain]bool{},
		left:        departures{},
		unknownLeft: map[uint32]int64{},
		peers:       map[model.InstanceID]map[uint32]int{},
		shift:       shiftLimiter{cap: cfg.MaxShift},
		rtts:        newRTTEstimates(cfg),
	}
}

// service returns the state of a service and creates it if necessary.
func (t *Table) service(name model.Service) *service {
	s := t.services[name]
	if s == nil {
		s = &service{lastLoss: map[model.Region]time.Time{}}
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

// SetInstances sets the live instances, including this one.
func (t *Table) SetInstances(instances []Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.instances = instances
}

// SetInitialRemoteShare sets the share of requests that may run in other
// regions at the start. It is 0 for an instance that joins a running fleet.
func (t *Table) SetInitialRemoteShare(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shift.initialShare = share
}

// SetEvacuated sets whether a failure domain is evacuated. Its endpoints then
// get no requests.
func (t *Table) SetEvacuated(d model.Domain, on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if on {
		t.evacuated[d] = true
	} else {
		delete(t.evacuated, d)
	}
}

// Put adds or updates an endpoint. It returns the kind of change: "added",
// "restarted", "leaving", "staying", "cold", "returned", or "" for any other change.
func (t *Table) Put(e Endpoint, now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if region, ok := t.cfg.Regions[e.Domain]; ok {
		e.Region = region
	}
	if t.hasLeft(e, now) {
		e.Leaving = true
	}
	old := t.endpoints[e.ID]
	if old != nil && (old.Addr != e.Addr || old.Service != e.Service || old.Started != e.Started) {
		t.drop(old)
		added := t.add(e, now)
		t.setCold(added, t.service(e.Service).ColdStart, now)
		if added.restartedAt = now; !added.pace.starting {
			t.beginPace(added, 1, now, "restarted")
		}
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
	case old.Leaving && !e.Leaving:
		change = "staying"
	case e.ColdFor > 0 && !old.isCold(now):
		change = "cold"
	case !old.missingUntil.IsZero():
		change = "returned"
	}
	old.missingUntil = time.Time{}
	old.Endpoint, old.region = e, t.regionIndex(e.Region)
	if e.ColdFor > 0 {
		t.setCold(old, e.ColdFor, now)
	}
	return change
}

// setCold extends the cold period of an endpoint to at least d from now.
func (t *Table) setCold(e *endpoint, d time.Duration, now time.Time) {
	if until := now.Add(d); until.After(e.coldUntil) {
		if e.coldUntil = until; d > 0 {
			t.beginPace(e, 1, until, "cold")
		}
	}
}

func (t *Table) add(e Endpoint, now time.Time) *endpoint {
	if t.firstAddedAt.IsZero() {
		t.firstAddedAt = now
	}
	n := newEndpoint(e, now)
	n.region = t.regionIndex(e.Region)
	t.setCold(n, e.ColdFor, now)
	if now.Sub(t.firstAddedAt) >= initialSetPeriod && !n.pace.starting {
		t.beginPace(n, 1, now, "added")
	}
	t.endpoints[e.ID] = n
	t.byWireID[n.wireID] = n
	if r, ok := t.pendingRecent[e.ID]; ok {
		n.restoreRecent(r)
		delete(t.pendingRecent, e.ID)
	}
	for _, loads := range t.peers {
		n.others += loads[n.wireID]
	}
	s := t.service(e.Service)
	if t.cfg.NoPeerLoads {
		n.meanExcess = &s.meanExcess
	}
	s.endpoints = append(s.endpoints, n)
	return n
}

// regionIndex returns the index of a region and adds it if necessary.
func (t *Table) regionIndex(r model.Region) int {
	if i := slices.Index(t.regions, r); i >= 0 {
		return i
	}
	t.regions = append(t.regions, r)
	return len(t.regions) - 1
}

func (t *Table) drop(e *endpoint) {
	delete(t.endpoints, e.ID)
	if t.byWireID[e.wireID] == e {
		delete(t.byWireID, e.wireID)
		delete(t.ownLoads, e.wireID)
	}
	s := t.service(e.Service)
	for i, o := range s.endpoints {
		if o == e {
			s.endpoints = append(s.endpoints[:i:i], s.endpoints[i+1:]...)
			break
		}
	}
}

// Remove removes an endpoint and reports whether it was in the table.
func (t *Table) Remove(id model.EndpointID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	if e == nil {
		return false
	}
	t.drop(e)
	if !e.Leaving {
		t.service(e.Service).lastLoss[e.Region] = now
	}
	return true
}

// MarkMissing records that, after an outage of the store, an endpoint has no
// entry in it. The endpoint stays in use until the given time, unless Put
// confirms it before. Leaving endpoints are removed immediately. MarkMissing
// reports whether the endpoint stays in use.
func (t *Table) MarkMissing(id model.EndpointID, until, now time.Time) bool {
	t.mu.Lock()
	e := t.endpoints[id]
	if e != nil && !e.Leaving {
		e.missingUntil = until
	}
	t.mu.Unlock()
	if e != nil && e.Leaving {
		t.Remove(id, now)
	}
	return e != nil && !e.Leaving
}

// RemoveMissing removes the endpoints that have stayed missing until the time
// given to MarkMissing, and returns their IDs.
func (t *Table) RemoveMissing(now time.Time) []model.EndpointID {
	var gone []model.EndpointID
	t.mu.Lock()
	for id, e := range t.endpoints {
		if !e.missingUntil.IsZero() && !now.Before(e.missingUntil) {
			gone = append(gone, id)
		}
	}
	t.mu.Unlock()
	for _, id := range gone {
		t.Remove(id, now)
	}
	return gone
}

// Lookup returns the endpoint with the given ID.
func (t *Table) Lookup(id model.EndpointID) (Endpoint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	if e == nil {
		return Endpoint{}, false
	}
	return e.Endpoint, true
}

// Usable returns the number of endpoints of a service in a region that are
// neither leaving nor down nor in an evacuated failure domain.
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

// Probe is a health probe to send.
type Probe struct {
	Endpoint
	Path string
}

// Probes returns probes of the endpoints that are down and may be used once
// they recover, without those that have asked this instance for a pause.
func (t *Table) Probes(now time.Time) []Probe {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Probe
	for _, e := range t.endpoints {
		if e.health.down && !e.Leaving && !t.evacuated[e.Domain] && !now.Before(e.pausedUntil) {
			out = append(out, Probe{e.Endpoint, t.service(e.Service).HealthPath})
		}
	}
	return out
}

// ProbeResult is the result of a health probe.
type ProbeResult struct {
	// Reached means that the endpoint responded, Healthy that it reports
	// itself healthy.
	Reached, Healthy bool
	// ColdFor is the rest of the cold period that the endpoint reported.
	ColdFor time.Duration
}

// probesToRecover is the number of consecutive probes with a response after which an
// endpoint is used again although it reports itself unhealthy: health checks
// may be wrong in both directions.
const probesToRecover = 4

// RecordProbe records the result of a probe. It reports whether the endpoint
// is back in use.
func (t *Table) RecordProbe(id model.EndpointID, r ProbeResult, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	if e == nil || !e.health.down {
		return false
	}
	if !r.Reached {
		e.health.consecutiveReached = 0
		return false
	}
	if r.ColdFor > 0 {
		t.setCold(e, r.ColdFor, now)
	}
	if e.health.consecutiveReached++; !r.Healthy && e.health.consecutiveReached < probesToRecover {
		return false
	}
	e.health.recovered(now)
	if !e.isCold(now) {
		t.beginPace(e, 1, now, "recovered")
	}
	return true
}

// MarkCold records that an endpoint reported itself cold in a response.
func (t *Table) MarkCold(id model.EndpointID, coldFor time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[id]; e != nil {
		t.setCold(e, coldFor, now)
	}
}

// Counts are endpoint and request counts for metrics. Down includes ejected
// endpoints; InFlight counts the requests of this instance, Slow the endpoints whose
// machines are slow by their own word, Starting those in a slow start, which may be
// cold too.
type Counts struct {
	Endpoints, Leaving, Cold, Down, InFlight, Slow, Starting int
}

// Counts returns the current counts.
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
		if e.speed.at(now) >= SpeedStep {
			c.Slow++
		}
		if e.pace.starting {
			c.Starting++
		}
	}
	return c
}
