package steering

import "time"

// Result is the result of an attempt as far as it concerns the endpoint.
type Result int

// Results of attempts.
const (
	// Answered means a complete response that is not a failure of the
	// endpoint.
	Answered Result = iota
	// Failed means a server error, or a truncated or invalid response.
	Failed
	// Shed means that the endpoint refused the request because of its load.
	Shed
	// Unreachable means that no connection could be established, or that the
	// connection seems to be lost. The endpoint counts as down until a probe
	// succeeds.
	Unreachable
	// Misdirected means that the address now belongs to another endpoint.
	Misdirected
	// Abandoned means that this instance ended the attempt.
	Abandoned
	// NotStarted means that the attempt was given up before anything was
	// sent.
	NotStarted
)

// Report describes an ended attempt.
type Report struct {
	Result Result
	// Load is the number of running and queued requests that the endpoint
	// reported, if HasLoad is set.
	Load    int
	HasLoad bool
	// Speed is how long work takes on the endpoint's machine by its own word, as a
	// multiple of the usual time, or 0.
	Speed float64
}

// Finish ends a pick: the request no longer counts towards the endpoint's
// load, and its result updates what is known of the endpoint.
func (t *Table) Finish(now time.Time, p *Pick, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := p.e
	t.addOwn(e, -1)
	e.exclusive = false
	if r.HasLoad {
		e.recordLoad(r.Load, now)
	}
	t.recordSpeed(e, r.Speed, now)
	switch r.Result {
	case Answered:
		e.health.succeeded(now)
		e.trial = e.trial && now.Before(e.pausedUntil)
		e.freedAt = now
		t.learnFromResponse(p, now)
	case Failed:
		e.health.failed(now)
	case Shed:
		e.health.failed(now)
		if r.HasLoad && r.Load < e.Slots {
			break
		}
		e.excess = max(e.excess, 2*e.Slots-e.own-e.others)
		e.excessAt = now
	case Unreachable, Misdirected:
		e.health.unreachable(now)
	case Abandoned:
		t.learnFromAbandoned(p, now)
	}
	t.recordPace(p, r.Result, now)
}

// learnFromResponse updates the service's processing times and cache size and
// the endpoint's slowdown.
func (t *Table) learnFromResponse(p *Pick, now time.Time) {
	if p.Load >= p.Slots || p.Cold {
		return // The time includes queueing or a cold start.
	}
	speed := p.speedDuring(now)
	took := max(float64(now.Sub(p.startedAt)-p.rtt)/speed, 1)
	s, e := t.service(p.Service), p.e
	hit := s.times.isHit(took / e.currentSlowdown(now))
	if p.object != 0 {
		s.cacheSize.record(p.reuseDistance, hit)
		if !p.Warm {
			s.confirmedMisses.record(hit)
		}
	}
	if p.Warm && !hit && e.unexpectedMisses < maxUnexpectedMisses {
		// The endpoint has probably evicted the object, and is not slow.
		e.unexpectedMisses++
		return
	}
	if hit {
		e.unexpectedMisses = 0
	}
	e.recordSlowdown(took/max(p.processing, 1), speed, now)
	if e.explained(speed, now) {
		s.times.record(took, hit)
	}
}

const (
	// maxNormalSlowdown is the slowdown below which an endpoint's processing
	// times count for the service.
	maxNormalSlowdown = 1.8
	// maxUnexpectedMisses is the number of consecutive unexpected misses
	// after which an endpoint counts as slow.
	maxUnexpectedMisses = 3
)

// learnFromAbandoned raises the endpoint's slowdown if the abandoned attempt
// had already lasted longer than the current slowdown explains.
func (t *Table) learnFromAbandoned(p *Pick, now time.Time) {
	speed := p.speedDuring(now)
	took := float64(max(now.Sub(p.startedAt)-p.rtt, 0)) / speed
	if ratio := took / max(p.processing, 1); ratio > p.e.currentSlowdown(now) && p.Load < p.Slots {
		p.e.recordSlowdown(ratio, speed, now)
	}
}
