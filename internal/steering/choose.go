package steering

import (
	"math"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// Request is what a decision depends on.
type Request struct {
	Service model.Service
	// Object is a hash of the object that the request concerns, or 0.
	Object uint32
	// Rank is the request's priority; 0 is the most urgent.
	Rank int
	// UntilDeadline is how long the answer is of any use.
	UntilDeadline time.Duration
	// UntilSoftDeadline is how long the answer has its full value. It may be negative.
	UntilSoftDeadline time.Duration
	// Target is the latency target of the route.
	Target time.Duration
	// Allows reports whether the request may run in a region.
	Allows func(model.Region) bool
	// Tried are endpoints that are not to be used again.
	Tried []model.EndpointID
	// Exclusive asks for an endpoint without another request of this instance,
	// which gets no other one until this one has ended.
	Exclusive bool
}

// Reason says why a request was refused.
type Reason string

// Reasons for a refusal.
const (
	// ReasonNone means that the request was not refused.
	ReasonNone Reason = ""
	// ReasonNoEndpoint means that no endpoint may be used.
	ReasonNoEndpoint Reason = "no-endpoint"
	// ReasonDeadline means that the answer would come after the deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonOverload means that the request would wait so long that it is late
	// and makes others late.
	ReasonOverload Reason = "overload"
	// ReasonShiftCapped means that only endpoints of other regions have room and the
	// cap on shifts holds the request back.
	ReasonShiftCapped Reason = "shift-capped"
)

// Pick is a chosen endpoint. Its load is counted until Finish.
type Pick struct {
	Endpoint
	// Expected is the expected time to the answer.
	Expected time.Duration
	// HedgeDelay is the time after which the endpoint is likely not to answer.
	HedgeDelay time.Duration
	// Warm is whether the endpoint is expected to have the object's state.
	Warm bool
	// Cold is whether the endpoint is cold after a start.
	Cold bool
	// Load is the number of requests that the endpoint had.
	Load int
	// Next is the second choice and NextExpected its time, for the log.
	Next         model.EndpointID
	NextExpected time.Duration

	e      *endpoint
	work   float64
	rtt    time.Duration
	object uint32
	// depth is the object's place in the endpoint's recent ones, or -1.
	depth int
	at    time.Time
}

// RTT is the round trip to the endpoint.
func (p *Pick) RTT() time.Duration { return p.rtt }

// Choice is the outcome of a decision: a pick, or a reason and when to return.
type Choice struct {
	Pick       *Pick
	Reason     Reason
	RetryAfter time.Duration
	// Expected is the shortest expected time of a refused request.
	Expected time.Duration
}

const (
	// homePrice is the price of an endpoint that is not the object's home in
	// its region, if neither knows the object. It keeps first uses together.
	homePrice = 20 * time.Millisecond
	// loadLimit is how many requests an endpoint gets, in slots. Endpoints
	// queue a few more than they run and refuse others.
	loadLimit = 2.5
	// remotePrice is added to the expected time in another region, for the
	// bytes that cross.
	remotePrice = 5 * time.Millisecond
	// exileShare is the part of a miss that the first use of an object in
	// another region costs later.
	exileShare = 0.5
	// balancePrice is the price of a full endpoint against an idle one, so
	// that equals share the load.
	balancePrice = 4 * time.Millisecond
	// jitterShare times the time of one place in an endpoint's queue is the
	// random part of a price where instances know little of each other.
	jitterShare = 0.3
	// deadlineShare is the part of the remaining time that an expected answer
	// may take.
	deadlineShare = 0.95
	// disturbedFor is how long after the loss of an endpoint requests leave
	// their region without a cap.
	disturbedFor = 10 * time.Second
)

// candidate is an endpoint with its price for one request. Times are in
// nanoseconds.
type candidate struct {
	e *endpoint
	// expected is the time to the answer, work its part at the endpoint, and
	// cost the expected time with all prices; infinite if the endpoint is full.
	expected, work, cost float64
	rtt                  time.Duration
	load                 int
	depth                int
	warm                 bool
	remote               bool
	// home is whether the endpoint is the object's home in its region.
	home bool
}

// Choose picks an endpoint and counts the request there, or refuses it.
func (t *Table) Choose(now time.Time, r Request) Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[r.Service]
	if s == nil {
		return Choice{Reason: ReasonNoEndpoint, RetryAfter: t.returnTime(r)}
	}
	s.work.init(r.Target)
	s.ranks.seen(r.Rank, now)
	list := t.candidates(s, r, now)
	if len(list) == 0 {
		return t.chooseCold(s, r, now)
	}
	if c := t.newcomer(s, list, r, now); c != nil {
		return Choice{Pick: t.begin(c, nil, r, now)}
	}
	best, next, capped := t.cheapest(s, list, len(r.Tried) > 0, now)
	if best == nil {
		return Choice{Reason: ReasonShiftCapped, RetryAfter: t.returnTime(r)}
	}
	if reason := s.admit(best, r, now, capped); reason != ReasonNone {
		return Choice{Reason: reason, RetryAfter: t.returnTime(r), Expected: time.Duration(best.expected)}
	}
	return Choice{Pick: t.begin(best, next, r, now)}
}

// candidates returns the usable endpoints with their prices. Ejected ones are
// used only if there is no other.
func (t *Table) candidates(s *service, r Request, now time.Time) []candidate {
	usable := t.usable(s, r, now, false)
	if len(usable) == 0 {
		usable = t.usable(s, r, now, true)
	}
	home := homes(usable, r.Object)
	busy := utilization(usable, now)
	out := make([]candidate, 0, len(usable))
	for _, e := range usable {
		out = append(out, t.price(s, r, e, home[e.Region] == e, busy[e.Region], now))
	}
	return out
}

func (t *Table) usable(s *service, r Request, now time.Time, ejected bool) []*endpoint {
	out := make([]*endpoint, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		if t.allowed(e, r) && !e.isCold(now) && (ejected || !e.health.ejected(now)) {
			out = append(out, e)
		}
	}
	return out
}

// allowed reports whether the request may go to the endpoint at all.
func (t *Table) allowed(e *endpoint, r Request) bool {
	if e.Leaving || t.evacuated[e.Domain] || !r.Allows(e.Region) || e.alone || (r.Exclusive && e.own > 0) {
		return false
	}
	for _, id := range r.Tried {
		if id == e.ID {
			return false
		}
	}
	return true
}

// homes returns the endpoint of each region that has the highest rendezvous
// weight for the object.
func homes(usable []*endpoint, object uint32) map[model.Region]*endpoint {
	out := map[model.Region]*endpoint{}
	weights := map[model.Region]uint64{}
	for _, e := range usable {
		if w := mix(e.hash, uint64(object)); out[e.Region] == nil || w > weights[e.Region] {
			out[e.Region], weights[e.Region] = e, w
		}
	}
	return out
}

// utilization returns the part of the slots in use, by region.
func utilization(usable []*endpoint, now time.Time) map[model.Region]float64 {
	load, slots := map[model.Region]int{}, map[model.Region]int{}
	for _, e := range usable {
		load[e.Region] += min(e.load(now), e.Slots)
		slots[e.Region] += e.Slots
	}
	out := make(map[model.Region]float64, len(load))
	for r, n := range load {
		out[r] = float64(n) / float64(slots[r])
	}
	return out
}

func (t *Table) price(s *service, r Request, e *endpoint, home bool, busy float64, now time.Time) candidate {
	c := candidate{e: e, load: e.load(now), rtt: t.distances.to(e), remote: e.Region != t.cfg.Region, home: home}
	c.depth = e.recent.depth(r.Object)
	c.warm = r.Object == 0 || (c.depth >= 0 && c.depth < s.keeps.limit())
	slow := e.slowness(now)
	c.work = s.work.expected(c.warm)
	// Requests before this one finish at the rate of the slots.
	waiting := max(0, c.load+1-e.Slots)
	wait := float64(waiting) / float64(e.Slots) * s.work.warm * slow
	c.expected = float64(c.rtt) + wait + c.work*slow
	c.cost = c.expected + float64(balancePrice)*float64(c.load)/float64(e.Slots)
	if e.surplus != nil && e.surplus.expected(e.Slots, now) > 0 {
		// Instances that know little of each other must not all choose the same.
		c.cost += jitterShare * t.cfg.Rand.Float64() * s.work.warm / float64(e.Slots)
		if e.justFreed(now) {
			c.cost -= s.work.warm
		}
	}
	if !c.warm {
		// A miss takes slots from others, the more so the busier the region.
		c.cost += (s.work.cold - s.work.warm) * busy
		if !home {
			c.cost += float64(homePrice)
		}
		if c.remote {
			// The object has to be learned at home too.
			c.cost += exileShare * (s.work.cold - s.work.warm)
		}
	}
	if c.remote {
		c.cost += float64(remotePrice)
	}
	if f := e.health.rate(now); f > 0 {
		c.cost = c.cost/(1-min(f, 0.95)) + f*float64(r.Target)
	}
	if float64(c.load) >= loadLimit*float64(e.Slots) {
		c.cost = math.Inf(1)
	}
	return c
}

// cheapest returns the candidate with the lowest cost that the cap on shifts
// permits, and the second one. capped is true if the cap forbade the best. The
// few requests that are sent once more are not held to the cap.
func (t *Table) cheapest(s *service, list []candidate, again bool, now time.Time) (best, next *candidate, capped bool) {
	mayLeave, mayStay := t.shift.bounds(now)
	var here, there [2]*candidate
	for i := range list {
		if c := &list[i]; c.remote {
			keepTwo(&there, c)
		} else {
			keepTwo(&here, c)
		}
	}
	if at, ok := s.disturbed[t.cfg.Region]; again || here[0] == nil || (ok && now.Sub(at) < disturbedFor) || t.regionImpaired(s, now) {
		mayLeave, mayStay = true, true
	}
	switch {
	case here[0] == nil && there[0] == nil:
		return nil, nil, false
	case there[0] == nil || (here[0] != nil && !mayLeave):
		return here[0], firstOf(here[1], there[0]), there[0] != nil && there[0].cost < here[0].cost
	case here[0] == nil || (!mayStay && there[0].cost < math.Inf(1)):
		return there[0], firstOf(here[0], there[1]), false
	case there[0].cost < here[0].cost:
		return there[0], here[0], false
	}
	return here[0], firstOf(here[1], there[0]), false
}

// regionImpaired reports whether an endpoint of the service in the own region is
// down or cold, so that leaving the region follows a failure.
func (t *Table) regionImpaired(s *service, now time.Time) bool {
	for _, e := range s.endpoints {
		if e.Region == t.cfg.Region && (e.health.down || e.isCold(now)) {
			return true
		}
	}
	return false
}

func keepTwo(best *[2]*candidate, c *candidate) {
	switch {
	case best[0] == nil || c.cost < best[0].cost:
		best[1], best[0] = best[0], c
	case best[1] == nil || c.cost < best[1].cost:
		best[1] = c
	}
}

func firstOf(a, b *candidate) *candidate {
	if a != nil {
		return a
	}
	return b
}

// admit decides whether the request is worth its place at the best endpoint.
func (s *service) admit(c *candidate, r Request, now time.Time, capped bool) Reason {
	overload := ReasonOverload
	if capped {
		overload = ReasonShiftCapped
	}
	if math.IsInf(c.cost, 1) {
		return overload
	}
	queued := c.load >= c.e.Slots
	least := c.expected
	if !queued {
		// The work may be shorter than expected; it costs nobody a wait.
		least += min(s.work.warm-c.work, 0)
	}
	if least > deadlineShare*float64(r.UntilDeadline) {
		return ReasonDeadline
	}
	if queued && (c.expected > float64(r.UntilSoftDeadline) || s.ranks.outranked(r.Rank, now)) {
		return overload
	}
	return ReasonNone
}

// chooseCold sends a request to a cold endpoint of which this instance owns
// the rate, if no other endpoint is left.
func (t *Table) chooseCold(s *service, r Request, now time.Time) Choice {
	for _, e := range s.endpoints {
		if !t.allowed(e, r) || !e.isCold(now) || e.health.ejected(now) || !e.cold.ready(now) {
			continue
		}
		if !owns(t.cfg.Self, t.instances, e) {
			continue
		}
		c := t.price(s, r, e, false, 0, now)
		if s.admit(&c, r, now, false) != ReasonNone {
			continue
		}
		e.cold.take(now, s.ColdRate)
		return Choice{Pick: t.begin(&c, nil, r, now)}
	}
	return Choice{Reason: ReasonNoEndpoint, RetryAfter: t.returnTime(r)}
}

func (t *Table) begin(c, next *candidate, r Request, now time.Time) *Pick {
	c.e.own++
	c.e.alone = r.Exclusive
	c.e.freedAt = time.Time{}
	t.shift.count(now, c.remote)
	if r.Object != 0 {
		t.sent(c.e, r.Object)
	}
	p := &Pick{Endpoint: c.e.Endpoint, Expected: time.Duration(c.expected), Warm: c.warm, Cold: c.e.isCold(now),
		Load: c.load, e: c.e, work: c.work, rtt: c.rtt, object: r.Object, depth: c.depth, at: now}
	s := t.service(c.e.Service)
	p.HedgeDelay = time.Duration(c.expected - c.work + patienceFactor*s.work.cold*c.e.slowness(now))
	if next != nil {
		p.Next, p.NextExpected = next.e.ID, time.Duration(next.expected)
	}
	return p
}

// patienceFactor times the work of an unknown object is a time that hardly any
// request takes.
const patienceFactor = 2

const (
	// minReturn is the shortest Retry-After.
	minReturn = 50 * time.Millisecond
	// returnFrom and returnTo bound Retry-After as parts of the time left.
	// Callers wait at most a third of it.
	returnFrom, returnTo = 0.1, 0.33
)

// returnTime is when a refused caller should return: spread over the time that
// it has, so that callers do not return together.
func (t *Table) returnTime(r Request) time.Duration {
	u := t.cfg.Rand.Float64()
	return max(minReturn, time.Duration((returnFrom+u*(returnTo-returnFrom))*float64(r.UntilDeadline)))
}
