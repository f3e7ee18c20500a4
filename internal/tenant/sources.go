package tenant

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jujubestile.example/jujubestile/internal/model"
)

// Instances get proofs from each other: the one that watches the store for a region
// proves with its own calls, the relays of each failure domain ask it, and the others
// ask a relay of their own domain. A watcher thus answers the relays of its region
// only, and a relay a part of its domain.

const (
	// relaysPerDomain is the number of relays of a failure domain.
	relaysPerDomain = 2
	// maxSources is how many instances one round asks at most.
	maxSources = 4
	// relayInterval and memberInterval are the times between two calls of relays and
	// of other instances. docs/design/tenants.md derives from them how old a proof
	// becomes.
	relayInterval  = 400 * time.Millisecond
	memberInterval = time.Second
	// startInterval is the time between two calls of an instance that has no valid
	// proof yet, and agingInterval that of one whose proof is older than agingAge.
	startInterval = 100 * time.Millisecond
	agingInterval = 400 * time.Millisecond
	agingAge      = 2500 * time.Millisecond
)

// Peer is an instance that is alive and not leaving.
type Peer struct {
	ID     model.InstanceID
	Domain model.Domain
	Region model.Region
	// Watching means that it watches the store.
	Watching bool
}

// Sources returns the instances that self asks for a proof, the first one first, and
// whether self is a relay.
func Sources(self Peer, others []Peer) (sources []model.InstanceID, relay bool) {
	domain := []Peer{self}
	var near, far, rest []Peer
	for _, p := range others {
		switch {
		case p.Domain == self.Domain:
			domain = append(domain, p)
		case p.Region == self.Region && p.Watching:
			near = append(near, p)
		case p.Watching:
			far = append(far, p)
		default:
			rest = append(rest, p)
		}
	}
	slices.SortFunc(domain, func(a, b Peer) int { return cmp.Compare(hash(a.ID), hash(b.ID)) })
	relays := domain[:min(relaysPerDomain, len(domain))]
	relay = slices.ContainsFunc(relays, func(p Peer) bool { return p.ID == self.ID })
	for _, ps := range [][]Peer{near, far, rest, relays} {
		rotate(self.ID, ps)
	}
	var watching []Peer
	for _, p := range domain {
		if p.Watching && p.ID != self.ID {
			watching = append(watching, p)
		}
	}
	watching = append(watching, near...)
	order := slices.Concat(watching, far, relays, rest)
	if !relay {
		order = slices.Concat(relays, watching, far, rest)
	}
	for _, p := range order {
		if p.ID != self.ID && !slices.Contains(sources, p.ID) && len(sources) < maxSources {
			sources = append(sources, p.ID)
		}
	}
	return sources, relay
}

// rotate puts another element first for each instance, so that their calls are spread.
func rotate(id model.InstanceID, ps []Peer) {
	if len(ps) == 0 {
		return
	}
	n := int(hash(id) >> 1 % uint64(len(ps)))
	turned := slices.Concat(ps[n:], ps[:n])
	copy(ps, turned)
}

func hash(id model.InstanceID) uint64 { return xxhash.Sum64String("proof\x00" + string(id)) }

// Interval returns the time between two calls for proofs, by the age of the last one.
func Interval(relay, known bool, age time.Duration) time.Duration {
	switch {
	case !known:
		return startInterval
	case relay:
		return relayInterval
	case age > agingAge:
		return agingInterval
	}
	return memberInterval
}
