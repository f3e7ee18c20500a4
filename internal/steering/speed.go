package steering

import (
	"math"
	"time"
)

// An endpoint may report how long work takes on its machine at the moment, as a
// multiple of the usual time. Machines are slow for some 600 ms at a time, so a report
// says much for a moment and nothing after a second: the predicted speed returns to the
// usual one while no newer report arrives. Measured processing times are divided by the
// speed that was in force, so that what is learned from them, the service's times and
// the endpoint's slowdown, does not contain the reported speed a second time. An
// endpoint that reports a wrong speed therefore gets the opposite slowdown.

const (
	// speedTimeConstant is the time in which the predicted speed returns to the usual
	// one by a factor of 1/e. Machines that are slow for 0.6 s and for a share of 0.15
	// of the time forget their state within 0.51 s.
	speedTimeConstant = 500 * time.Millisecond
	// minSpeed and maxSpeed bound the influence of a report, which may be wrong.
	minSpeed, maxSpeed = 0.5, 4.0
	// minWorkFactor bounds the product of slowdown and speed.
	minWorkFactor = 0.5
	// speedReportingTime is how long after the last report a service counts as one whose
	// endpoints report speeds. Each response has a report, so a service that gets
	// requests and reports none has stopped.
	speedReportingTime = time.Minute
	// SpeedStep is the ratio of speeds from which instances tell each other of a
	// change.
	SpeedStep = 1.25
)

// SpeedScope says how far from this instance a speed was reported: to itself, within
// its failure domain, within its region, or beyond. An instance tells each group what
// that group has not told it.
type SpeedScope int

// Scopes of reported speeds.
const (
	ScopeSelf SpeedScope = iota
	ScopeDomain
	ScopeRegion
	ScopeBeyond
	scopeCount
)

// Speed is a reported speed of an endpoint's machine.
type Speed struct {
	// Endpoint is the endpoint's wire ID.
	Endpoint uint32
	// Factor is how long work takes as a multiple of the usual time.
	Factor float64
	// Age is how long ago the endpoint reported it.
	Age time.Duration
}

// speedReport is a reported speed and the time of the report. The zero value means
// that there is none.
type speedReport struct {
	factor float64
	at     time.Time
}

// predicted returns the expected speed some time after the report.
func (r speedReport) predicted(now time.Time) float64 {
	if r.at.IsZero() {
		return 1
	}
	return 1 + (r.factor-1)*decay(max(now.Sub(r.at), 0), speedTimeConstant)
}

// machineSpeed is what is known of the speed of an endpoint's machine.
type machineSpeed struct {
	// reports are the last ones of each scope, last is the newest of them.
	reports [scopeCount]speedReport
	last    speedReport
}

// record adds a report.
func (m *machineSpeed) record(scope SpeedScope, r speedReport) {
	r.factor = min(max(r.factor, minSpeed), maxSpeed)
	if r.at.After(m.reports[scope].at) {
		m.reports[scope] = r
	}
	if r.at.After(m.last.at) {
		m.last = r
	}
}

// at returns the predicted speed.
func (m *machineSpeed) at(now time.Time) float64 { return m.last.predicted(now) }

// newest returns the newest report of the scopes from low to high.
func (m *machineSpeed) newest(low, high SpeedScope) (r speedReport) {
	for _, o := range m.reports[low : high+1] {
		if o.at.After(r.at) {
			r = o
		}
	}
	return r
}

// mean returns the predicted mean speed for work of a usual duration, in nanoseconds,
// that starts after a delay.
func (m *machineSpeed) mean(now time.Time, delay, usual float64) float64 {
	excess := m.at(now) - 1
	if excess == 0 {
		return 1
	}
	excess *= math.Exp(-delay / float64(speedTimeConstant))
	x := usual * (1 + excess) / float64(speedTimeConstant)
	if x <= 0 {
		return 1 + excess
	}
	return 1 + excess*(1-math.Exp(-x))/x
}

// workTime returns the expected duration of work that usually takes some time, in
// nanoseconds, and starts after a delay, and the mean speed of the machine during it.
func (e *endpoint) workTime(now time.Time, delay, usual float64) (took, speed float64) {
	slowdown := e.currentSlowdown(now)
	if speed = e.speed.mean(now, delay, usual*slowdown); speed == 1 {
		return usual * slowdown, 1
	}
	return usual * max(slowdown*speed, minWorkFactor), speed
}

// speedDuring returns the speed that was in force during a pick that has just ended:
// the mean of those at its start and now.
func (p *Pick) speedDuring(now time.Time) float64 {
	return (p.speed + p.e.speed.at(now)) / 2
}

// minSlowdown returns the least slowdown that a measurement at a speed may lead to.
func minSlowdown(speed float64) float64 { return minWorkFactor / max(speed, 1) }

// explained reports whether the measurement at a speed may count for the service's
// times. At another speed than the usual one, it does so only if the endpoint's reports
// agree with its processing times.
func (e *endpoint) explained(speed float64, now time.Time) bool {
	s := e.currentSlowdown(now)
	return s < maxNormalSlowdown && (s > 1/maxNormalSlowdown || max(speed, 1/speed) < SpeedStep)
}

// recordSpeed records the speed in a response that was just received, or 0 for none.
func (t *Table) recordSpeed(e *endpoint, factor float64, now time.Time) {
	if factor > 0 {
		t.noteSpeed(e, now)
		e.speed.record(ScopeSelf, speedReport{factor, now})
	}
}

// noteSpeed records that the endpoint's service reports speeds.
func (t *Table) noteSpeed(e *endpoint, at time.Time) {
	t.hasSpeeds = true
	s := t.service(e.Service)
	if s.reportsSpeed = true; at.After(s.speedAt) {
		s.speedAt = at
	}
}

// RecordSpeed records the speed that an endpoint reported in the response to a probe. e
// is the endpoint as it was when the probe was sent.
func (t *Table) RecordSpeed(e Endpoint, factor float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.endpoints[e.ID]; known != nil && known.Started == e.Started {
		t.recordSpeed(known, factor, now)
	}
}

// MergeSpeeds takes over speeds that another instance has told. scope says how far from
// this instance they were reported.
func (t *Table) MergeSpeeds(scope SpeedScope, speeds []Speed, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range speeds {
		e, at := t.byWireID[s.Endpoint], now.Add(-s.Age)
		if e == nil || at.Before(e.restartedAt) || !(s.Factor > 0) {
			continue
		}
		t.noteSpeed(e, at)
		e.speed.record(scope, speedReport{s.Factor, at})
	}
}

// SpeedFeed selects the speeds that a group of instances has not been told yet. The
// zero value is for the other instances of the failure domain; Scope is the widest
// scope whose reports the group gets.
type SpeedFeed struct {
	Scope SpeedScope
	told  map[uint32]speedReport
}

// maxToldAge is the age from which a told speed says nothing any more.
const maxToldAge = 8 * speedTimeConstant

// SpeedNews returns the speeds that differ from what the group of the feed expects by
// what it was told and has told, and counts them as told.
func (t *Table) SpeedNews(f *SpeedFeed, now time.Time) []Speed {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasSpeeds {
		return nil
	}
	if f.told == nil {
		f.told = map[uint32]speedReport{}
	}
	for w, r := range f.told {
		if now.Sub(r.at) > maxToldAge {
			delete(f.told, w)
		}
	}
	var out []Speed
	for w, e := range t.byWireID {
		r := e.speed.newest(ScopeSelf, f.Scope)
		known := f.told[w]
		if other := e.speed.newest(f.Scope+1, ScopeBeyond); other.at.After(known.at) {
			known = other
		}
		if age := now.Sub(r.at); r.at.After(known.at) && age < maxToldAge && differ(r.predicted(now), known.predicted(now)) {
			f.told[w] = r
			out = append(out, Speed{w, r.factor, age})
		}
	}
	return out
}

// differ reports whether two speeds differ by a step.
func differ(a, b float64) bool { return max(a/b, b/a) >= SpeedStep }
