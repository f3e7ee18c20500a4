package steering

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"jujubestile.example/jujubestile/internal/model"
)

// An endpoint in its cold period, and one that names a rate limit, tolerates only a
// few requests per second from all instances together. One instance of its region
// owns it and sends all of them, so the rate is shared without messages. While an
// instance joins or fails, instances may disagree on the owner; ownerShare leaves
// room for that. If the region is cut into parts, each part has an owner. An owner
// therefore uses the less, the more silent instances would come before it: one in
// each other part may be sending too.

// ownerShare is the part of the tolerated rate that the owner uses. Two owners at the
// same time stay below 1.5 times the rate, and so do those of four parts.
const ownerShare = 0.7

// minTrialRate is the lowest rate, in requests per second, of requests to an endpoint
// with a rate limit. Without any, nothing would show that the limit has ended.
const minTrialRate = 0.2

// rateBucket is a token bucket of size one that limits the rate of requests to an
// endpoint. The rate may change at any time.
type rateBucket struct {
	// taken is when the token was last used.
	taken time.Time
}

// ready reports whether the token is available at a tolerated rate, of which the
// owner uses ownerShare.
func (b *rateBucket) ready(now time.Time, perSecond float64) bool {
	if b.taken.IsZero() {
		return true
	}
	return perSecond > 0 && now.Sub(b.taken).Seconds() >= 1/(perSecond*ownerShare)
}

// rateLimit is the rate limit that an endpoint has named in its responses.
type rateLimit struct {
	// perSecond is the number of requests per second that the endpoint takes from all
	// instances together, if named is set.
	perSecond float64
	named     bool
	// at is when the response was received, at this or another instance, that named
	// the limit or showed that it has ended.
	at time.Time
}

// toleratedRate returns how many requests per second the endpoint tolerates from all
// instances together. It reports false if there is no such bound.
func (e *endpoint) toleratedRate(s *service, now time.Time) (perSecond float64, bounded bool) {
	if e.limit.named {
		perSecond, bounded = max(e.limit.perSecond, minTrialRate), true
	}
	if e.isCold(now) && (!bounded || s.ColdRate < perSecond) {
		perSecond, bounded = s.ColdRate, true
	}
	return perSecond, bounded
}

// hasToken reports whether the endpoint tolerates a request of this instance now.
func (t *Table) hasToken(s *service, e *endpoint, now time.Time) bool {
	rate, bounded := e.toleratedRate(s, now)
	if !bounded {
		return true
	}
	owner, silent := ownership(t.cfg.Self, t.instances, e)
	return owner && e.bucket.ready(now, rate/float64(1+silent))
}

// RateLimit is what is known of the rate limit of an endpoint.
type RateLimit struct {
	// Endpoint is the wire ID of the endpoint.
	Endpoint uint32
	// PerSecond is the limit in requests per second. Named is false if the endpoint
	// no longer names one.
	PerSecond float64
	Named     bool
	// Age is how long ago the response was received that showed this.
	Age time.Duration
}

// limitChange is the relative change of a rate limit from which other instances are
// told at once.
const limitChange = 0.1

// RecordRateLimit records the limit in a response that was just received, or that it
// names none. It reports whether other instances have to be told.
func (t *Table) RecordRateLimit(id model.EndpointID, perSecond float64, named bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	if e == nil || !named && !e.limit.named {
		return false
	}
	return e.setLimit(rateLimit{perSecond, named, now})
}

// setLimit replaces what is known of the rate limit. It reports whether the limit has
// begun, ended or changed.
func (e *endpoint) setLimit(l rateLimit) bool {
	old := e.limit
	e.limit = l
	return old.named != l.named || l.named && math.Abs(l.perSecond-old.perSecond) > limitChange*old.perSecond
}

// RateLimit returns the rate limit that an endpoint names, in requests per second. It
// reports false if the endpoint names none.
func (t *Table) RateLimit(id model.EndpointID) (perSecond float64, named bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	if e == nil || !e.limit.named {
		return 0, false
	}
	return e.limit.perSecond, true
}

// endedLimitTime is how long other instances are told of a limit that has ended.
const endedLimitTime = 10 * time.Second

// RateLimits returns what is known of rate limits in force and of those that have
// ended lately, in no particular order.
func (t *Table) RateLimits(now time.Time) []RateLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []RateLimit
	for _, e := range t.endpoints {
		age := now.Sub(e.limit.at)
		if e.limit.named || age < endedLimitTime {
			out = append(out, RateLimit{Endpoint: e.wireID, PerSecond: e.limit.perSecond, Named: e.limit.named, Age: age})
		}
	}
	return out
}

// MergeRateLimits takes over what another instance knows of rate limits where that is
// newer. It returns the endpoints whose limits have begun, ended or changed.
func (t *Table) MergeRateLimits(limits []RateLimit, now time.Time) []model.EndpointID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []model.EndpointID
	for _, l := range limits {
		e, at := t.byWireID[l.Endpoint], now.Add(-l.Age)
		if e == nil || !at.After(e.limit.at) || at.Before(e.restartedAt) {
			continue
		}
		if e.setLimit(rateLimit{l.PerSecond, l.Named, at}) {
			changed = append(changed, e.ID)
		}
	}
	return changed
}

// Instance is an instance that may own cold or new endpoints.
type Instance struct {
	ID     model.InstanceID
	Region model.Region
	// Silent instances are listed but send no messages. They have failed or are cut
	// off, and in the latter case may hold themselves for the owner.
	Silent bool
}

// owns reports whether self has the highest rendezvous hash for the endpoint
// among the instances of the endpoint's region that are not silent, or among all
// such instances if the region has none.
func owns(self model.InstanceID, instances []Instance, e *endpoint) bool {
	owner, _ := ownership(self, instances, e)
	return owner
}

// ownership reports whether self owns the endpoint, see owns, and how many silent
// instances of the same region have a higher hash.
func ownership(self model.InstanceID, instances []Instance, e *endpoint) (owner bool, silent int) {
	var best model.InstanceID
	var bestWeight, own uint64
	local := false
	for _, in := range instances {
		inRegion := in.Region == e.Region
		if in.Silent || local && !inRegion {
			continue
		}
		w := e.weight(in.ID)
		if in.ID == self {
			own = w
		}
		if (inRegion && !local) || best == "" || w > bestWeight {
			best, bestWeight = in.ID, w
			local = local || inRegion
		}
	}
	if best != self {
		return false, 0
	}
	for _, in := range instances {
		if in.Silent && in.Region == e.Region && e.weight(in.ID) > own {
			silent++
		}
	}
	return true, silent
}

// weight returns the rendezvous hash of an instance for the endpoint.
func (e *endpoint) weight(id model.InstanceID) uint64 {
	return mixHashes(e.hash, xxhash.Sum64String(string(id)))
}

// mixHashes combines two hashes into a well-distributed one, with the
// finalizer of SplitMix64.
func mixHashes(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
