package steering

import (
	"math"
	"slices"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// Request describes a request to choose an endpoint for.
type Request struct {
	Service model.Service
	// Object is a hash of the object that the request concerns, or 0.
	Object uint32
	// Rank is the request's priority; 0 is the most urgent. RankOfTenant means that it is
	// that of a tenant.
	Rank         int
	RankOfTenant bool
	// UntilDeadline is the time left until the response is useless.
	UntilDeadline time.Duration
	// UntilSoftDeadline is the time left until the response loses value. It is
	// negative once that time has passed.
	UntilSoftDeadline time.Duration
	// TargetLatency is the target latency of the route.
	TargetLatency time.Duration
	// Allows reports whether the request may run in a region. It is called with
	// the table locked and must not call the table's methods.
	Allows func(model.Region) bool
	// Tried lists endpoints that must not be used again.
	Tried []model.EndpointID
	// Exclusive requires an endpoint without other requests of this instance,
	// and keeps further ones away from it until this request has ended.
	Exclusive bool
}

// Reason is the reason for a refusal.
type Reason string

// Reasons for a refusal.
const (
	// ReasonNone means that the request was not refused.
	ReasonNone Reason = ""
	// ReasonNoEndpoint means that no usable endpoint exists.
	ReasonNoEndpoint Reason = "no-endpoint"
	// ReasonDeadline means that the response is expected after the deadline or
	// only shortly before it.
	ReasonDeadline Reason = "deadline"
	// ReasonOverload means that all usable endpoints are full, or that the
	// request would have to queue at an endpoint and would miss its soft
	// deadline there or take the place of a more urgent request.
	ReasonOverload Reason = "overload"
	// ReasonShiftCapped means that only endpoints in other regions have
	// capacity, and that the cap on traffic shifts keeps the request out of
	// them.
	ReasonShiftCapped Reason = "shift-capped"
	// ReasonRateLimited means that all usable endpoints name rate limits, and that
	// none of them takes a request of this instance now.
	ReasonRateLimited Reason = "rate-limited"
	// ReasonPaused means that all usable endpoints have asked this instance for a
	// pause. The Retry-After is later than the end of the first one.
	ReasonPaused Reason = "endpoints-paused"
)

// Pick is a chosen endpoint. The request counts towards its load until Finish,
// which must be called exactly once.
type Pick struct {
	Endpoint
	// Expected is the expected response time.
	Expected time.Duration
	// HedgeDelay is the response time that hardly any request exceeds. A
	// repeatable request without a response by then may be sent to a second
	// endpoint too.
	HedgeDelay time.Duration
	// Warm reports whether the endpoint is expected to have the object
	// cached.
	Warm bool
	// Cold reports whether the endpoint is still in its cold period after a
	// start. It says nothing about the object.
	Cold bool
	// Load is the number of requests at the endpoint before this one.
	Load int
	// Next is the second choice and NextExpected its expected response time;
	// both are only logged.
	Next         model.EndpointID
	NextExpected time.Duration

	// bounded means that the endpoint tolerates only a low rate of requests.
	bounded    bool
	e          *endpoint
	processing float64
	// speed is the predicted speed of the endpoint's machine at the start.
	speed  float64
	rtt    time.Duration
	object uint32
	// reuseDistance is the object's position in the endpoint's recent list,
	// or -1.
	reuseDistance int
	startedAt     time.Time
}

// RTT returns the estimated round-trip time to the endpoint.
func (p *Pick) RTT() time.Duration { return p.rtt }

// Choice is the result of Choose: either a pick, or a reason for the refusal
// and the time after which the caller should retry.
type Choice struct {
	Pick       *Pick
	Reason     Reason
	RetryAfter time.Duration
	// Expected is, for a refused request, the expected response time at the
	// cheapest endpoint, or 0 if no endpoint could be used.
	Expected time.Duration
}

const (
	// nonHomePenalty is added for an endpoint that does not have the object
	// cached and is not the object's home in its region. It sends the first
	// requests for an object to the same endpoint.
	nonHomePenalty = 20 * time.Millisecond
	// maxLoadPerSlot bounds the load of an endpoint, as a multiple of its
	// slots. Endpoints queue a few more requests than they run and refuse the
	// rest.
	maxLoadPerSlot = 2.5
	// remotePenalty is added for an endpoint in another region, for the
	// traffic between regions.
	remotePenalty = 5 * time.Millisecond
	// remoteMissShare is the part of the time of a miss that is added for the
	// first request for an object in another region: the object will have to
	// be loaded in its own region too.
	remoteMissShare = 0.5
	// loadPenalty is the cost difference between an endpoint with all slots
	// in use and an idle one, so that otherwise equal endpoints share the
	// load.
	loadPenalty = 4 * time.Millisecond
	// jitterShare is the range of the random part of a cost, as a multiple of
	// the time in which an endpoint's queue advances by one request. It is
	// used where instances do not share their loads.
	jitterShare = 0.3
	// maxDeadlineShare is the part of the time left until the deadline that
	// the expected response time may take.
	maxDeadlineShare = 0.95
	// uncappedAfterLoss is how long the cap on traffic shifts is lifted after
	// the loss of an endpoint.
	uncappedAfterLoss = 10 * time.Second
)

// candidate is an endpoint with its cost for one request. Times are in
// nanoseconds.
type candidate struct {
	e *endpoint
	// expected is the expected response time, processing the part of it in
	// which the endpoint works on the request, and cost the expected time with all
	// penalties. The cost is infinite if the endpoint is full.
	expected, processing, cost float64
	// speed is the predicted mean speed of the endpoint's machine during the request;
	// 1 is usual.
	speed         float64
	rtt           time.Duration
	load          int
	reuseDistance int
	warm          bool
	remote        bool
	// homeRank is the endpoint's position among the object's homes in its region.
	homeRank int
	// busy is the utilization of the endpoint's region.
	busy float64
}

// choose is Choose for one treatment of slow starts. The lock is held.
func (t *Table) choose(now time.Time, r Request) Choice {
	s := t.services[r.Service]
	if s == nil {
		return Choice{Reason: ReasonNoEndpoint, RetryAfter: t.retryAfter(r)}
	}
	s.times.init(r.TargetLatency)
	s.ranks.record(r.Rank, now)
	if now.Sub(s.speedAt) > speedReportingTime {
		s.reportsSpeed = false
	}
	if s.predictable() {
		t.updateCopyLimits(s, now)
	}
	list := t.candidates(s, r, now)
	if len(list) == 0 {
		return t.chooseCold(s, r, now)
	}
	if c := t.warmUpCandidate(s, list, r, now); c != nil {
		return Choice{Pick: t.newPick(c, nil, r, now)}
	}
	if c := t.idleCandidate(s, list, r, now); c != nil {
		return Choice{Pick: t.newPick(c, nil, r, now)}
	}
	best, next, capped := t.cheapest(s, list, len(r.Tried) > 0, now)
	if best == nil {
		return Choice{Reason: ReasonShiftCapped, RetryAfter: t.retryAfter(r)}
	}
	if reason := s.admit(best, r, now, capped); reason != ReasonNone {
		refused := *best // The search for another endpoint reorders the list.
		if c := t.lateChoice(s, list, &refused, r, now); c == &refused {
			return Choice{Pick: t.newPick(c, nil, r, now)}
		} else if c != nil {
			return Choice{Pick: t.newPick(c, &refused, r, now)}
		}
		return Choice{Reason: reason, RetryAfter: t.retryAfter(r), Expected: time.Duration(best.expected)}
	}
	return Choice{Pick: t.newPick(best, next, r, now)}
}

// regionView is what a choice needs to know of the endpoints of one region.
type regionView struct {
	// allowed reports whether the request may run there.
	allowed bool
	// load is the number of slots in use, of all usable endpoints.
	load, slots int
	homes       homes
}

// busy returns the share of the slots in use.
func (v *regionView) busy() float64 { return float64(v.load) / float64(max(v.slots, 1)) }

// candidates returns the usable endpoints with their costs. Ejected endpoints
// are used only if there are no others. The result is valid until the next call.
func (t *Table) candidates(s *service, r Request, now time.Time) []candidate {
	views := t.regionViews(r)
	t.paceSkipped = false
	usable := t.usable(s, r, views, now, false)
	if len(usable) == 0 && !t.paceSkipped {
		// If slow starts left out endpoints, Choose tries these again first.
		usable = t.usable(s, r, views, now, true)
	}
	n := s.homeCount()
	for _, e := range usable {
		views[e.region].add(e, r.Object, n, now)
	}
	own := math.Inf(1)
	if s.predictable() {
		own = t.ownUtilization(views)
	}
	out, excluded := t.evaluateAll(s, r, usable, views, own, now)
	if excluded && !anyLocalBeforeDeadline(out, r, now) {
		out, _ = t.evaluateAll(s, r, usable, views, math.Inf(1), now)
	}
	return out
}

// evaluateAll returns the usable endpoints with their costs, without those of other
// regions that are busier than own. excluded reports whether there are such. The result
// is valid until the next call.
func (t *Table) evaluateAll(s *service, r Request, usable []*endpoint, views []regionView, own float64, now time.Time) (out []candidate, excluded bool) {
	out = t.candidateScratch[:0]
	for _, e := range usable {
		v := &views[e.region]
		if e.Region != t.cfg.Region && !roomElsewhere(own, v.busy()) {
			excluded = true
			continue
		}
		out = append(out, t.evaluate(s, r, e, v.homes.rank(e), v.busy(), now))
	}
	t.candidateScratch = out
	return out, excluded
}

// regionViews returns the empty views of all regions, by their indexes.
func (t *Table) regionViews(r Request) []regionView {
	views := make([]regionView, len(t.regions))
	for i, region := range t.regions {
		views[i].allowed = r.Allows(region)
	}
	return views
}

// add adds a usable endpoint of the region. homes is the number of homes to determine.
func (v *regionView) add(e *endpoint, object uint32, homes int, now time.Time) {
	v.load += min(e.load(now), e.Slots)
	v.slots += e.Slots
	v.homes.add(e, object, homes)
}

// usable returns the endpoints that the request may use and that are neither
// cold nor, unless ejected is set, ejected. It leaves out those whose rate limits
// have no room. The result is valid until the next call.
func (t *Table) usable(s *service, r Request, views []regionView, now time.Time, ejected bool) []*endpoint {
	out := t.usableScratch[:0]
	for _, e := range s.endpoints {
		if views[e.region].allowed && t.allowed(e, r, now) && !e.isCold(now) && (ejected || !e.health.ejected(now)) && t.hasToken(s, e, now) && t.paceAllows(e, now) {
			out = append(out, e)
		}
	}
	t.usableScratch = out
	return out
}

// allowed reports whether the request may go to the endpoint, regardless of
// its load and health, if it may run in the endpoint's region.
func (t *Table) allowed(e *endpoint, r Request, now time.Time) bool {
	return !now.Before(e.pausedUntil) && (!e.trial || e.own == 0) && t.allowedUnpaused(e, r)
}

// allowedUnpaused is allowed for an endpoint that has not asked for a pause.
func (t *Table) allowedUnpaused(e *endpoint, r Request) bool {
	if e.Leaving || e.exclusive || (r.Exclusive && e.own > 0) {
		return false
	}
	return !t.evacuated[e.Domain] && !slices.Contains(r.Tried, e.ID)
}

// evaluate computes the cost of an endpoint for the request. busy is the
// utilization of the endpoint's region.
func (t *Table) evaluate(s *service, r Request, e *endpoint, homeRank int, busy float64, now time.Time) candidate {
	c := candidate{e: e, load: e.load(now), rtt: t.rtts.to(e), remote: e.Region != t.cfg.Region, homeRank: homeRank, busy: busy}
	c.reuseDistance = e.recent.reuseDistance(r.Object)
	c.warm = r.Object == 0 || (c.reuseDistance >= 0 && c.reuseDistance < s.cacheSize.objects())
	c.processing = s.times.expected(c.warm)
	queued := max(0, c.load+1-e.Slots)
	// Requests ahead of this one finish at a rate that is proportional to the
	// number of slots.
	wait, _ := e.workTime(now, 0, float64(queued)/float64(e.Slots)*s.times.hitTime)
	processing, speed := e.workTime(now, wait, c.processing)
	c.expected, c.speed = float64(c.rtt)+wait+processing, speed
	c.cost = c.expected + float64(loadPenalty)*float64(c.load)/float64(e.Slots)
	if e.meanExcess != nil && e.meanExcess.expectedLoad(e.Slots, now) > 0 {
		// Without shared loads, instances would otherwise all choose the same
		// endpoint.
		c.cost += jitterShare * t.cfg.Rand.Float64() * s.times.hitTime / float64(e.Slots)
		if e.justFreed(now) {
			c.cost -= s.times.hitTime
		}
	}
	if !c.warm {
		// A miss occupies a slot for longer, which delays other requests the
		// more, the busier the region is.
		c.cost += (s.times.missTime - s.times.hitTime) * busy
		c.cost += s.nonHomeCost(e, homeRank)
		if c.remote {
			// The object has to be loaded in its own region later as well.
			c.cost += remoteMissShare * (s.times.missTime - s.times.hitTime)
		}
	}
	if c.remote {
		c.cost += float64(remotePenalty)
	}
	if f := e.health.failureRate(now); f > 0 {
		c.cost = c.cost/(1-min(f, 0.95)) + f*float64(r.TargetLatency)
	}
	if float64(c.load) >= maxLoadPerSlot*float64(e.Slots) {
		c.cost = math.Inf(1)
	}
	return c
}

// admit decides whether the request may go to the candidate.
func (s *service) admit(c *candidate, r Request, now time.Time, capped bool) Reason {
	overload := ReasonOverload
	if capped {
		overload = ReasonShiftCapped
	}
	if math.IsInf(c.cost, 1) {
		return overload
	}
	queued := c.load >= c.e.Slots
	earliest := c.expected
	if !queued {
		// A request in a free slot delays no other one, and it may be a hit
		// after all: refuse it only if even a hit would be too late.
		earliest += min(s.times.hitTime-c.processing, 0) * c.speed
	}
	if earliest > maxDeadlineShare*float64(r.UntilDeadline) {
		return ReasonDeadline
	}
	if queued && (c.expected > float64(r.UntilSoftDeadline) || s.outranked(c, r, now)) {
		return overload
	}
	return ReasonNone
}

// chooseCold is used if all other endpoints are unusable. It sends the
// request to a cold endpoint that this instance owns, within the endpoint's
// cold rate.
func (t *Table) chooseCold(s *service, r Request, now time.Time) Choice {
	reason := ReasonNoEndpoint
	for _, e := range s.endpoints {
		if !r.Allows(e.Region) || !t.allowed(e, r, now) || e.health.ejected(now) {
			continue
		}
		if e.limit.named {
			reason = ReasonRateLimited
		}
		if !e.isCold(now) || !t.hasToken(s, e, now) {
			continue
		}
		c := t.evaluate(s, r, e, maxHomes, 0, now)
		if s.admit(&c, r, now, false) != ReasonNone {
			continue
		}
		return Choice{Pick: t.newPick(&c, nil, r, now)}
	}
	if pause, ok := t.shortestPause(s, r, now); ok && reason == ReasonNoEndpoint {
		return Choice{Reason: ReasonPaused, RetryAfter: pause + t.retryAfter(r)}
	}
	return Choice{Reason: reason, RetryAfter: t.retryAfter(r)}
}

// newPick counts the request towards the candidate's load and returns the
// pick.
func (t *Table) newPick(c, next *candidate, r Request, now time.Time) *Pick {
	t.addOwn(c.e, 1)
	c.e.exclusive = r.Exclusive
	c.e.freedAt = time.Time{}
	t.shift.count(now, c.remote)
	if r.Object != 0 {
		t.recordPlacement(c.e, r.Object)
	}
	s := t.service(c.e.Service)
	_, bounded := c.e.toleratedRate(s, now)
	if bounded {
		c.e.bucket.taken = now
	}
	p := &Pick{Endpoint: c.e.Endpoint, Expected: time.Duration(c.expected), Warm: c.warm, Cold: c.e.isCold(now),
		Load: c.load, bounded: bounded, e: c.e, processing: c.processing, speed: c.e.speed.at(now), rtt: c.rtt, object: r.Object, reuseDistance: c.reuseDistance, startedAt: now}
	miss, _ := c.e.workTime(now, 0, s.times.missTime)
	p.HedgeDelay = time.Duration(c.expected - c.processing + hedgeFactor*miss)
	if next != nil {
		p.Next, p.NextExpected = next.e.ID, time.Duration(next.expected)
	}
	return p
}

// hedgeFactor times the processing time of a miss is a time that hardly any
// request exceeds.
const hedgeFactor = 2

const (
	// minRetryAfter is the shortest Retry-After.
	minRetryAfter = 50 * time.Millisecond
	// minRetryShare and maxRetryShare bound Retry-After as a share of the
	// time left until the deadline. Callers wait for at most a third of that
	// time.
	minRetryShare, maxRetryShare = 0.1, 0.33
)

// retryAfter returns a random Retry-After in proportion to the time left
// until the deadline, so that refused callers do not retry at the same
// moment.
func (t *Table) retryAfter(r Request) time.Duration {
	u := t.cfg.Rand.Float64()
	return max(minRetryAfter, time.Duration((minRetryShare+u*(maxRetryShare-minRetryShare))*float64(r.UntilDeadline)))
}
