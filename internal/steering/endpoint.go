// Package steering chooses an endpoint for each request, or refuses the
// request. It does no I/O: callers report what they observe and pass the
// current time.
//
// An endpoint responds faster if it has handled the same object before and
// still has it cached. Rendezvous hashing therefore sends the requests for an
// object to few endpoints of a region, and among these the one with the
// lowest expected response time is chosen. Expected times are derived from
// measured processing times, the requests in flight from all instances, and
// round-trip times.
package steering

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"jujubestile.example/jujubestile/internal/model"
)

// Endpoint is an endpoint as reported by the platform's service discovery.
type Endpoint struct {
	ID      model.EndpointID
	Service model.Service
	Addr    netip.AddrPort
	Domain  model.Domain
	// Region is set from Domain when the endpoint is added, if the table
	// knows the domain.
	Region model.Region
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
	// Leaving endpoints finish their requests and get no new ones.
	Leaving bool
	// ColdFor is the rest of the cold period at the time of the report. In
	// this period, after its start, an endpoint tolerates only a low rate of
	// requests.
	ColdFor time.Duration
	// Started is the endpoint's start in Unix milliseconds, or 0.
	Started int64
	// Sequence counts the reports of the process. Ordered means that Started and
	// Sequence are known, so that two reports of the endpoint can be ordered.
	Sequence int64
	Ordered  bool
}

// endpoint is an endpoint with the state that the table keeps for it.
type endpoint struct {
	Endpoint
	hash uint64
	// region is the index of the endpoint's region in Table.regions.
	region int
	// wireID identifies the endpoint in messages between instances.
	wireID uint32

	// own and others count requests in flight from this and from other
	// instances.
	own, others int
	// exclusive is set while an exclusive request runs at the endpoint.
	exclusive bool
	// excess is the part of the load that own and others do not account for,
	// by the endpoint's report at excessAt.
	excess int
	// meanExcess is that of the service; nil if instances share their loads.
	meanExcess *meanExcess
	// freedAt is the time of the last response, or zero once the endpoint has
	// got another request since.
	freedAt  time.Time
	excessAt time.Time

	// sentAt is when a request was last permitted to be sent.
	sentAt time.Time

	// pausedUntil is the end of the time for which the endpoint wants no requests of
	// this instance. trial is set from its beginning until the endpoint has answered
	// a request after its end; until then it gets one at a time.
	pausedUntil time.Time
	trial       bool

	coldUntil time.Time
	limit     rateLimit
	bucket    rateBucket
	health    health
	recent    recentList
	// unexpectedMisses counts consecutive expected hits that took as long as
	// misses.
	unexpectedMisses int
	// addedAt is when the endpoint was added to the table.
	addedAt time.Time
	// restartedAt is when the endpoint was seen to have started again, or zero.
	restartedAt time.Time
	// nextWarmUp is the earliest time of the next warm-up request; see
	// warm_up.go.
	nextWarmUp time.Time
	// slowdown is the ratio of measured to expected processing times; 1 is
	// normal.
	slowdown   float64
	slowdownAt time.Time
	// speed is that of the endpoint's machine; see speed.go.
	speed machineSpeed
	// pace is the endpoint's slow start; see pace.go.
	pace pace
	// missingUntil is set while the endpoint's entry is missing after an
	// outage of the store. The endpoint is removed at that time.
	missingUntil time.Time
}

func hashOf(id model.EndpointID) uint64 { return xxhash.Sum64String(string(id)) }

func wireIDOf(id model.EndpointID) uint32 { return uint32(hashOf(id)) }

func newEndpoint(e Endpoint, now time.Time) *endpoint {
	return &endpoint{Endpoint: e, hash: hashOf(e.ID), wireID: wireIDOf(e.ID), slowdown: 1, addedAt: now}
}

// maxReportAge is how long a load report is used. Requests take 0.1 to 1 s, so an
// older report says little about the current load.
const maxReportAge = 250 * time.Millisecond

// load returns the estimated number of requests at the endpoint, from all
// instances.
func (e *endpoint) load(now time.Time) int {
	n := e.own + e.others
	if e.excess == 0 && e.meanExcess == nil {
		return n
	}
	age := now.Sub(e.excessAt)
	switch {
	case e.meanExcess != nil:
		return n + e.loadOfOthers(age, now)
	case age < maxReportAge:
		return n + e.excess
	}
	return n
}

// loadOfOthers estimates the load from other instances by the endpoint's load
// reports, if instances do not share their loads. age is that of the last
// report.
func (e *endpoint) loadOfOthers(age time.Duration, now time.Time) int {
	switch {
	case age <= freeSlotTime:
		return e.excess
	case age < maxReportAge:
		return loadAfterRefill(e.excess, e.Slots)
	}
	return e.meanExcess.expectedLoad(e.Slots, now)
}

// loadAfterRefill estimates the load some time after a report. The report
// came with a response that had just freed a slot; other instances fill that
// slot, the sooner the busier they are.
func loadAfterRefill(load, slots int) int {
	others := max(slots-1, 1)
	return (load*slots + others/2) / others // Rounded to the nearest.
}

// meanExcess is the mean excess load per slot over the endpoints of a
// service. It estimates the load from other instances at an endpoint without
// a recent report, if instances do not share their loads. Reports come with
// responses, when a slot has just become free, so an endpoint with all slots
// in use reports one request less than its mean load.
type meanExcess struct {
	mean float64
	at   time.Time
	// cached is the mean at cachedAt. It is reused for a short time because
	// each decision reads the mean once per endpoint.
	cached   float64
	cachedAt time.Time
}

const (
	// excessWeight is the weight of one report.
	excessWeight = 0.05
	// excessTimeConstant is the time in which the mean decays to a factor of
	// 1/e without reports.
	excessTimeConstant = time.Second
	// meanCacheTime is how long a computed mean is reused.
	meanCacheTime = 10 * time.Millisecond
)

// record adds a report to the mean.
func (s *meanExcess) record(excess, slots int, now time.Time) {
	s.mean = s.meanAt(now)
	s.mean += excessWeight * (float64(excess)/float64(max(slots-1, 1)) - s.mean)
	s.at = now
}

// meanAt returns the decayed mean.
func (s *meanExcess) meanAt(now time.Time) float64 {
	return s.mean * decay(max(now.Sub(s.at), 0), excessTimeConstant)
}

// expectedLoad returns the expected excess load of an endpoint with that many
// slots.
func (s *meanExcess) expectedLoad(slots int, now time.Time) int {
	if now.Sub(s.cachedAt) > meanCacheTime {
		s.cached, s.cachedAt = s.meanAt(now), now
	}
	return max(int(s.cached*float64(slots)+0.5), 0)
}

// recordLoad records the load that the endpoint reported with a response.
// total includes the request that the response belongs to.
func (e *endpoint) recordLoad(total int, now time.Time) {
	excess := total - e.own - e.others - 1
	if e.meanExcess != nil {
		e.meanExcess.record(excess, e.Slots, now)
	}
	e.excess = max(0, excess)
	e.excessAt = now
}

// freeSlotTime is how long a slot is likely to stay free after a response:
// requests in the endpoint's queue take it within that time.
const freeSlotTime = 500 * time.Microsecond

// justFreed reports whether this instance received the endpoint's latest
// response a moment ago, so that it knows of a free slot before the others.
func (e *endpoint) justFreed(now time.Time) bool {
	return now.Sub(e.freedAt) <= freeSlotTime && e.load(now) < e.Slots
}

const (
	// slowdownWeight is the weight of one measurement.
	slowdownWeight = 0.3
	// slowdownTimeConstant is the time in which a measured slowdown decays to
	// a factor of 1/e, so that an endpoint gets requests again after it has
	// recovered.
	slowdownTimeConstant = 5 * time.Second
	// maxSlowdown bounds the slowdown at 25 times the usual processing time.
	maxSlowdown = 25
)

// currentSlowdown returns the slowdown, decayed towards 1.
func (e *endpoint) currentSlowdown(now time.Time) float64 {
	if e.slowdown <= 1 {
		return e.slowdown
	}
	age := now.Sub(e.slowdownAt)
	if age <= 0 {
		return e.slowdown
	}
	return 1 + (e.slowdown-1)*decay(age, slowdownTimeConstant)
}

// recordSlowdown adds the ratio of a measured to the expected processing time,
// both at the usual speed. speed is the speed that was in force.
func (e *endpoint) recordSlowdown(ratio, speed float64, now time.Time) {
	s := e.currentSlowdown(now)
	e.slowdown = min(max(s+slowdownWeight*(ratio-s), minSlowdown(speed)), maxSlowdown)
	e.slowdownAt = now
}

func (e *endpoint) isCold(now time.Time) bool { return now.Before(e.coldUntil) }
