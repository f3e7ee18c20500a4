package steering

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"jujubestile.example/jujubestile/internal/model"
)

// An endpoint in its cold period tolerates only a few requests per second
// from all instances together. One instance of its region owns it and sends
// all of them, so the rate is shared without messages. While an instance
// joins or fails, instances may disagree on the owner; coldShare leaves room
// for that.

// coldShare is the part of the tolerated rate that the owner uses. Two owners
// at the same time stay below 1.5 times the rate.
const coldShare = 0.7

// coldBucket is a token bucket of size one that limits the rate of requests
// to a cold endpoint.
type coldBucket struct {
	next time.Time
}

// ready reports whether the token is available.
func (b *coldBucket) ready(now time.Time) bool { return !now.Before(b.next) }

// take uses the token. The next one becomes available at rate times
// coldShare.
func (b *coldBucket) take(now time.Time, rate float64) {
	if rate <= 0 {
		b.next = now.Add(time.Hour)
		return
	}
	b.next = now.Add(time.Duration(float64(time.Second) / (rate * coldShare)))
}

// Instance is an instance that may own cold or new endpoints.
type Instance struct {
	ID     model.InstanceID
	Region model.Region
}

// owns reports whether self has the highest rendezvous hash for the endpoint
// among the instances of the endpoint's region, or among all instances if the
// region has none.
func owns(self model.InstanceID, instances []Instance, e *endpoint) bool {
	var best model.InstanceID
	var bestWeight uint64
	local := false
	for _, in := range instances {
		inRegion := in.Region == e.Region
		if local && !inRegion {
			continue
		}
		w := mixHashes(e.hash, xxhash.Sum64String(string(in.ID)))
		if (inRegion && !local) || best == "" || w > bestWeight {
			best, bestWeight = in.ID, w
			local = local || inRegion
		}
	}
	return best == self
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
