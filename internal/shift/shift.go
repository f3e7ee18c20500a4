// Package shift limits how fast the traffic of a service moves between regions.
//
// Each instance limits its own requests without communicating with others. For
// a service with a cap of fraction f per period P, a request may go to region r
// if, once the request is counted,
//
//	sent(r, W) <= floor((share(r) + f) * decided(W))
//
// W is a sliding window over the last P in steps of P/Steps: it consists of the
// current step and the Steps steps before it. share(r) is the region's smallest
// share since the start of W. Each instance rounds its bound down, so the bound
// also holds for the sums over all instances.
//
// sent(r, W) counts the attempts for which a slot in the region was taken,
// including retries in another region, whatever their outcome. decided(W)
// counts all sent attempts and, once each, the requests refused because of the
// cap. Refused requests count only as long as decided(W) does not exceed its
// value at the start of W, so that callers that repeat refused requests do not
// raise the bound.
//
// A share is measured over at least 1/f requests. An instance that decides
// fewer requests in a period keeps its shares and starts no shift. With fewer
// than regions/f requests, rounding down could exclude every region. Each
// region may then get what its share at the start of W gives, by systematic
// sampling from a random phase.
//
// A service without a cap is not limited. Its shares are measured nevertheless,
// so that a cap that is added later starts from them. A held service keeps its
// shares.
//
// The position of a service is its shares at the start of W. Instances gossip
// their positions while a shift is in progress (see Positions), so that a new
// instance does not start ahead of the others.
package shift

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
)

const (
	// Steps is the number of steps in a cap's period. More steps approximate
	// the sliding window more closely but need more memory.
	Steps = 40
	// margin is the part of a cap that the limiter leaves unused, because its
	// bounds are not exact for periods that start within a step. With 20 steps
	// and no margin, shares rose by 0.1042 in a period with a cap of 0.1. With
	// 20 steps and a margin of 0.1, they rose by 0.0505 with a cap of 0.05 when
	// targets changed within a step.
	margin = 0.1
	// defaultPeriod is the period over which the shares of a service without a
	// cap are measured.
	defaultPeriod = time.Minute
	// MinPeriod is the shortest period that the limiter supports. Shorter caps
	// are applied over it.
	MinPeriod = Steps * time.Millisecond
)

// Shares are the fractions, from 0 to 1, of a service's requests by region.
// They sum to at most 1.
type Shares map[model.Region]float64

// Limiter limits the traffic shifts of one instance. It is safe for concurrent
// use. Times passed to it are those of the instance's own clock.
type Limiter struct {
	mu       sync.Mutex
	rand     *rand.Rand
	regions  []model.Region
	services map[model.Service]*serviceWindow
	rules    *rules.Set
}

// New returns a limiter without services.
func New(r *rand.Rand) *Limiter {
	return &Limiter{rand: r, services: make(map[model.Service]*serviceWindow)}
}

// SetRules applies the caps of the rules in force. start returns the initial
// shares of a service that the limiter does not know yet.
func (l *Limiter) SetRules(now time.Time, set *rules.Set, start func(model.Service) Shares) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rules = set
	l.setRegions(now, set)
	for svc := range set.Services {
		s := l.services[svc]
		limit := limitOf(set, svc)
		if s == nil {
			s = newServiceWindow(now, limit, l.shareVector(start(svc)), l.rand.Float64())
			l.services[svc] = s
			continue
		}
		s.setLimit(now, limit)
	}
	for svc := range l.services {
		if _, ok := set.Services[svc]; !ok {
			delete(l.services, svc)
		}
	}
}

// limit is the cap of a service.
type limit struct {
	capped, held bool
	// fraction is the cap's fraction, reduced by margin.
	fraction float64
	period   time.Duration
}

func limitOf(set *rules.Set, svc model.Service) limit {
	c, capped := set.Shifts[svc]
	lim := limit{capped: capped, held: set.Held[svc], fraction: c.Fraction * (1 - margin), period: max(c.Period, MinPeriod)}
	if !capped {
		lim.period = defaultPeriod
	}
	return lim
}

// setRegions adds the regions that are new in the rules. Known regions keep
// their indexes.
func (l *Limiter) setRegions(now time.Time, set *rules.Set) {
	known := len(l.regions)
	var added []model.Region
	for r := range set.Regions {
		if !slices.Contains(l.regions, r) {
			added = append(added, r)
		}
	}
	slices.Sort(added)
	l.regions = append(l.regions, added...)
	if len(l.regions) == known {
		return
	}
	for _, s := range l.services {
		s.advance(now)
		s.addRegions(len(l.regions))
	}
}

// shareVector returns the shares in the order of l.regions.
func (l *Limiter) shareVector(sh Shares) []float64 {
	v := make([]float64, len(l.regions))
	for i, r := range l.regions {
		v[i] = sh[r]
	}
	return v
}

// SetShares restarts the service from the given shares, for example from the
// position of a peer.
func (l *Limiter) SetShares(now time.Time, svc model.Service, sh Shares) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.services[svc]; s != nil {
		s.reset(now, l.shareVector(sh))
	}
}

// Position returns the service's shares at the start of the window, from which
// the bounds are computed. An instance that starts from them does not get ahead
// of this one. Started from the current shares, it could be ahead by up to the
// cap.
func (l *Limiter) Position(now time.Time, svc model.Service) Shares {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[svc]
	if s == nil {
		return nil
	}
	s.advance(now)
	out := make(Shares, len(l.regions))
	for i, r := range l.regions {
		out[r] = s.windowStart().shares[sinceFailure][i]
	}
	return out
}

// Allow reports whether a request of the service may go to the region. It may
// not if the service or the region is not in the rules. id identifies the
// request, also in Sent and Refused.
func (l *Limiter) Allow(now time.Time, svc model.Service, r model.Region, id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[svc]
	i := slices.Index(l.regions, r)
	if s == nil || i < 0 {
		return false
	}
	if !s.limit.capped && !s.limit.held {
		return true
	}
	s.advance(now)
	return s.allow(i, id)
}

// Sent counts a request that is sent to the region.
func (l *Limiter) Sent(now time.Time, svc model.Service, r model.Region, id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[svc]
	i := slices.Index(l.regions, r)
	if s == nil || i < 0 {
		return
	}
	s.advance(now)
	s.uncountRefused(id)
	s.countSent(i)
}

// Refused counts a request that waits or is refused because of the cap. It may
// be called more than once for a request, which is counted once.
func (l *Limiter) Refused(now time.Time, svc model.Service, id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.services[svc]; s != nil {
		s.advance(now)
		s.countRefused(id)
	}
}

// RegionFailed sets the shares of a failed region to 0 at once. When the region
// returns, its increase is capped like any other. The failure does not raise the
// shares of the other regions.
func (l *Limiter) RegionFailed(now time.Time, r model.Region) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.regions, r)
	if i < 0 {
		return
	}
	for _, s := range l.services {
		s.advance(now)
		s.regionFailed(i)
	}
}
