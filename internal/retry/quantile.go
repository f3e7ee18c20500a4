package retry

import (
	"math"
	"sync"
	"time"
)

const (
	// hedgeQuantile is the latency quantile after which work is hedged.
	hedgeQuantile = 0.95
	// bucketsPerOctave bounds the error of a quantile to 2^(1/8) - 1 = 9 %.
	bucketsPerOctave = 8
	// smallestBucket is the upper bound of the first bucket.
	smallestBucket = 100 * time.Microsecond
	// bucketCount covers 100 us to 100 us x 2^20 = 105 s.
	bucketCount = 20*bucketsPerOctave + 1
	// minSamples is how many samples a 95th percentile needs at least.
	minSamples = 20
	// recomputeShare is the fraction of new samples, 1 / 64, after which the
	// quantile is computed anew; it costs 161 steps.
	recomputeShare = 64
	// halveAt is the sample count at which all counts are halved, so that old
	// samples lose weight.
	halveAt = 1000
)

// quantile estimates a quantile of recent durations from a histogram with
// logarithmic buckets.
type quantile struct {
	mu     sync.Mutex
	counts [bucketCount]uint16
	total  int
	// last is the result of the last get, age the samples since then.
	last time.Duration
	age  int
}

func (q *quantile) add(d time.Duration) {
	i := bucketOf(d)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.counts[i]++
	q.total++
	q.age++
	if q.total < halveAt {
		return
	}
	q.total = 0
	for i := range q.counts {
		q.counts[i] /= 2
		q.total += int(q.counts[i])
	}
}

// get returns the upper bound of the bucket that holds the quantile, which is
// the same in all calls.
func (q *quantile) get(fraction float64) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.total < minSamples {
		return 0, false
	}
	if q.last > 0 && q.age <= q.total/recomputeShare {
		return q.last, true
	}
	q.last, q.age = q.compute(fraction), 0
	return q.last, true
}

func (q *quantile) compute(fraction float64) time.Duration {
	above := int(float64(q.total) * (1 - fraction))
	for i := bucketCount - 1; i >= 0; i-- {
		above -= int(q.counts[i])
		if above < 0 {
			return bucketBound(i)
		}
	}
	return smallestBucket
}

func bucketOf(d time.Duration) int {
	if d <= smallestBucket {
		return 0
	}
	i := int(math.Ceil(math.Log2(float64(d)/float64(smallestBucket)) * bucketsPerOctave))
	return min(i, bucketCount-1)
}

func bucketBound(i int) time.Duration {
	return time.Duration(float64(smallestBucket) * math.Exp2(float64(i)/bucketsPerOctave))
}
