package steering

import (
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// An endpoint that refuses a request may say for how long it wants none of this
// instance. It then gets neither requests, retries and second attempts nor probes. At
// the end of that time it gets one request at a time until it has answered one, so that
// requests which could not go there meanwhile do not arrive all at once.

// Pause records that an endpoint wants no requests of this instance for a time. e is
// the endpoint as it was when the request was sent.
func (t *Table) Pause(e Endpoint, d time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.endpoints[e.ID]
	if known == nil || known.Started != e.Started {
		return
	}
	if until := now.Add(d); until.After(known.pausedUntil) {
		known.pausedUntil, known.trial = until, true
	}
}

// shortestPause returns the time until the first of the paused endpoints that the
// request may use takes requests again. It reports false if there is none.
func (t *Table) shortestPause(s *service, r Request, now time.Time) (shortest time.Duration, ok bool) {
	for _, e := range s.endpoints {
		pause := e.pausedUntil.Sub(now)
		if pause > 0 && r.Allows(e.Region) && t.allowedUnpaused(e, r) && (!ok || pause < shortest) {
			shortest, ok = pause, true
		}
	}
	return shortest, ok
}

// maxBoundedPickAge is how long after its choice a request may be sent to an endpoint
// that tolerates only a low rate of requests: after that, another instance may own the
// endpoint. It covers the opening of a connection.
const maxBoundedPickAge = 500 * time.Millisecond

// Permits reports whether the request of a pick may still be sent.
func (t *Table) Permits(p *Pick, now time.Time) bool {
	if p.bounded && elapsed(p.startedAt, now) > maxBoundedPickAge {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.endpoints[p.ID] != p.e || p.e.Leaving || t.evacuated[p.Domain] || now.Before(p.e.pausedUntil) {
		return false
	}
	p.e.sentAt = now
	return true
}

// LastSent returns when a request was last permitted to be sent to an endpoint, or the
// zero time.
func (t *Table) LastSent(id model.EndpointID) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[id]; e != nil {
		return e.sentAt
	}
	return time.Time{}
}

// elapsed returns the time between two readings of the clock. The monotonic clock does
// not count the time for which a machine is suspended, so the wall clock counts too if
// it has advanced further.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// PausedUntil returns the end of an endpoint's pause, or the zero time.
func (t *Table) PausedUntil(id model.EndpointID) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[id]; e != nil {
		return e.pausedUntil
	}
	return time.Time{}
}
