package steering

import (
	"math"
	"time"
)

// serviceTimes estimates the processing times of a service, in nanoseconds.
type serviceTimes struct {
	// hitTime and missTime are the times with and without the object cached.
	hitTime, missTime float64
	initialized       bool
	// hits and misses count the measurements.
	hits, misses int
}

const (
	// minMeasurementWeight is the weight of a measurement; the first ones
	// weigh more.
	minMeasurementWeight = 0.05
	// initialHitShare and initialMissShare times the route's latency target
	// are the times before the first measurement.
	initialHitShare, initialMissShare = 0.3, 0.9
	// minMissRatio and maxMissRatio bound missTime as a multiple of hitTime.
	minMissRatio, maxMissRatio = 1.0, 8.0
)

func (w *serviceTimes) init(target time.Duration) {
	if !w.initialized {
		w.hitTime, w.missTime = initialHitShare*float64(target), initialMissShare*float64(target)
		w.initialized = true
	}
}

// isHit reports whether a processing time is closer to that of a hit than to
// that of a miss, on a logarithmic scale.
func (w *serviceTimes) isHit(took float64) bool { return took < math.Sqrt(w.hitTime*w.missTime) }

// record adds a measured processing time.
func (w *serviceTimes) record(took float64, hit bool) {
	if hit {
		w.hits++
		w.hitTime += measurementWeight(w.hits) * (took - w.hitTime)
	} else {
		w.misses++
		// Measurements are capped at twice the estimate, so that an outlier,
		// such as a slow endpoint, has little effect.
		w.missTime += measurementWeight(w.misses) * (min(took, 2*w.missTime) - w.missTime)
	}
	w.missTime = min(max(w.missTime, minMissRatio*w.hitTime), maxMissRatio*w.hitTime)
}

// measurementWeight returns the weight of the nth measurement. The initial
// estimate weighs as much as two measurements.
func measurementWeight(n int) float64 { return max(minMeasurementWeight, 1/float64(n+2)) }

// expected returns the expected processing time of a hit or a miss.
func (w *serviceTimes) expected(warm bool) float64 {
	if warm {
		return w.hitTime
	}
	return w.missTime
}
