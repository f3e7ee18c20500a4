package balance

import (
	"math"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/dispatch"
	"jujubestile.example/jujubestile/internal/model"
)

const (
	// latencyWeight is the weight of a new sample in the latency estimate.
	latencyWeight = 0.2
	// failureWeight is the weight of a new sample in the failure rate.
	failureWeight = 0.1
	// measureDecay is the time constant with which a measurement without a
	// successor approaches the mean of the pool, so that endpoints weigh the
	// same again when measurements stop.
	measureDecay = 10 * time.Second
	// reportDecay is the time constant with which a reported load loses its
	// weight. Load changes within a few service times.
	reportDecay = 200 * time.Millisecond
	// maxUtilization bounds a report, so that one misleading report cannot
	// exclude an endpoint: it costs at most a factor of 1 / (1 - 0.9) = 10.
	maxUtilization = 0.9
	// slowFactor is how many times the mean latency makes an endpoint slow.
	slowFactor = 1.5
	// silencePause is how long an endpoint that did not answer is set aside. It
	// takes 3 failures to eject it, and each may cost a slot for a long time.
	silencePause = time.Second
	// defaultLatency is the estimate before the first measurement.
	defaultLatency = float64(20 * time.Millisecond)
)

// endpoint is what the instance knows about one endpoint.
type endpoint struct {
	model.Endpoint
	pool     *pool
	hash     uint64 // rendezvous hash with the instance
	inSubset bool
	gone     bool

	outstanding int
	alone       bool
	rampStart   time.Time

	latency     float64 // ns, 0 before the first measurement
	measuredAt  time.Time
	failures    float64 // moving average of 0 (answer) and 1 (failure)
	utilization float64
	reportedAt  time.Time
	pausedUntil time.Time
	answeredAt  time.Time
	suspect     bool // did not answer the last request

	inARow     int
	ejected    bool
	ejections  int
	probeAt    time.Time
	probing    bool
	probedByRq bool
}

// start counts a request. Picking an ejected endpoint makes the request its
// probe.
func (e *endpoint) start(now time.Time) {
	e.outstanding++
	if e.ejected && e.probeDue(now) {
		e.probing = true
		e.probedByRq = true
	}
}

func (e *endpoint) finish() {
	e.outstanding = max(0, e.outstanding-1)
	e.alone = false
	if e.probedByRq {
		e.probing = false
		e.probedByRq = false
	}
}

// usable reports whether the endpoint takes ordinary work.
func (e *endpoint) usable(now time.Time) bool {
	return !e.ejected && !e.alone && !e.aside(now)
}

// aside reports whether the endpoint refused work and asked for a pause, or
// just failed to answer.
func (e *endpoint) aside(now time.Time) bool {
	return now.Before(e.pausedUntil)
}

// justFreed reports whether the endpoint's last answer is so new that the slot
// which it freed is most likely still free. Slow endpoints are left out: each
// would keep the work that it has.
func (e *endpoint) justFreed(now time.Time) bool {
	return e.inSubset && !e.gone && now.Sub(e.measuredAt) <= freedFor &&
		e.latency <= slowFactor*e.pool.meanLatency()
}

func (e *endpoint) probeDue(now time.Time) bool {
	return e.ejected && !e.probing && !now.Before(e.probeAt)
}

// probed takes the result of an active probe. A failed one counts like a failed
// request, so that a lost endpoint is ejected without losing more requests.
func (e *endpoint) probed(now time.Time, ok bool) {
	e.probing = false
	switch {
	case ok && e.ejected:
		e.restore(now)
	case ok:
		e.suspect = false
		e.pausedUntil = time.Time{}
	case e.ejected:
		e.eject(now)
	default:
		e.inARow++
		e.pausedUntil = now.Add(silencePause)
		if e.inARow >= ejectAfter {
			e.eject(now)
		}
	}
}

func (e *endpoint) observe(now time.Time, o dispatch.Observation, failureLatency time.Duration) {
	switch {
	case o.Censored:
		e.observeSlow(now, o.Latency)
	case errors.Is(o.Err, dispatch.ErrRefused):
		e.observeRefusal(now, o.RetryAfter)
	case o.Err != nil || o.Status >= 500:
		e.observeFailure(now, o, failureLatency)
	default:
		e.observeAnswer(now, o)
	}
	if o.Utilization >= 0 && o.Err == nil && !math.IsNaN(o.Utilization) {
		e.utilization = min(o.Utilization, maxUtilization)
		e.reportedAt = now
		e.pool.sampleUtilization(e.utilization)
	}
}

func (e *endpoint) observeAnswer(now time.Time, o dispatch.Observation) {
	e.answeredAt = now
	e.suspect = false
	e.inARow = 0
	e.failures -= failureWeight * e.failures
	if e.ejected {
		e.restore(now)
	}
	e.sample(now, float64(o.Latency))
	e.pool.sample(float64(o.Latency))
	if o.Utilization < 1 { // otherwise a request that waits there has the slot
		e.pool.freed = e
	}
}

// observeSlow learns from an attempt that was cancelled: the latency is at
// least the time that it took so far.
func (e *endpoint) observeSlow(now time.Time, d time.Duration) {
	if float64(d) > e.latencyAt(now) {
		e.sample(now, float64(2*d))
	}
}

// observeRefusal treats the endpoint as fully loaded. A refusal says nothing
// about its latency or health: counting its short latency would attract work.
func (e *endpoint) observeRefusal(now time.Time, retryAfter time.Duration) {
	e.utilization = maxUtilization
	e.reportedAt = now
	if retryAfter > 0 {
		e.pausedUntil = now.Add(min(retryAfter, maxRefusalPause))
	}
}

// observeFailure counts the failure as a timeout, so that an endpoint that
// fails fast does not look fast. A connection that cannot be made ejects at
// once, because nothing listens there.
func (e *endpoint) observeFailure(now time.Time, o dispatch.Observation, failureLatency time.Duration) {
	e.inARow++
	e.failures += failureWeight * (1 - e.failures)
	if errors.Is(o.Err, dispatch.ErrInterrupted) {
		e.pausedUntil = now.Add(silencePause)
		e.suspect = true
	}
	e.sample(now, float64(max(o.Latency, failureLatency)))
	if e.ejected || e.inARow >= ejectAfter || errors.Is(o.Err, dispatch.ErrNotSent) {
		e.eject(now)
	}
}

func (e *endpoint) sample(now time.Time, ns float64) {
	if e.latency == 0 {
		e.latency = ns
	} else {
		e.latency = e.latencyAt(now)
		e.latency += latencyWeight * (ns - e.latency)
	}
	e.measuredAt = now
}

func (e *endpoint) eject(now time.Time) {
	if e.ejected && now.Before(e.probeAt) {
		return
	}
	e.setEjected(true)
	e.probing = false
	e.suspect = false
	e.probeAt = now.Add(min(ejectBase<<min(e.ejections, 10), ejectMax))
	e.ejections++
}

func (e *endpoint) setEjected(v bool) {
	if e.ejected != v && e.inSubset && !e.gone {
		e.pool.group.eject(e, v)
	}
	e.ejected = v
}

func (e *endpoint) restore(now time.Time) {
	e.setEjected(false)
	e.probing = false
	e.suspect = false
	e.ejections = 0
	e.inARow = 0
	e.failures = 0
	e.latency = 0
	e.pausedUntil = time.Time{}
	e.rampStart = now
}

// ramp returns the share, from rampFloor to 1, that a cold endpoint takes.
func (e *endpoint) ramp(now time.Time) float64 {
	age := now.Sub(e.rampStart)
	if age >= RampTime {
		return 1
	}
	return max(rampFloor, float64(age)/float64(RampTime))
}

// latencyAt returns the latency estimate in ns. It approaches the mean of the
// pool as the last measurement ages.
func (e *endpoint) latencyAt(now time.Time) float64 {
	mean := e.pool.meanLatency()
	if e.latency == 0 {
		return mean
	}
	w := math.Exp(-float64(now.Sub(e.measuredAt)) / float64(measureDecay))
	return w*e.latency + (1-w)*mean
}

func (e *endpoint) failureRate(now time.Time) float64 {
	if e.failures == 0 {
		return 0
	}
	return e.failures * math.Exp(-float64(now.Sub(e.measuredAt))/float64(measureDecay))
}

// utilizationAt returns the reported load. It approaches the mean of the pool
// as the report ages: an endpoint that was not heard of lately is neither idle
// nor busy.
func (e *endpoint) utilizationAt(now time.Time) float64 {
	if e.reportedAt.IsZero() {
		return e.pool.utilization
	}
	w := math.Exp(-float64(now.Sub(e.reportedAt)) / float64(reportDecay))
	return w*e.utilization + (1-w)*e.pool.utilization
}

// cost is what a further request there is expected to cost; the lower the
// better. A report can only raise it.
func (e *endpoint) cost(now time.Time) float64 {
	c := float64(e.outstanding+1) / float64(max(1, e.Slots))
	c *= e.latencyAt(now)
	c /= 1 - e.utilizationAt(now)
	return c / (1.01 - e.failureRate(now))
}
