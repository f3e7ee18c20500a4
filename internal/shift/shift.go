// Package shift caps how fast the traffic of a service moves between regions.
//
// Each instance limits its own requests, without communication. For a service
// with a cap of fraction f per period P, a request may go to region r if after
// it
//
//	sent(r, W) <= floor((share(r) + f) * decided(W))
//
// W is the window of the last P, in steps of P/Steps: it holds the current
// step and the Steps steps before it. share(r) is the region's smallest share
// since the start of W. The bound is rounded down on each instance, so it also holds for
// the sums over all instances.
//
// Which requests count: sent(r, W) are attempts whose slot was taken, a retry
// in another region included, whatever became of them. decided(W) are all
// sent attempts and the requests refused because of the cap, each once. The
// refused ones only fill decided(W) up to its value at the start of W, so that
// callers that repeat refused requests do not raise the bound.
//
// A share is measured over at least 1/f requests. An instance that decides
// fewer in a period keeps the shares it has and starts no shift. Where rounding
// down by region could forbid every region, which takes fewer requests than
// regions/f, each region may get what its share at the start of W gives, by
// systematic sampling from a random phase.
//
// A service without a cap is not limited. Its shares are measured all the
// same, so that a cap starts from them when it is added. A held service keeps
// its shares.
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
	// Steps is the number of steps in a cap's period. More steps follow the
	// window more closely and cost memory.
	Steps = 40
	// margin is the part of a cap that the limiter leaves unused, because it
	// does not follow periods that start within a step exactly. With 20 steps
	// and no margin, shares rose by 0.1042 in a period with a cap of 0.1; with
	// a margin of 0.1 they rose by 0.0505 with a cap of 0.05 where targets
	// changed within a step.
	margin = 0.1
	// defaultPeriod is the window of a service without a cap.
	defaultPeriod = time.Minute
	// MinPeriod is the shortest period that the limiter follows.
	MinPeriod = Steps * time.Millisecond
)

// Shares are the parts, from 0 to 1, of a service's requests by region. They
// sum to at most 1.
type Shares map[model.Region]float64

// Limiter limits the shifts of one instance. Its methods may be called
// concurrently. Times are readings of the instance's own clock.
type Limiter struct {
	mu      sync.Mutex
	rand    *rand.Rand
	regions []model.Region
	series  map[model.Service]*series
	rules   *rules.Set
}

// New returns a limiter without services.
func New(r *rand.Rand) *Limiter {
	return &Limiter{rand: r, series: make(map[model.Service]*series)}
}

// SetRules takes the caps of the rules that are in effect. start gives the
// shares that a service begins with if the limiter does not know it yet.
func (l *Limiter) SetRules(now time.Time, set *rules.Set, start func(model.Service) Shares) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rules = set
	l.setRegions(now, set)
	for svc := range set.Services {
		s := l.series[svc]
		limit := limitOf(set, svc)
		if s == nil {
			s = newSeries(now, limit, l.vector(start(svc)), l.rand.Float64())
			l.series[svc] = s
			continue
		}
		s.setLimit(now, limit)
	}
	for svc := range l.series {
		if _, ok := set.Services[svc]; !ok {
			delete(l.series, svc)
		}
	}
}

// limit is what bounds a service.
type limit struct {
	capped, held bool
	// fraction is the cap less margin.
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

// setRegions keeps the positions of known regions and adds new ones.
func (l *Limiter) setRegions(now time.Time, set *rules.Set) {
	known := len(l.regions)
	var fresh []model.Region
	for r := range set.Regions {
		if !slices.Contains(l.regions, r) {
			fresh = append(fresh, r)
		}
	}
	slices.Sort(fresh)
	l.regions = append(l.regions, fresh...)
	if len(l.regions) == known {
		return
	}
	for _, s := range l.series {
		s.advance(now)
		s.widen(len(l.regions))
	}
}

func (l *Limiter) vector(sh Shares) []float64 {
	v := make([]float64, len(l.regions))
	for i, r := range l.regions {
		v[i] = sh[r]
	}
	return v
}

// SetShares makes the service start from the given shares, as when an
// instance takes the position of a peer.
func (l *Limiter) SetShares(now time.Time, svc model.Service, sh Shares) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.series[svc]; s != nil {
		s.reset(now, l.vector(sh))
	}
}

// Position returns the service's shares at the start of the window, from which
// the bounds are computed. An instance that starts from them is no further
// than this one: from the present shares it would be up to the cap ahead.
func (l *Limiter) Position(now time.Time, svc model.Service) Shares {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.series[svc]
	if s == nil {
		return nil
	}
	s.advance(now)
	out := make(Shares, len(l.regions))
	for i, r := range l.regions {
		out[r] = s.start().shares[sinceLoss][i]
	}
	return out
}

// Allow reports whether a request of the service may go to the region. id
// tells requests of the service apart; it is the same in Sent and Refused.
func (l *Limiter) Allow(now time.Time, svc model.Service, r model.Region, id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.series[svc]
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

// Sent counts a request that goes to the region.
func (l *Limiter) Sent(now time.Time, svc model.Service, r model.Region, id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.series[svc]
	i := slices.Index(l.regions, r)
	if s == nil || i < 0 {
		return
	}
	s.advance(now)
	s.forget(id)
	s.count(i)
}

// Refused counts a request that waits or is refused because of the cap. It
// may be called several times for one request.
func (l *Limiter) Refused(now time.Time, svc model.Service, id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.series[svc]; s != nil {
		s.advance(now)
		s.refuse(id)
	}
}

// RegionFailed takes a failed region's shares away at once. Its return is capped as
// any increase; the shares of the others do not rise for it.
func (l *Limiter) RegionFailed(now time.Time, r model.Region) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.regions, r)
	if i < 0 {
		return
	}
	for _, s := range l.series {
		s.advance(now)
		s.lose(i)
	}
}
