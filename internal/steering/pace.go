package steering

import (
	"math"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// Adaptive slow start: an endpoint that has started or recovered gets few requests at
// first and more while it responds well. Its window is the number of requests in flight
// that it may have from all instances of its region together. The window doubles in a
// fixed time, and sooner with each good response of this instance; it is halved by a
// slow response or a refusal, starts again after a failure, and grows more slowly after
// each of these. Instances share it without messages: each has a rank for the endpoint
// by rendezvous hashing, and the places in the window go to the ranks in turn. The sum
// over all instances therefore stays within the window whatever they know of each
// other's loads. A cold endpoint's rate is not changed by this.

const (
	// paceDoubling is the time in which a window doubles without any response.
	// An endpoint of 6 slots takes 1 s for it, twice the time of a slow request.
	paceDoubling = 400 * time.Millisecond
	// maxPaceDoubling bounds that time, which doubles with each bad response.
	maxPaceDoubling = 8 * paceDoubling
	// paceCredit is by how much a good response advances a window.
	paceCredit = 100 * time.Millisecond
	// paceSlowRatio times the expected response time of a miss is a slow response.
	paceSlowRatio = 2
	// paceSlowResponses is the number of consecutive slow responses after which an
	// endpoint starts again with half of its slots.
	paceSlowResponses = 3
	// paceIdleTime is how long a starting endpoint may be without requests before the
	// instance of the first rank sends it one.
	paceIdleTime = time.Second
	// paceFillTime is how long after the beginning of a slow start an endpoint gets the
	// requests for the objects of which it is the home, although others have them
	// cached. Without that it would stay idle after its slow start. This does not apply if
	// more than half of the endpoints have just started.
	paceFillTime = 20 * time.Second
	// maxPaceChanges bounds the changes that are kept for the log.
	maxPaceChanges = 64
)

// pace is the slow start of an endpoint as this instance sees it.
type pace struct {
	// starting is set during a slow start. window is the window at since, doubling the
	// time in which it doubles.
	starting bool
	window   float64
	since    time.Time
	doubling time.Duration
	// slowResponses counts consecutive slow responses.
	slowResponses int
	// usedAt is when the endpoint was last seen with requests.
	usedAt time.Time
	// begun is when the last slow start began, or zero.
	begun time.Time
}

// begin begins a slow start, or begins it again.
func (p *pace) begin(window float64, at time.Time) {
	if !p.starting {
		p.doubling = paceDoubling
	}
	p.starting, p.window, p.since, p.usedAt, p.begun, p.slowResponses = true, max(window, 1), at, at, at, 0
}

// windowAt returns the window.
func (p *pace) windowAt(now time.Time) float64 {
	return p.window * math.Exp2(max(now.Sub(p.since).Seconds(), 0)/p.doubling.Seconds())
}

// limit returns how many requests of the instance with a rank may be in flight, if n
// ranks share the window.
func (p *pace) limit(now time.Time, rank, n int) int {
	if rank >= n {
		return 0
	}
	return max(int(p.windowAt(now))+n-1-rank, 0) / n
}

// answered records a response. It reports whether a slow start has begun.
func (p *pace) answered(slow bool, slots int, now time.Time) bool {
	switch {
	case !slow:
		p.slowResponses = 0
		p.since = p.since.Add(-paceCredit)
	case p.starting:
		p.cut(p.windowAt(now)/2, now)
	default:
		if p.slowResponses++; p.slowResponses >= paceSlowResponses {
			p.begin(float64(slots)/2, now)
			return true
		}
	}
	return false
}

// cut lowers the window of a slow start and slows its growth down.
func (p *pace) cut(window float64, now time.Time) {
	p.window, p.since, p.doubling = max(window, 1), now, min(2*p.doubling, maxPaceDoubling)
}

// paceMode says how a choice treats slow starts.
type paceMode int

const (
	// paceKept keeps endpoints within their windows. paceFull counts a window of all
	// slots, for requests that other endpoints have no room for. paceIgnored ignores
	// windows, because all usable endpoints are starting.
	paceKept paceMode = iota
	paceFull
	paceIgnored
)

// Choose picks an endpoint and counts the request towards its load, or refuses the
// request. Endpoints beyond the window of their slow start are used only if the request
// would be refused otherwise.
func (t *Table) Choose(now time.Time, r Request) Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.paceMode, t.paceSkipped, t.paceOthers = paceKept, false, false
	c := t.choose(now, r)
	if c.Pick != nil || !t.paceSkipped {
		return c
	}
	if t.paceMode = paceFull; !t.paceOthers {
		t.paceMode = paceIgnored
	}
	if second := t.choose(now, r); second.Pick != nil {
		return second
	}
	return c
}

// paceAllows reports whether an endpoint that is usable otherwise has room in its
// window for a request of this instance.
func (t *Table) paceAllows(e *endpoint, now time.Time) bool {
	if !e.pace.starting {
		t.paceOthers = true
		return true
	}
	if t.paceMode == paceIgnored {
		return true
	}
	rank, n := t.paceRank(e)
	window := e.pace.windowAt(now)
	if window >= float64(max(e.Slots, n)) {
		e.pace.starting = false
		t.notePace(e, "steady", "grown")
		return true
	}
	limit, room := e.pace.limit(now, rank, n), e.load(now) < int(window)
	if t.paceMode == paceFull {
		full := pace{window: float64(e.Slots), since: now, doubling: paceDoubling}
		limit, room = max(limit, full.limit(now, rank, n)), e.load(now) < e.Slots
	}
	if e.own < limit && room {
		t.paceOthers = true
		return true
	}
	t.paceSkipped = true
	return false
}

// paceRank returns the rank of this instance for the endpoint and the number of ranks
// that share its window: the live instances of its region, or one instance if the region
// has none. The ranks of all other instances come after these.
func (t *Table) paceRank(e *endpoint) (rank, n int) {
	own, local := e.weight(t.cfg.Self), e.Region == t.cfg.Region
	for _, in := range t.instances {
		if in.Silent {
			continue
		}
		if in.Region == e.Region {
			n++
		}
		if in.ID != t.cfg.Self && (in.Region == e.Region && !local || (in.Region == e.Region) == local && e.weight(in.ID) > own) {
			rank++
		}
	}
	return rank, max(n, 1)
}

// beginPace begins a slow start if they are enabled.
func (t *Table) beginPace(e *endpoint, window float64, at time.Time, reason string) {
	if !t.cfg.Pace {
		return
	}
	if !e.pace.starting {
		t.notePace(e, "starting", reason)
	}
	e.pace.begin(window, at)
}

// recordPace updates the slow start of an endpoint by the result of an attempt.
func (t *Table) recordPace(p *Pick, result Result, now time.Time) {
	e := p.e
	if !t.cfg.Pace {
		return
	}
	switch result {
	case Answered:
		if e.pace.answered(t.slowForPace(p, now), e.Slots, now) {
			t.notePace(e, "starting", "slow")
		}
	case Shed:
		if e.pace.starting {
			e.pace.cut(e.pace.windowAt(now)/2, now)
		}
	case Failed:
		if e.pace.starting {
			e.pace.cut(1, now)
		} else if e.health.ejected(now) {
			t.beginPace(e, 1, e.health.ejectedUntil, "ejected")
		}
	case Unreachable, Misdirected:
		t.beginPace(e, 1, now, "unreachable")
	}
}

// slowForPace reports whether a response took much longer than the same request was
// expected to take without the object in the cache.
func (t *Table) slowForPace(p *Pick, now time.Time) bool {
	s := t.service(p.Service)
	expected := float64(p.Expected) + max(s.times.missTime-p.processing, 0)*p.speed
	expected *= max(p.speedDuring(now)/p.speed, 1)
	return float64(now.Sub(p.startedAt)) > paceSlowRatio*expected
}

// filling reports whether the endpoint is in a slow start or has lately been in one.
func (p *pace) filling(now time.Time) bool {
	return !p.begun.IsZero() && now.Sub(p.begun) <= paceFillTime
}

// idleCandidate returns an endpoint in or after a slow start that is the home of the
// request's object, which it has not cached, or one that has been without requests for
// too long and for which this instance has the first rank, or nil.
func (t *Table) idleCandidate(s *service, list []candidate, r Request, now time.Time) *candidate {
	if !t.cfg.Pace || len(r.Tried) > 0 {
		return nil
	}
	filling := 0
	for i := range list {
		if list[i].e.pace.filling(now) {
			filling++
		}
	}
	for i := range list {
		c := &list[i]
		p := &c.e.pace
		if c.remote || !p.filling(now) {
			continue
		}
		if c.load > 0 {
			p.usedAt = now
		}
		if 2*filling <= len(list) && c.fills(r) {
			return c
		}
		if now.Sub(p.usedAt) < paceIdleTime || s.admit(c, r, now, false) != ReasonNone {
			continue
		}
		if rank, _ := t.paceRank(c.e); rank == 0 {
			p.usedAt = now
			return c
		}
	}
	return nil
}

// fills reports whether the request brings its object to its home without being late.
func (c *candidate) fills(r Request) bool {
	return r.Object != 0 && c.homeRank == 0 && !c.warm && c.load < c.e.Slots && c.expected <= float64(r.UntilSoftDeadline)
}

// PaceChange is a change of the phase of an endpoint's slow start.
type PaceChange struct {
	Endpoint model.EndpointID
	Service  model.Service
	// Phase is "starting" or "steady", Reason what led to it.
	Phase, Reason string
}

// notePace keeps a change for the log.
func (t *Table) notePace(e *endpoint, phase, reason string) {
	if len(t.paceChanges) < maxPaceChanges {
		t.paceChanges = append(t.paceChanges, PaceChange{e.ID, e.Service, phase, reason})
	}
}

// TakePaceChanges returns and clears the changes since the last call. At most
// maxPaceChanges are kept.
func (t *Table) TakePaceChanges() []PaceChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.paceChanges
	t.paceChanges = nil
	return out
}
