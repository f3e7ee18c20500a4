package fleet

import (
	"math/rand/v2"
	"time"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/mirror"
)

// One instance of each region watches the store, and the others fetch the
// changes from it. It is the one with the lowest hash among those that can
// reach the store. After a change the instances may briefly disagree on which
// one that is, which has no effect but additional calls of the store.

const (
	// takeoverDelay is how long a region may be without a watching instance
	// before the next one takes over.
	takeoverDelay = 800 * time.Millisecond
	// takeoverStep is added to takeoverDelay for each instance with a lower hash,
	// so that not all take over at once.
	takeoverStep = 150 * time.Millisecond
)

// ShouldWatch reports whether this instance should watch the store for its
// region.
func (m *Members) ShouldWatch(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := hash(m.self)
	lower := 0
	watched := false
	for _, o := range m.members {
		if o.Region != m.region || !o.alive || o.Leaving || o.StoreLost {
			continue
		}
		if o.hash < own {
			lower++
		}
		watched = watched || o.Watching
	}
	if watched || lower == 0 || m.lastWatched.IsZero() {
		m.lastWatched = now
	}
	if lower == 0 {
		return true
	}
	return now.Sub(m.lastWatched) > takeoverDelay+time.Duration(lower)*takeoverStep
}

// Behind reports whether a position of the store is later, or a version of the
// desired state newer, than those of p.
func (p Presence) Behind(at mirror.Position, version desired.Version) bool {
	return p.Position.Before(at) || p.Desired < version
}

// Ahead returns the live instances for which ahead(instance, self) holds: those of
// the same region, beginning with the same failure domain, and those of other
// regions. Within these groups the order is random, so that the calls that follow
// are spread.
func (m *Members) Ahead(self Presence, ahead func(other, self Presence) bool) (near, far []Presence) {
	var domain []Presence
	all := m.Alive()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, p := range all {
		switch {
		case !ahead(p, self):
		case p.Domain == self.Domain:
			domain = append(domain, p)
		case p.Region == self.Region:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	return append(domain, near...), far
}
