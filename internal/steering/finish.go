package steering

import "time"

// Result says how an attempt ended, as far as the endpoint's state is
// concerned.
type Result int

// Results of attempts.
const (
	// Answered means a whole answer that is no failure of the endpoint.
	Answered Result = iota
	// Failed means an answer with a server error, or a broken or wrong one.
	Failed
	// Shed means that the endpoint refused the request.
	Shed
	// Unreachable means that no connection could be made, or that it broke.
	Unreachable
	// WrongEndpoint means that the address belongs to another endpoint now.
	WrongEndpoint
	// Abandoned means that this side ended the attempt.
	Abandoned
	// NotStarted means that the attempt was given up before it began.
	NotStarted
)

// Report is what an attempt has shown.
type Report struct {
	Result Result
	// Load is the endpoint's own count of running and waiting requests, if
	// HasLoad is set.
	Load    int
	HasLoad bool
}

// Finish ends the count of a pick and learns from its result.
func (t *Table) Finish(now time.Time, p *Pick, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := p.e
	e.own--
	e.alone = false
	if r.HasLoad {
		e.reported(r.Load, now)
	}
	switch r.Result {
	case Answered:
		e.health.succeeded(now)
		e.freedAt = now
		t.learn(p, now)
	case Failed:
		e.health.failed(now)
	case Shed:
		e.health.failed(now)
		if r.HasLoad && r.Load < e.Slots {
			break
		}
		e.unexplained = max(e.unexplained, 2*e.Slots-e.own-e.others)
		e.unexplainedAt = now
	case Unreachable, WrongEndpoint:
		e.health.unreachable(now)
	case Abandoned:
		t.learnAtLeast(p, now)
	}
}

// learn updates the expected work, the number of kept objects and the
// endpoint's slowness.
func (t *Table) learn(p *Pick, now time.Time) {
	if p.Load >= p.Slots || p.Cold {
		return // The time includes waiting.
	}
	took := max(float64(now.Sub(p.at)-p.rtt), 1)
	s, e := t.service(p.Service), p.e
	hit := s.work.hit(took / e.slowness(now))
	if p.object != 0 {
		s.keeps.observed(p.depth, hit)
	}
	if p.Warm && !hit && e.surprises < maxSurprises {
		// Likely the endpoint has lost the object, and is not slow.
		e.surprises++
		return
	}
	if hit {
		e.surprises = 0
	}
	e.measured(took/max(p.work, 1), now)
	if e.slowness(now) < normalSlow {
		s.work.measured(took, hit)
	}
}

const (
	// normalSlow is the slowness up to which an endpoint's times say something
	// of the service.
	normalSlow = 1.8
	// maxSurprises is how many unexpected misses in a row mean that the
	// endpoint is slow.
	maxSurprises = 3
)

// learnAtLeast notes the slowness of an attempt that was given up.
func (t *Table) learnAtLeast(p *Pick, now time.Time) {
	took := float64(max(now.Sub(p.at)-p.rtt, 0))
	if ratio := took / max(p.work, 1); ratio > p.e.slowness(now) && p.Load < p.Slots {
		p.e.measured(ratio, now)
	}
}
