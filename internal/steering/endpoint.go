// Package steering decides which endpoint gets a request, and which requests
// are refused. It does no I/O: callers report what they learn and pass the
// time.
//
// Objects are kept to few endpoints of a region by rendezvous hashing, because
// an endpoint that has handled an object before works faster. Among these the
// one with the shortest expected completion is taken. Expected times come from
// measured work, from requests in flight of all instances, and from distances.
package steering

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"jujubestile.example/jujubestile/internal/model"
)

// Endpoint is an endpoint as the platform's discovery shows it.
type Endpoint struct {
	ID      model.EndpointID
	Service model.Service
	Addr    netip.AddrPort
	Domain  model.Domain
	// Region is derived from Domain when the endpoint is added, if the table
	// knows the domain.
	Region model.Region
	// Slots is how many requests it runs at once.
	Slots int
	// Leaving endpoints finish their work and get no more.
	Leaving bool
	// ColdFor is how much longer it stays cold at the time of its report.
	ColdFor time.Duration
	// Started is the endpoint's start in Unix milliseconds, or 0.
	Started int64
}

// endpoint is what is known of an endpoint.
type endpoint struct {
	Endpoint
	hash uint64
	// wire names the endpoint in messages between instances.
	wire uint32

	// own and others are requests in flight from this and other instances.
	own, others int
	// alone is set while a request runs that tolerates no other one.
	alone bool
	// unexplained is load that the endpoint reported beyond these.
	unexplained int
	// surplus is that of the service's endpoints; nil if instances tell each
	// other their requests.
	surplus *surplus
	// freedAt is when it last answered, until it gets the next request.
	freedAt       time.Time
	unexplainedAt time.Time

	coldUntil time.Time
	cold      coldBucket
	health    health
	recent    recency
	// surprises counts expected hits in a row that took as long as misses.
	surprises int
	// addedAt is when this table first saw the endpoint.
	addedAt time.Time
	// introduced is when it may be sent the next object as a newcomer.
	introduced time.Time
	// slow is the measured work over the expected one; 1 is normal.
	slow   float64
	slowAt time.Time
	// lapsing is set while the entry is missing after an outage of the store.
	// At that time the endpoint is taken as gone.
	lapsing time.Time
}

func newEndpoint(e Endpoint, now time.Time) *endpoint {
	h := xxhash.Sum64String(string(e.ID))
	return &endpoint{Endpoint: e, hash: h, wire: uint32(h), slow: 1, addedAt: now}
}

// unexplainedAge is how long a load report counts. Requests last 0.1 to 1 s.
const unexplainedAge = 250 * time.Millisecond

// load is the number of requests that the endpoint has, from all instances.
func (e *endpoint) load(now time.Time) int {
	n := e.own + e.others
	age := now.Sub(e.unexplainedAt)
	switch {
	case e.surplus != nil:
		return n + e.untold(age, now)
	case age < unexplainedAge:
		return n + e.unexplained
	}
	return n
}

// untold is the load of other instances that do not tell it, by reports.
func (e *endpoint) untold(age time.Duration, now time.Time) int {
	switch {
	case age <= freedFor:
		return e.unexplained
	case age < unexplainedAge:
		return refilled(e.unexplained, e.Slots)
	}
	return e.surplus.expected(e.Slots, now)
}

// refilled is the load some time after a report. The report came with an answer
// that had just freed a slot; others fill it, the sooner the busier they are.
func refilled(load, slots int) int {
	others := max(slots-1, 1)
	return (load*slots + others/2) / others // Rounded to the nearest.
}

// surplus is the mean load that endpoints of a service report beyond what is
// known, a slot. It stands for an endpoint whose last report is old: where
// instances do not tell each other their requests, it is the load of the others.
// Reports come with answers, when a slot has just become free: a full endpoint
// reports one request less than it has on average.
type surplus struct {
	mean float64
	at   time.Time
	// shown is the mean at shownAt, which is kept for a while: a decision asks
	// for each endpoint.
	shown   float64
	shownAt time.Time
}

const (
	// surplusWeight is the weight of one report.
	surplusWeight = 0.05
	// surplusMemory is the time in which the mean loses two thirds without
	// reports.
	surplusMemory = time.Second
	// surplusKept is how long a computed mean is used.
	surplusKept = 10 * time.Millisecond
)

func (s *surplus) reported(beyond, slots int, now time.Time) {
	s.mean = s.now(now)
	s.mean += surplusWeight * (float64(beyond)/float64(max(slots-1, 1)) - s.mean)
	s.at = now
}

func (s *surplus) now(now time.Time) float64 {
	return s.mean * decay(max(now.Sub(s.at), 0), surplusMemory)
}

func (s *surplus) expected(slots int, now time.Time) int {
	if now.Sub(s.shownAt) > surplusKept {
		s.shown, s.shownAt = s.now(now), now
	}
	return max(int(s.shown*float64(slots)+0.5), 0)
}

// reported takes an endpoint's own report of its load. The report includes
// the request that it answered.
func (e *endpoint) reported(total int, now time.Time) {
	beyond := total - e.own - e.others - 1
	if e.surplus != nil {
		e.surplus.reported(beyond, e.Slots, now)
	}
	e.unexplained = max(0, beyond)
	e.unexplainedAt = now
}

// freedFor is how long a slot is most likely still free that an answer has
// returned: waiting requests get it within that time.
const freedFor = 500 * time.Microsecond

// justFreed reports whether this instance is the first to know of a free slot.
func (e *endpoint) justFreed(now time.Time) bool {
	return now.Sub(e.freedAt) <= freedFor && e.load(now) < e.Slots
}

const (
	// slowWeight is the weight of one measurement of work.
	slowWeight = 0.3
	// slowMemory is the time in which a measured slowness loses two thirds,
	// so that an endpoint gets work again after it has recovered.
	slowMemory = 5 * time.Second
	// maxSlow bounds the slowness, 25 times the usual work.
	maxSlow = 25
)

func (e *endpoint) slowness(now time.Time) float64 {
	age := now.Sub(e.slowAt)
	if e.slow <= 1 || age <= 0 {
		return e.slow
	}
	return 1 + (e.slow-1)*decay(age, slowMemory)
}

func (e *endpoint) measured(ratio float64, now time.Time) {
	s := e.slowness(now)
	e.slow = min(max(s+slowWeight*(ratio-s), 0.5), maxSlow)
	e.slowAt = now
}

func (e *endpoint) isCold(now time.Time) bool { return now.Before(e.coldUntil) }
