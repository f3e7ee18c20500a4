package forward

import (
	"math"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/model"
)

// An instance that is shutting down takes only requests that it can finish before it
// stops. How long a request takes at most is bounded by its deadline and, in the first
// part of a shutdown, estimated from the answered requests of its route. A refused caller
// loses one round trip to another instance, one whose request is cut does not know
// whether it has run, so the estimate is a high quantile with a margin, and is not used
// once callers have had the time to move to other instances.

const (
	// estimateWindow is how long after the beginning of a shutdown an estimate decides.
	// A later request is taken only if its deadline ends before the stop: an estimate
	// is wrong for the slowest requests, and callers that arrive then use a lookup that
	// has expired.
	estimateWindow = 2500 * time.Millisecond
	// finishQuantile is the quantile of the measured times that counts as the
	// longest one, finishFactor and finishMargin what may be added to it: a
	// stopping instance has no time for a request that takes longer.
	finishQuantile = 0.99
	finishFactor   = 1.25
	finishMargin   = 100 * time.Millisecond
	// minMeasured is the number of measured requests from which a quantile is used.
	minMeasured = 8
	// unknownTargetFactor times the target latency of a route is the estimate without
	// measurements, but at least unknownFraction of the time from the start of the
	// shutdown to the stop: most services are faster than half of the grace period.
	unknownTargetFactor = 1.25
	unknownFraction     = 0.5
	// maxMeasuredRoutes bounds the number of routes with measured times, at about
	// 300 bytes each. Beyond it all are measured anew.
	maxMeasuredRoutes = 4096
)

// stopWindow is the time between the beginning of a shutdown and the stop.
type stopWindow struct{ from, end time.Time }

// reasonStopping is the reason for refusing a request that the shutdown would cut.
const reasonStopping = "stopping"

// StopAt makes the engine refuse the requests that it is not likely to finish until
// end. It is called when a shutdown begins.
func (e *Engine) StopAt(now, end time.Time) { e.stop.Store(&stopWindow{now, end}) }

// mayFinish reports whether a request that is sent to an endpoint now is likely to end
// before the engine stops.
func (e *Engine) mayFinish(req *Request, now time.Time) bool {
	w := e.stop.Load()
	if w == nil {
		return true
	}
	need := req.Deadline.Sub(now) + answerGrace
	if now.Sub(w.from) < estimateWindow {
		need = min(need, e.times.longest(req.Route, w.end.Sub(w.from)))
	}
	return !now.Add(need + finishMargin).After(w.end)
}

// refuseUnfinishable returns a refusal if the request is not likely to end before the
// engine stops.
func (e *Engine) refuseUnfinishable(req *Request, now time.Time) *Answer {
	if e.mayFinish(req, now) {
		return nil
	}
	return refused(reasonStopping, otherInstanceRetryAfter)
}

// requestTimes measures how long answered requests take, from the time at which they
// have been read to the end of their answers.
type requestTimes struct {
	mu       sync.Mutex
	routes   map[string]*timeHistogram
	services map[model.Service]*timeHistogram
}

func newRequestTimes() *requestTimes {
	return &requestTimes{routes: map[string]*timeHistogram{}, services: map[model.Service]*timeHistogram{}}
}

// record adds the time of a request that was sent to an endpoint of a service.
func (t *requestTimes) record(route *desired.Route, service model.Service, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	addTo(t.routes, route.Name, took)
	addTo(t.services, service, took)
}

func addTo[K comparable](m map[K]*timeHistogram, key K, took time.Duration) {
	h := m[key]
	if h == nil {
		if len(m) >= maxMeasuredRoutes {
			clear(m)
		}
		h = &timeHistogram{}
		m[key] = h
	}
	h.add(took)
}

// longest estimates the longest time that a request of a route takes. window is the
// time from the beginning of the shutdown to the stop.
func (t *requestTimes) longest(route *desired.Route, window time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.routes[route.Name].quantile(finishQuantile); ok {
		return scale(d, finishFactor)
	}
	unknown := max(scale(route.TargetLatency, unknownTargetFactor), scale(window, unknownFraction))
	for _, target := range route.TrafficSplit {
		if d, ok := t.services[target.Service].quantile(finishQuantile); ok {
			unknown = max(unknown, scale(d, finishFactor))
		}
	}
	return unknown
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(by * float64(d)) }

const (
	// A timeHistogram has bucketsPerDoubling buckets for each doubling of the time
	// from a millisecond on, up to 2^16 ms.
	bucketsPerDoubling = 8
	timeBuckets        = 16 * bucketsPerDoubling
	// maxMeasured is the number of measurements after which all counts are halved, so
	// that the quantile follows changes.
	maxMeasured = 512
)

// timeHistogram counts durations in buckets of a logarithmic scale.
type timeHistogram struct {
	counts [timeBuckets]uint16
	total  int
}

func (h *timeHistogram) add(d time.Duration) {
	ms := max(float64(d)/float64(time.Millisecond), 1)
	h.counts[min(int(bucketsPerDoubling*math.Log2(ms)), timeBuckets-1)]++
	if h.total++; h.total < maxMeasured {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += int(h.counts[i])
	}
}

// quantile returns the upper end of the bucket that holds a quantile. It is false if
// there are too few measurements.
func (h *timeHistogram) quantile(q float64) (time.Duration, bool) {
	if h == nil || h.total < minMeasured {
		return 0, false
	}
	above := int((1 - q) * float64(h.total))
	for i := timeBuckets - 1; i >= 0; i-- {
		if above -= int(h.counts[i]); above < 0 {
			return time.Duration(math.Exp2(float64(i+1)/bucketsPerDoubling) * float64(time.Millisecond)), true
		}
	}
	return 0, false
}
