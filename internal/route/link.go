package route

import (
	"time"

	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
)

const (
	// linkBurst is the time of a link's rate that may be sent at once. A
	// longer one lets larger bursts onto the link; a shorter one delays single
	// requests.
	linkBurst = 100 * time.Millisecond
	// bulkReserve is the part of the burst that bulk requests leave to others.
	bulkReserve = 0.2
)

// linkBucket is the token bucket of this instance's part of a directed link.
// It starts empty, so that a restarted instance does not send twice its burst.
// A request larger than the burst waits for a full bucket and leaves a debt.
type linkBucket struct {
	// rate is that of the whole link in bytes a second.
	rate   float64
	part   float64
	tokens float64
	filled time.Time
}

func (r *Router) setLinks(now time.Time, set *rules.Set) {
	links := make(map[model.Region]*linkBucket)
	for l, rate := range set.Links {
		if l.From != r.cfg.Region || l.To == r.cfg.Region {
			continue
		}
		b := r.links[l.To]
		if b == nil {
			b = &linkBucket{filled: now}
		}
		b.rate = float64(rate)
		links[l.To] = b
	}
	r.links = links
}

// fill adds the tokens since the last call at the smaller of the parts at its
// ends, because the part changed at an unknown time in between.
func (b *linkBucket) fill(now time.Time, part float64) {
	rate := b.rate * min(part, b.part)
	b.part = part
	burst := b.burst()
	if since := now.Sub(b.filled); since > 0 {
		b.tokens += rate * since.Seconds()
		b.filled = now
	}
	b.tokens = min(b.tokens, burst)
}

func (b *linkBucket) burst() float64 {
	return b.rate * b.part * linkBurst.Seconds()
}

// has reports whether the request fits the budget.
func (b *linkBucket) has(now time.Time, part float64, n forward.AdmissionRequest) bool {
	b.fill(now, part)
	burst := b.burst()
	if burst <= 0 {
		return false
	}
	if n.Priority == model.PriorityBulk {
		return b.tokens >= min(float64(n.Bytes)+bulkReserve*burst, burst)
	}
	return b.tokens >= min(float64(n.Bytes), burst)
}

func (b *linkBucket) take(bytes int) {
	b.tokens -= float64(bytes)
}
