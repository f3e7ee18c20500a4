// Package quota enforces the quotas of tenants over all instances together.
//
// The quota of each tenant is divided into slices, each with a token bucket at one
// instance, its owner. Instances that receive requests of the tenant, its holders,
// ask owners for tokens, in advance where they expect requests, and use one for each
// request. Tokens are valid for a short time, counted from when the holder asked. A
// holder that no owner answers uses a small local share.
//
// The package does no I/O. Times are those of a clock that starts with the machine
// and also counts the time for which the machine was suspended.
package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// TenantID stands for the name of a tenant in messages.
type TenantID uint32

// IDOf returns the ID of the tenant with the name.
func IDOf(name string) TenantID { return TenantID(xxhash.Sum64String(name)) }

// Limit is the quota of a tenant over all instances: requests per second, and
// requests beyond that at once.
type Limit struct {
	Rate, Burst float64
}

// lowerThan reports whether the limit admits fewer requests than another one in
// some window.
func (l Limit) lowerThan(other Limit) bool { return l.Rate < other.Rate || l.Burst < other.Burst }

const (
	// groups is the number of groups of tenants. The tenants of a group have the
	// same owners, so that an instance asks few others and in few messages.
	groups = 8
	// slicesPerTenant is the number of slices of a tenant's quota. Each may be in another
	// region, so that most holders have an owner nearby. If one owner fails, the two
	// that are left grant two thirds of the rate, which is above usual demand.
	slicesPerTenant = 3
	// SliceCount is the number of slices that have an owner.
	SliceCount = groups * slicesPerTenant
)

// group returns the group of a tenant.
func (id TenantID) group() int { return int(uint32(id) % groups) }

// Slice is the index of slice k of group g: g*slicesPerTenant + k.
type Slice uint8

func (s Slice) group() int { return int(s) / slicesPerTenant }

func sliceOf(group, k int) Slice { return Slice(group*slicesPerTenant + k) }

// Users allow (rate x 5 + burst) x 1.1 + 20 requests in 5 s. What this allows beyond
// rate x 5 + burst, which is rate x 0.5 + burst x 0.1 + 20, is divided as follows. The
// rest covers requests that wait between their token and their endpoint, and
// instances that disagree on the owner for a moment.
const (
	// Tokens in advance, beyond the burst.
	aheadRate, aheadBurst, aheadTokens = 0.25, 0.05, 7.0
	// Tokens that new owners may collect while tokens of their predecessors are valid.
	startRate, startTokens = 0.10, 3.0
	// Local shares of all instances together: tokens at once, and their refill per
	// second as a part of the rate.
	localRate, localBurst, localTokens = 0.05, 0.05, 5.0
	localRefill                        = 0.015
)

// ahead is the number of tokens that all owners together may have granted beyond the
// burst and that are not used yet.
func (l Limit) ahead() float64 { return aheadRate*l.Rate + aheadBurst*l.Burst + aheadTokens }

// capacity is the size of the token buckets of all slices, with the granted tokens
// that are not used yet.
func (l Limit) capacity() float64 { return l.Burst + l.ahead() }

// start is the size of the buckets of new owners.
func (l Limit) start() float64 { return startRate*l.Rate + startTokens }

// local is the size of the local shares of all instances together.
func (l Limit) local() float64 { return localRate*l.Rate + localBurst*l.Burst + localTokens }

// tokenLifetime is how long a granted token is valid, counted from when the holder
// asked for it.
const tokenLifetime = time.Second

// Ask is a message of a holder to the owner of a slice.
type Ask struct {
	// From identifies the holder. Seq increases with each message of the holder, over
	// its restarts as well.
	From, Seq uint32
	Slice     Slice
	Records   []AskRecord
}

// AskRecord is the part of an Ask about one tenant.
type AskRecord struct {
	Tenant TenantID
	// Urgent is the number of requests that wait for a token, Ahead the number of
	// tokens for expected requests.
	Urgent, Ahead uint32
	// Held is the number of tokens of this slice that the holder has not used.
	Held uint32
	// Extra is the number of requests that were sent without a token.
	Extra uint32
}

// Grant is the answer to an Ask. It answers all of its records.
type Grant struct {
	// From identifies the owner, Seq is that of the Ask.
	From, Seq uint32
	Records   []GrantRecord
}

// GrantRecord is the part of a Grant about one tenant.
type GrantRecord struct {
	Tenant TenantID
	Tokens uint32
	// Wait is set if the slice has fewer tokens than were asked for: the time until
	// it is worth asking it again.
	Wait time.Duration
}

// Member is an instance that may own slices.
type Member struct {
	ID, Region string
}

// Owners returns the index of the owner of each slice in members, which are the live
// instances, or -1 if there are none. The slices of a group are spread over the
// regions. A region without live instances is replaced by all others.
func Owners(members []Member, regions []string) [SliceCount]int {
	hashes := make([]uint64, len(members))
	for i, m := range members {
		hashes[i] = xxhash.Sum64String(m.ID)
	}
	var out [SliceCount]int
	for s := range out {
		group, k := s/slicesPerTenant, s%slicesPerTenant
		region := ""
		if len(regions) > 0 {
			region = regions[(group+k)%len(regions)]
		}
		best, bestWeight, local := -1, uint64(0), false
		for i, m := range members {
			inRegion := m.Region == region
			if local && !inRegion {
				continue
			}
			w := mixHashes(hashes[i], uint64(s)+1)
			if best < 0 || inRegion && !local || w > bestWeight {
				best, bestWeight, local = i, w, local || inRegion
			}
		}
		out[s] = best
	}
	return out
}

// mixHashes combines two hashes into a well-distributed one, with the finalizer of
// SplitMix64.
func mixHashes(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
