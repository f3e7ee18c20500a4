// Package balance selects the endpoint of a request inside a region.
//
// Each instance uses a subset of the endpoints of a service, and takes the
// better of two random ones by its own outstanding requests, its own latency
// measurements, reported load and failure rate. Nothing that an endpoint says
// about itself can make it more attractive than its measurements do.
package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/dispatch"
	"jujubestile.example/jujubestile/internal/model"
)

const (
	// RampTime is how long a new or returning endpoint takes to get its full
	// share.
	RampTime = 10 * time.Second
	// rampFloor is the share at the start of the ramp. Without it the endpoint
	// would get no request to warm up with.
	rampFloor = 0.05
	// LeavingTime is how long a leaving endpoint stays out although a list
	// shows it as serving. The platform's list may lag.
	LeavingTime = 60 * time.Second
	// ejectAfter is how many failures in a row eject an endpoint.
	ejectAfter = 3
	// ejectBase and ejectMax bound the pause before a probe. It doubles with
	// each failed probe.
	ejectBase = time.Second
	ejectMax  = 30 * time.Second
	// maxRefusalPause bounds how long a Retry-After of an endpoint is obeyed,
	// so that a misleading value does not remove the endpoint.
	maxRefusalPause = 5 * time.Second
	// trustAnswer is how long an own answer counts more than the news of another
	// instance.
	trustAnswer = 500 * time.Millisecond
	// drawLimit is how many random draws one of the two candidates takes
	// before all endpoints are scanned.
	drawLimit = 4
)

// Config configures a Balancer.
type Config struct {
	// Instance seeds the subset.
	Instance model.InstanceID
	// FailureLatency is what a failure counts as in the latency estimate: the
	// timeout of an attempt. The default is 1 s.
	FailureLatency time.Duration
	// ActiveProbes means that the owner calls DueProbes and Probed. Otherwise
	// one request at a time serves as the probe of an ejected endpoint.
	ActiveProbes bool
	// Rand is owned by the Balancer.
	Rand *rand.Rand
}

// Balancer implements dispatch.Balancer. It is safe for concurrent use.
type Balancer struct {
	cfg Config

	mu        sync.Mutex
	endpoints map[model.EndpointID]*endpoint
	pools     map[poolKey]*pool
	groups    map[model.Service]*group
	leaving   map[model.EndpointID]time.Time
	drained   func(model.Endpoint) bool
	listed    []model.Endpoint
	instances int
}

var (
	_ dispatch.Balancer = (*Balancer)(nil)
	_ dispatch.Isolator = (*Balancer)(nil)
)

type poolKey struct {
	service model.Service
	region  model.Region
}

// New returns a Balancer without endpoints.
func New(cfg Config) *Balancer {
	if cfg.FailureLatency == 0 {
		cfg.FailureLatency = time.Second
	}
	return &Balancer{
		cfg:       cfg,
		endpoints: map[model.EndpointID]*endpoint{},
		pools:     map[poolKey]*pool{},
		leaving:   map[model.EndpointID]time.Time{},
		instances: 1,
	}
}

// Pick implements dispatch.Balancer.
func (b *Balancer) Pick(now time.Time, s model.Service, r model.Region, exclude []model.EndpointID) (model.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[poolKey{s, r}]
	if p == nil {
		return model.Endpoint{}, false
	}
	e := p.pick(now, b.cfg.Rand, exclude, !b.cfg.ActiveProbes)
	if e == nil {
		return model.Endpoint{}, false
	}
	e.start(now)
	return e.Endpoint, true
}

// PickAlone implements dispatch.Isolator.
func (b *Balancer) PickAlone(now time.Time, s model.Service, r model.Region, exclude []model.EndpointID) (model.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[poolKey{s, r}]
	if p == nil {
		return model.Endpoint{}, false
	}
	e := p.best(now, exclude, func(e *endpoint) bool {
		return e.outstanding == 0 && e.usable(now)
	})
	if e == nil {
		return model.Endpoint{}, false
	}
	e.start(now)
	e.alone = true
	return e.Endpoint, true
}

// Observe implements dispatch.Balancer.
func (b *Balancer) Observe(now time.Time, o dispatch.Observation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpoints[o.Endpoint.ID]
	if e == nil {
		return
	}
	e.finish()
	e.observe(now, o, b.cfg.FailureLatency)
	b.release(e)
}

// Cancel implements dispatch.Balancer.
func (b *Balancer) Cancel(id model.EndpointID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpoints[id]
	if e == nil {
		return
	}
	e.finish()
	b.release(e)
}

// release forgets an endpoint that is not listed any more after its last
// request.
func (b *Balancer) release(e *endpoint) {
	if e.gone && e.outstanding == 0 {
		delete(b.endpoints, e.ID)
	}
}

// DueProbes returns the endpoints to probe now, ejected ones and those that did
// not answer their last request, and counts the probes as started.
func (b *Balancer) DueProbes(now time.Time) []model.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	var due []model.Endpoint
	for _, l := range b.listed {
		e := b.endpoints[l.ID]
		if e == nil || e.gone || e.probing || !e.suspect && !e.probeDue(now) {
			continue
		}
		e.probing = true
		due = append(due, e.Endpoint)
	}
	return due
}

// Probed takes the result of a probe.
func (b *Balancer) Probed(now time.Time, id model.EndpointID, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpoints[id]
	if e == nil || !e.probing {
		return
	}
	e.probed(now, ok)
}

// Suspect takes the news that another instance has ejected the endpoint. It is
// set aside and probed before it gets more work, unless it has just answered
// here. It needs active probes; without them it does nothing, because a rumour
// must not keep work away longer than a probe takes.
func (b *Balancer) Suspect(now time.Time, id model.EndpointID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.endpoints[id]
	if e == nil || e.gone || e.ejected || e.suspect || !b.cfg.ActiveProbes {
		return
	}
	if !e.answeredAt.IsZero() && now.Sub(e.answeredAt) < trustAnswer {
		return
	}
	e.suspect = true
	e.pausedUntil = now.Add(silencePause)
}

// Ejected returns the endpoints that this instance has ejected, to tell others.
func (b *Balancer) Ejected() []model.EndpointID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []model.EndpointID
	for _, l := range b.listed {
		if e := b.endpoints[l.ID]; e != nil && !e.gone && e.ejected {
			ids = append(ids, l.ID)
		}
	}
	return ids
}

// Usable returns the fraction of the service's endpoint slots, from 0 to 1, that
// are not on ejected endpoints. It is 1 when ejections are distrusted.
func (b *Balancer) Usable(s model.Service) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.groups[s]
	if g == nil || g.slots == 0 || g.distrusted() {
		return 1
	}
	return 1 - float64(g.ejectedSlots)/float64(g.slots)
}

// UsableIn is Usable for one region. It is 0 in a region without endpoints.
func (b *Balancer) UsableIn(s model.Service, r model.Region) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[poolKey{s, r}]
	if p == nil {
		return 0
	}
	if p.group.distrusted() {
		return 1
	}
	all, left := 0, 0
	for _, e := range p.subset {
		all += max(1, e.Slots)
		if !e.ejected {
			left += max(1, e.Slots)
		}
	}
	return float64(left) / float64(all)
}

// State describes an endpoint to operators.
type State struct {
	Endpoint    model.Endpoint
	Outstanding int
	Latency     time.Duration
	FailureRate float64
	Ejected     bool
	InSubset    bool
}

// States returns the state of all listed endpoints that are not leaving.
func (b *Balancer) States(now time.Time) []State {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []State
	for _, l := range b.listed {
		e := b.endpoints[l.ID]
		if e == nil || e.gone {
			continue
		}
		out = append(out, State{
			Endpoint:    e.Endpoint,
			Outstanding: e.outstanding,
			Latency:     time.Duration(e.latencyAt(now)),
			FailureRate: e.failureRate(now),
			Ejected:     e.ejected,
			InSubset:    e.inSubset,
		})
	}
	return out
}
