package quota

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// pauseLimit is the longest time between two calls of Tick after which an owner
	// still trusts its buckets. After a longer pause other instances may have taken
	// the owner for failed and have asked another one.
	pauseLimit = 800 * time.Millisecond
	// sweepInterval is the time between two searches for tokens that have expired.
	sweepInterval = 100 * time.Millisecond
	// demandTime is the time constant of the moving average of demand.
	demandTime = time.Second
	// calmDemand is the demand, as a part of the rate, below which half of the burst
	// may be granted in advance as well.
	calmDemand = 0.7
	// From a demand of overDemand times the rate and overDemandMin, holders get equal
	// parts of what they ask for. Requests that one slice has no token for are counted
	// at others again, so demand is measured too high when a slice is empty; and a few
	// requests at once are no overload of a small quota.
	overDemand, overDemandMin = 1.5, 4.0
	// minRecheck and maxRecheck bound the time after which a holder asks a slice again
	// that had too few tokens, and recheckPerHolder limits the messages to the owner of
	// a slice to 1,000 per second and tenant.
	minRecheck, maxRecheck = 200 * time.Millisecond, 2 * time.Second
	recheckPerHolder       = time.Millisecond
)

// Owner holds the token buckets of the slices that an instance owns. It is not safe
// for concurrent use.
type Owner struct {
	rand   *rand.Rand
	limits map[TenantID]Limit
	// share is the part of a slice's rate and size that this owner may use.
	share float64
	// owned holds since when this instance has owned its slices.
	owned   map[Slice]time.Duration
	buckets map[bucketKey]*bucket
	// last is the last message of each holder and slice.
	last     map[holderKey]received
	tickedAt time.Duration
	sweptAt  time.Duration
}

type bucketKey struct {
	tenant TenantID
	slice  Slice
}

type holderKey struct {
	holder uint32
	slice  Slice
}

// received is a message of a holder: its number, and when it was received.
type received struct {
	seq uint32
	at  time.Duration
}

// bucket is the token bucket of one slice of a tenant's quota.
type bucket struct {
	level float64
	at    time.Duration
	// size is the largest number of tokens in the bucket and unused at holders.
	size float64
	// demand is a moving average of the tokens per second that holders ask for.
	demand float64
	// held has the unused tokens of each holder, and unused is their sum.
	held   map[uint32]heldTokens
	unused float64
}

type heldTokens struct {
	tokens  float64
	expires time.Duration
}

// NewOwner returns an owner of no slices.
func NewOwner(r *rand.Rand) *Owner {
	return &Owner{rand: r, owned: map[Slice]time.Duration{}, buckets: map[bucketKey]*bucket{}, last: map[holderKey]received{}}
}

// SetLimits sets the quotas. Tenants that are not in the map have none.
func (o *Owner) SetLimits(limits map[TenantID]Limit) {
	o.limits = limits
	maps.DeleteFunc(o.buckets, func(key bucketKey, _ *bucket) bool {
		_, ok := limits[key.tenant]
		return !ok
	})
}

// SetOwned sets the slices that this instance owns, and the part of the instances in
// the list that are alive. A slice that it did not own before starts with an empty
// bucket. If the network is cut into parts, each part has owners, whose shares add up
// to one.
func (o *Owner) SetOwned(owned map[Slice]bool, live, listed int, now time.Duration) {
	o.share = min(1, float64(live)/float64(max(listed, 1)))
	for s := range o.owned {
		if !owned[s] {
			o.drop(s)
		}
	}
	for s := range owned {
		if _, ok := o.owned[s]; !ok && owned[s] {
			o.owned[s] = now
		}
	}
}

// drop forgets a slice that this instance no longer owns.
func (o *Owner) drop(s Slice) {
	delete(o.owned, s)
	maps.DeleteFunc(o.buckets, func(key bucketKey, _ *bucket) bool { return key.slice == s })
	maps.DeleteFunc(o.last, func(key holderKey, _ received) bool { return key.slice == s })
}

// Tick has to be called regularly. It empties the buckets if the process has not run
// for so long that another instance may have taken its place.
func (o *Owner) Tick(now time.Duration) {
	if o.tickedAt != 0 && now-o.tickedAt > pauseLimit {
		for s := range o.owned {
			o.drop(s)
			o.owned[s] = now
		}
	}
	o.tickedAt = now
	if now-o.sweptAt < sweepInterval {
		return
	}
	o.sweptAt = now
	// A restarted holder whose clock has gone back has lower numbers.
	maps.DeleteFunc(o.last, func(_ holderKey, r received) bool { return now-r.at > 2*tokenLifetime })
	for _, b := range o.buckets {
		for holder, h := range b.held {
			if h.expires <= now {
				b.unused -= h.tokens
				delete(b.held, holder)
			}
		}
	}
}

// Answer answers a message of a holder. It reports false if this instance does not
// own the slice, or if it has had a later message of the holder.
func (o *Owner) Answer(self uint32, a Ask, now time.Duration) (Grant, bool) {
	o.Tick(now)
	since, owned := o.owned[a.Slice]
	key := holderKey{a.From, a.Slice}
	last, known := o.last[key]
	if !owned || known && int32(a.Seq-last.seq) <= 0 {
		return Grant{}, false
	}
	o.last[key] = received{a.Seq, now}
	g := Grant{From: self, Seq: a.Seq}
	for _, r := range a.Records {
		limit, ok := o.limits[r.Tenant]
		if !ok || r.Tenant.group() != a.Slice.group() {
			continue
		}
		b := o.bucket(bucketKey{r.Tenant, a.Slice}, since)
		g.Records = append(g.Records, o.grant(b, limit, a.From, r, since, now))
	}
	return g, true
}

func (o *Owner) bucket(key bucketKey, since time.Duration) *bucket {
	b := o.buckets[key]
	if b == nil {
		b = &bucket{level: math.Inf(1), at: since, held: map[uint32]heldTokens{}}
		o.buckets[key] = b
	}
	return b
}

// grant takes the tokens for one record from a bucket.
func (o *Owner) grant(b *bucket, l Limit, holder uint32, r AskRecord, since, now time.Duration) GrantRecord {
	part := o.share / slicesPerTenant
	before := b.held[holder].tokens
	b.unused += float64(r.Held) - before
	b.refill(l, part, since, now)
	b.level = max(b.level-float64(r.Extra), -part*l.capacity())
	asked := r.Urgent + r.Ahead
	b.demand += float64(asked) / demandTime.Seconds()
	n := o.size(b, l, r, part)
	b.level -= float64(n)
	// Waiting requests use their tokens when they arrive.
	unused := float64(n - min(n, r.Urgent))
	b.unused += unused
	b.held[holder] = heldTokens{float64(r.Held) + unused, now + tokenLifetime}
	out := GrantRecord{Tenant: r.Tenant, Tokens: n}
	if n < r.Urgent || n < asked && b.level < 1 {
		out.Wait = b.recheck(l.Rate * part)
	}
	return out
}

// refill adds the tokens since the last call, up to the size of the bucket. Granted
// tokens that are not used yet take room in the bucket, so that no window has more
// than the size of the bucket and the refill of that window. For the lifetime of a
// token after the start of a new owner, the bucket is small, because tokens of its
// predecessor may be in use.
func (b *bucket) refill(l Limit, part float64, since, now time.Duration) {
	if grown := since + tokenLifetime; b.at < grown {
		b.fill(l.Rate*part, part*l.start(), min(now, grown))
	}
	b.fill(l.Rate*part, part*l.capacity(), now)
}

func (b *bucket) fill(rate, size float64, now time.Duration) {
	elapsed := max(now-b.at, 0).Seconds()
	b.at, b.size = max(b.at, now), size
	// Each slice can collect one token, or tenants with a small quota would get none.
	b.level = min(b.level+rate*elapsed, max(size, 1)-min(b.unused, size))
	b.demand *= math.Exp(-elapsed / demandTime.Seconds())
}

// size returns how many tokens to grant. While holders ask for more than the rate
// and the bucket is nearly empty, each gets the same part of what it asks for.
func (o *Owner) size(b *bucket, l Limit, r AskRecord, part float64) uint32 {
	rate := part * l.Rate
	available := math.Floor(b.level)
	if available < 1 {
		return 0
	}
	room := part * l.ahead()
	if b.demand < calmDemand*rate {
		room += part * l.Burst / 2
	}
	ahead := min(float64(r.Ahead), math.Max(0, math.Floor(min(room, b.size)-b.unused)))
	want := float64(r.Urgent) + ahead
	reserve := 1 + rate/20
	if b.level < want+reserve {
		if b.isOverloaded(rate) {
			want = o.round(want * rate / b.demand)
		} else {
			want = float64(r.Urgent) + min(ahead, math.Max(0, math.Floor(b.level-reserve-float64(r.Urgent))))
		}
	}
	return uint32(min(want, available))
}

// isOverloaded reports whether holders ask for clearly more than the rate.
func (b *bucket) isOverloaded(rate float64) bool { return b.demand > overDemand*rate+overDemandMin }

// round rounds to one of the two nearest integers, so that the mean is x.
func (o *Owner) round(x float64) float64 {
	whole := math.Floor(x)
	if o.rand.Float64() < x-whole {
		whole++
	}
	return whole
}

// recheck returns the time after which a holder should ask again. A short lack is
// over when the next token is there.
func (b *bucket) recheck(rate float64) time.Duration {
	if rate <= 0 {
		return maxRecheck
	}
	lack := time.Duration((1 - min(b.level, 0)) / rate * float64(time.Second))
	if b.isOverloaded(rate) {
		lack = max(lack, minRecheck, time.Duration(len(b.held))*recheckPerHolder)
	}
	return min(max(lack, minRecheck/10), maxRecheck)
}
