package route

import (
	"time"

	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
)

const (
	// linkBurst is the burst size of a link, as the time that the burst takes
	// at the link's rate. A longer time lets larger bursts onto the link; a
	// shorter one delays single requests.
	linkBurst = 100 * time.Millisecond
	// bulkReserve is the fraction of the burst that bulk requests leave to
	// other requests.
	bulkReserve = 0.2
)

// linkBucket is the token bucket for this instance's share of a directed link.
// It starts empty, so that an instance that restarts does not send its burst
// twice. A request larger than the burst waits for a full bucket and leaves a
// negative balance.
type linkBucket struct {
	// rate is that of the whole link in bytes a second.
	rate float64
	// share is this instance's share of the rate when the bucket was last
	// filled.
	share float64
	// tokens is the balance in bytes.
	tokens   float64
	filledAt time.Time
}

func (r *Router) setLinks(now time.Time, set *rules.Set) {
	links := make(map[model.Region]*linkBucket)
	for l, rate := range set.Links {
		if l.From != r.cfg.Region || l.To == r.cfg.Region {
			continue
		}
		b := r.links[l.To]
		if b == nil {
			b = &linkBucket{filledAt: now}
		}
		b.rate = float64(rate)
		links[l.To] = b
	}
	r.links = links
}

// fill adds the tokens for the time since the last call. They are computed from
// the smaller of the shares then and now, because the share changed at an
// unknown time in between.
func (b *linkBucket) fill(now time.Time, share float64) {
	rate := b.rate * min(share, b.share)
	b.share = share
	burst := b.burst()
	if since := now.Sub(b.filledAt); since > 0 {
		b.tokens += rate * since.Seconds()
		b.filledAt = now
	}
	b.tokens = min(b.tokens, burst)
}

func (b *linkBucket) burst() float64 {
	return b.rate * b.share * linkBurst.Seconds()
}

// allows reports whether the budget is sufficient for the request.
func (b *linkBucket) allows(now time.Time, share float64, req forward.AdmissionRequest) bool {
	b.fill(now, share)
	burst := b.burst()
	if burst <= 0 {
		return false
	}
	if req.Priority == model.PriorityBulk {
		return b.tokens >= min(float64(req.Bytes)+bulkReserve*burst, burst)
	}
	return b.tokens >= min(float64(req.Bytes), burst)
}

func (b *linkBucket) take(bytes int) {
	b.tokens -= float64(bytes)
}
