package ledger

import (
	"cmp"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// Token identifies one claim: a counter of one incarnation of an instance.
type Token struct {
	Instance model.InstanceID
	Inc      model.Incarnation
	N        uint64
}

// Verdict is the answer of a witness.
type Verdict uint8

const (
	// VerdictNone is the zero value, which no handler returns.
	VerdictNone Verdict = iota
	// VerdictAccepted means that the intent is recorded.
	VerdictAccepted
	// VerdictSealed means that no intent is recorded and none will be.
	VerdictSealed
	// VerdictClaimed means that the intent of another claim is recorded, and no
	// outcome.
	VerdictClaimed
	// VerdictDone means that an outcome is recorded.
	VerdictDone
	// VerdictExpired means that the witness has discarded the records of the
	// key's epoch.
	VerdictExpired
	// VerdictWrongWitness means that the key names another incarnation of the
	// witness, whose records are lost.
	VerdictWrongWitness
	// VerdictFull means that the witness has no room for the record.
	VerdictFull
	// VerdictMismatch means that the key was used with another body.
	VerdictMismatch
	// VerdictUnknownEpoch means that the owner is not known to have handed out keys
	// of this incarnation and epoch.
	VerdictUnknownEpoch
)

const (
	// witnessRetention exceeds the time for which an owner accepts an epoch
	// (4 x 5 minutes). A witness that discards earlier is still safe: it
	// refuses intents and answers "expired" for what it discarded.
	witnessRetention = 25 * time.Minute
	// maxWitnessRecords bounds the memory of the witness at about 12 MB.
	maxWitnessRecords = 64 << 10
	// maxWitnessOwners bounds the table of owners, which a caller could
	// otherwise fill with invented keys. The target fleet has 4,900 instances.
	maxWitnessOwners = 8 << 10
	// expiryInterval spaces the searches for expired buckets.
	expiryInterval = 10 * time.Second
)

// bucketKey orders the records of one owner.
type bucketKey struct {
	inc   model.Incarnation
	epoch uint64
}

func (b bucketKey) compare(o bucketKey) int {
	return cmp.Or(cmp.Compare(b.inc, o.inc), cmp.Compare(b.epoch, o.epoch))
}

// slot is the write-once register of a key: sealed, or the intent of one
// claim and later its outcome.
type slot struct {
	fp     uint64
	token  Token
	sealed bool
	result *Result
}

type bucket struct {
	created time.Time
	slots   map[ID]*slot
}

type ownerRecords struct {
	buckets map[bucketKey]*bucket
	// floor is the highest bucket that was discarded.
	floor    bucketKey
	hasFloor bool
}

// register is the state of a witness. Its memory begins with the incarnation
// of the process.
type register struct {
	self   model.InstanceID
	inc    model.Incarnation
	max    int
	count  int
	owners map[model.InstanceID]*ownerRecords
	cache  cache
	// nextExpiry is when expired buckets are looked for again.
	nextExpiry time.Time
}

func newRegister(self model.InstanceID, inc model.Incarnation, max int) *register {
	return &register{
		self: self, inc: inc, max: max,
		owners: map[model.InstanceID]*ownerRecords{},
		cache:  cache{max: maxCacheBytes},
	}
}

// intent records that the claim is about to send the key.
func (r *register) intent(now time.Time, k Key, id ID, t Token, fp uint64) Verdict {
	s, v := r.find(now, k, id, true)
	switch {
	case s == nil:
		return v
	case v == VerdictAccepted:
		s.token, s.fp = t, fp
		return VerdictAccepted
	case s.sealed:
		return VerdictSealed
	case s.token != t:
		return VerdictClaimed
	}
	return VerdictAccepted
}

// complete records the outcome of a claim whose intent is recorded.
func (r *register) complete(now time.Time, k Key, id ID, t Token, res *Result) {
	s, _ := r.find(now, k, id, false)
	if s == nil || s.sealed || s.token != t || s.result != nil {
		return
	}
	r.cache.put(&s.result, res)
}

// query tells what is known of a key and seals it if it has no intent. The
// fingerprint is compared unless anyBody is set. Only a key of a known epoch is
// sealed: the seal of an invented later epoch would, when it is discarded,
// raise the floor above the owner's real keys.
func (r *register) query(now time.Time, k Key, id ID, fp uint64, anyBody, known bool) (Verdict, *Result) {
	s, v := r.find(now, k, id, known)
	switch {
	case s == nil && v == VerdictNone:
		return VerdictUnknownEpoch, nil
	case s == nil:
		return v, nil
	case v == VerdictAccepted:
		s.sealed = true
		return VerdictSealed, nil
	case s.sealed:
		return VerdictSealed, nil
	case !anyBody && s.fp != fp:
		return VerdictMismatch, nil
	case s.result != nil:
		return VerdictDone, s.result
	}
	return VerdictClaimed, nil
}

// find returns the key's slot. VerdictAccepted means that it is new and still
// empty. A nil slot comes with the reason, or VerdictNone if it is not created.
func (r *register) find(now time.Time, k Key, id ID, create bool) (*slot, Verdict) {
	if k.Witness != r.self || k.WitnessInc != r.inc {
		return nil, VerdictWrongWitness
	}
	r.expire(now)
	o := r.owners[k.Owner]
	if o == nil && !create {
		return nil, VerdictNone
	}
	if o == nil {
		if len(r.owners) >= maxWitnessOwners {
			return nil, VerdictFull
		}
		o = &ownerRecords{buckets: map[bucketKey]*bucket{}}
		r.owners[k.Owner] = o
	}
	bk := bucketKey{k.OwnerInc, k.Epoch}
	if o.hasFloor && bk.compare(o.floor) <= 0 {
		return nil, VerdictExpired
	}
	b := o.buckets[bk]
	if b != nil && b.slots[id] != nil {
		return b.slots[id], VerdictNone
	}
	if !create {
		return nil, VerdictNone
	}
	if r.count >= r.max && !r.evict(b) {
		return nil, VerdictFull
	}
	if o.hasFloor && bk.compare(o.floor) <= 0 {
		return nil, VerdictExpired
	}
	if b == nil {
		b = &bucket{created: now, slots: map[ID]*slot{}}
		o.buckets[bk] = b
	}
	s := &slot{}
	b.slots[id] = s
	r.count++
	return s, VerdictAccepted
}

// expire discards buckets older than the retention.
func (r *register) expire(now time.Time) {
	if now.Before(r.nextExpiry) {
		return
	}
	r.nextExpiry = now.Add(expiryInterval)
	for _, o := range r.owners {
		for bk, b := range o.buckets {
			if now.Sub(b.created) > witnessRetention {
				r.discard(o, bk)
			}
		}
	}
}

// evict discards the oldest bucket, other than keep, to make room.
func (r *register) evict(keep *bucket) bool {
	var owner *ownerRecords
	var oldest bucketKey
	var created time.Time
	for _, o := range r.owners {
		for bk, b := range o.buckets {
			if b != keep && (owner == nil || b.created.Before(created)) {
				owner, oldest, created = o, bk, b.created
			}
		}
	}
	if owner == nil {
		return false
	}
	r.discard(owner, oldest)
	return true
}

// discard raises the owner's floor to bk and drops all buckets up to it.
func (r *register) discard(o *ownerRecords, bk bucketKey) {
	if !o.hasFloor || bk.compare(o.floor) > 0 {
		o.floor, o.hasFloor = bk, true
	}
	for other, b := range o.buckets {
		if other.compare(o.floor) <= 0 {
			r.count -= len(b.slots)
			delete(o.buckets, other)
		}
	}
}
