package steering

import "time"

// shiftLimiter limits how fast the share of requests that run outside their
// own region may change. Each instance applies it to its own requests;
// because the limit is on a share, the region as a whole keeps it too.
type shiftLimiter struct {
	// cap is the maximum change of the share between two windows.
	cap float64
	// initialShare is the remote share that is assumed at the start, before
	// there is a previous window.
	initialShare float64
	buckets      [2 * shiftBuckets]shiftCount
	// lastBucket is the number of the current bucket, counted from epoch.
	// Only differences of times are used because wall clocks may jump.
	lastBucket int64
	epoch      time.Time
}

// shiftCount counts the requests of one bucket or window.
type shiftCount struct{ remote, total int }

const (
	// shiftWindow is the length of the windows that are compared, and
	// shiftBuckets the number of buckets in a window.
	shiftWindow  = 2 * time.Second
	shiftBuckets = 8
	shiftBucket  = shiftWindow / shiftBuckets
	// usedChangeShare is the part of the cap that is used. The rest covers
	// rounding: each instance of a region counts whole requests.
	usedChangeShare = 0.6
)

// advance clears the buckets up to the current time.
func (l *shiftLimiter) advance(now time.Time) {
	if l.epoch.IsZero() {
		l.epoch = now
	}
	n := int64(now.Sub(l.epoch)/shiftBucket) + 2*shiftBuckets
	if n <= l.lastBucket {
		return
	}
	for i := max(l.lastBucket+1, n-2*shiftBuckets+1); i <= n; i++ {
		l.buckets[i%(2*shiftBuckets)] = shiftCount{}
	}
	l.lastBucket = n
}

// windows returns the counts of the current and the previous window.
func (l *shiftLimiter) windows() (now, before shiftCount) {
	for i := range int64(2 * shiftBuckets) {
		b := l.buckets[(l.lastBucket-i+4*shiftBuckets)%(2*shiftBuckets)]
		if i < shiftBuckets {
			now.remote += b.remote
			now.total += b.total
		} else {
			before.remote += b.remote
			before.total += b.total
		}
	}
	return now, before
}

// allowed reports whether the next request may run in another region, and
// whether it may run in its own.
func (l *shiftLimiter) allowed(now time.Time) (remote, local bool) {
	l.advance(now)
	cur, before := l.windows()
	share := l.baseline(now, before)
	n := float64(cur.total + 1)
	step := l.cap * usedChangeShare
	remote = float64(cur.remote) < (share+step)*n
	local = before.total == 0 || float64(cur.total-cur.remote) < (1-share+step)*n
	return remote, local
}

// baseline returns the remote share to compare with: that of the previous
// window, and soon after the start a weighted mean of that and initialShare.
func (l *shiftLimiter) baseline(now time.Time, before shiftCount) float64 {
	prior := 0.0
	if now.Sub(l.epoch) < 2*shiftWindow {
		prior = initialShareWeight
	}
	if weight := float64(before.total) + prior; weight > 0 {
		return (float64(before.remote) + prior*l.initialShare) / weight
	}
	return 0
}

// initialShareWeight is the weight of initialShare, in requests.
const initialShareWeight = 5

func (l *shiftLimiter) count(now time.Time, remote bool) {
	l.advance(now)
	b := &l.buckets[l.lastBucket%(2*shiftBuckets)]
	b.total++
	if remote {
		b.remote++
	}
}
