package steering

import (
	"math"
	"time"
)

// health tracks the failures of an endpoint that this instance has seen.
type health struct {
	// failureAverage is a moving average; 1 if every recent attempt failed.
	failureAverage float64
	updatedAt      time.Time
	// down is set by a connection failure and cleared by a successful probe.
	down bool
	// consecutiveReached counts consecutive probes that got a response.
	consecutiveReached int
	// consecutiveFailures counts consecutive failed attempts.
	consecutiveFailures int
	// ejectedUntil is the end of the current or last ejection.
	ejectedUntil time.Time
	// ejections counts ejections since the last successful attempt.
	ejections int
}

const (
	// failureWeight is the weight of one attempt in failureAverage.
	failureWeight = 0.25
	// failureTimeConstant is the time in which failureAverage decays to a
	// factor of 1/e.
	failureTimeConstant = 4 * time.Second
	// ejectAfterFailures is the number of consecutive failures after which an
	// endpoint is ejected.
	ejectAfterFailures = 3
	// minEjection and maxEjection bound the length of an ejection, which
	// doubles each time.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
)

// decay returns the factor of an exponential decay after age.
func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(timeConstant))
}

// failureRate returns the expected share of attempts that fail.
func (h *health) failureRate(now time.Time) float64 {
	if h.failureAverage == 0 {
		return 0
	}
	return h.failureAverage * decay(max(now.Sub(h.updatedAt), 0), failureTimeConstant)
}

// ejected reports whether the endpoint is down or ejected after repeated
// failures.
func (h *health) ejected(now time.Time) bool {
	return h.down || now.Before(h.ejectedUntil)
}

func (h *health) succeeded(now time.Time) {
	h.failureAverage = h.failureRate(now) * (1 - failureWeight)
	h.updatedAt = now
	h.consecutiveFailures = 0
	h.ejections = 0
	h.down = false
}

// recovered marks the endpoint as up again after a probe. The failure average
// is reduced as after one successful attempt, but not reset.
func (h *health) recovered(now time.Time) {
	h.failureAverage = h.failureRate(now) * (1 - failureWeight)
	h.updatedAt = now
	h.consecutiveFailures, h.consecutiveReached = 0, 0
	h.down = false
}

func (h *health) failed(now time.Time) {
	r := h.failureRate(now)
	h.failureAverage = r + failureWeight*(1-r)
	h.updatedAt = now
	h.consecutiveFailures++
	if h.consecutiveFailures >= ejectAfterFailures && !h.ejected(now) {
		h.ejectedUntil = now.Add(min(minEjection<<min(h.ejections, 4), maxEjection))
		h.ejections++
	}
}

// unreachable marks the endpoint as down until a probe succeeds.
func (h *health) unreachable(now time.Time) {
	h.failed(now)
	h.down = true
	h.consecutiveReached = 0
}
