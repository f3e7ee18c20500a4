package ledger

import (
	"cmp"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// Token identifies one claim. N counts the claims of an incarnation.
type Token struct {
	Instance model.InstanceID
	Inc      model.Incarnation
	N        uint64
}

// Verdict is the reply of a witness. The values are part of the RPC protocol.
type Verdict uint8

const (
	// VerdictNone is the zero value. A witness never replies with it.
	VerdictNone Verdict = iota
	// VerdictAccepted means that the intent is recorded.
	VerdictAccepted
	// VerdictSealed means that no intent is recorded and none will be.
	VerdictSealed
	// VerdictClaimed means that the intent of another claim is recorded. In the
	// reply to a query it also means that no outcome is recorded.
	VerdictClaimed
	// VerdictDone means that an outcome is recorded.
	VerdictDone
	// VerdictExpired means that the witness has discarded the records of the
	// key's epoch.
	VerdictExpired
	// VerdictWrongWitness means that the key names another instance or another
	// incarnation as its witness. The records of an earlier incarnation are lost.
	VerdictWrongWitness
	// VerdictFull means that the witness has no room for the record.
	VerdictFull
	// VerdictMismatch means that the key was used for a request with another
	// fingerprint.
	VerdictMismatch
	// VerdictUnknownEpoch means that the owner is not known to have issued keys
	// of this incarnation and epoch.
	VerdictUnknownEpoch
)

const (
	// witnessRetention exceeds the time for which an owner accepts the keys of
	// an epoch (4 x 5 minutes). Discarding records earlier is still safe: the
	// witness then replies with VerdictExpired to intents and queries.
	witnessRetention = 25 * time.Minute
	// maxWitnessRecords limits the witness's records to about 12 MB.
	maxWitnessRecords = 64 << 10
	// maxWitnessOwners limits the number of owners, which a caller could
	// otherwise increase without bound by forging keys. The system is designed
	// for 4,900 instances.
	maxWitnessOwners = 8 << 10
	// expiryInterval is the interval between searches for expired buckets.
	expiryInterval = 10 * time.Second
)

// bucketKey identifies a bucket of one owner. Buckets are ordered by incarnation
// and then by epoch.
type bucketKey struct {
	inc   model.Incarnation
	epoch uint64
}

func (b bucketKey) compare(o bucketKey) int {
	return cmp.Or(cmp.Compare(b.inc, o.inc), cmp.Compare(b.epoch, o.epoch))
}

// witnessRecord is the write-once register of a key. It is either sealed or
// contains the intent of one claim and, later, its outcome.
type witnessRecord struct {
	fp     uint64
	token  Token
	sealed bool
	result *Result
}

// bucket contains the records of one epoch of an owner.
type bucket struct {
	created time.Time
	records map[ID]*witnessRecord
}

// ownerRecords contains the records of the keys owned by one instance.
type ownerRecords struct {
	buckets map[bucketKey]*bucket
	// floor is the key of the highest bucket discarded so far, if hasFloor is
	// set.
	floor    bucketKey
	hasFloor bool
}

// witnessTable contains the records of a witness. They are not persistent: a new
// incarnation starts with an empty table.
type witnessTable struct {
	self   model.InstanceID
	inc    model.Incarnation
	max    int
	count  int
	owners map[model.InstanceID]*ownerRecords
	cache  responseCache
	// nextExpiry is the time of the next search for expired buckets.
	nextExpiry time.Time
}

func newWitnessTable(self model.InstanceID, inc model.Incarnation, max int) *witnessTable {
	return &witnessTable{
		self: self, inc: inc, max: max,
		owners: map[model.InstanceID]*ownerRecords{},
		cache:  responseCache{max: maxCacheBytes},
	}
}

// intent records that the claim is about to send its request.
func (w *witnessTable) intent(now time.Time, k Key, id ID, t Token, fp uint64) Verdict {
	rec, v := w.find(now, k, id, true)
	switch {
	case rec == nil:
		return v
	case v == VerdictAccepted:
		rec.token, rec.fp = t, fp
		return VerdictAccepted
	case rec.sealed:
		return VerdictSealed
	case rec.token != t:
		return VerdictClaimed
	}
	return VerdictAccepted
}

// complete records the outcome of a claim whose intent is recorded.
func (w *witnessTable) complete(now time.Time, k Key, id ID, t Token, res *Result) {
	rec, _ := w.find(now, k, id, false)
	if rec == nil || rec.sealed || rec.token != t || rec.result != nil {
		return
	}
	w.cache.put(&rec.result, res)
}

// query returns what is recorded for a key and seals the key if it has no
// intent. The fingerprint is compared unless anyFP is set. Only a key of a
// known epoch is sealed: otherwise a forged key with a later epoch would create
// a bucket that, when discarded, raises the floor above the owner's real keys.
func (w *witnessTable) query(now time.Time, k Key, id ID, fp uint64, anyFP, knownEpoch bool) (Verdict, *Result) {
	rec, v := w.find(now, k, id, knownEpoch)
	switch {
	case rec == nil && v == VerdictNone:
		return VerdictUnknownEpoch, nil
	case rec == nil:
		return v, nil
	case v == VerdictAccepted:
		rec.sealed = true
		return VerdictSealed, nil
	case rec.sealed:
		return VerdictSealed, nil
	case !anyFP && rec.fp != fp:
		return VerdictMismatch, nil
	case rec.result != nil:
		return VerdictDone, rec.result
	}
	return VerdictClaimed, nil
}

// find returns the record of a key and, if create is set, creates a missing one.
// With a record, VerdictAccepted means that it is new and empty, and VerdictNone
// that it existed before. Without a record, the verdict is the reason;
// VerdictNone means that it does not exist and create is not set.
func (w *witnessTable) find(now time.Time, k Key, id ID, create bool) (*witnessRecord, Verdict) {
	if k.Witness != w.self || k.WitnessInc != w.inc {
		return nil, VerdictWrongWitness
	}
	w.expire(now)
	o := w.owners[k.Owner]
	if o == nil && !create {
		return nil, VerdictNone
	}
	if o == nil {
		if len(w.owners) >= maxWitnessOwners {
			return nil, VerdictFull
		}
		o = &ownerRecords{buckets: map[bucketKey]*bucket{}}
		w.owners[k.Owner] = o
	}
	bk := bucketKey{k.OwnerInc, k.Epoch}
	if o.hasFloor && bk.compare(o.floor) <= 0 {
		return nil, VerdictExpired
	}
	b := o.buckets[bk]
	if b != nil && b.records[id] != nil {
		return b.records[id], VerdictNone
	}
	if !create {
		return nil, VerdictNone
	}
	if w.count >= w.max && !w.evict(b) {
		return nil, VerdictFull
	}
	if o.hasFloor && bk.compare(o.floor) <= 0 {
		return nil, VerdictExpired
	}
	if b == nil {
		b = &bucket{created: now, records: map[ID]*witnessRecord{}}
		o.buckets[bk] = b
	}
	rec := &witnessRecord{}
	b.records[id] = rec
	w.count++
	return rec, VerdictAccepted
}

// expire discards buckets older than witnessRetention.
func (w *witnessTable) expire(now time.Time) {
	if now.Before(w.nextExpiry) {
		return
	}
	w.nextExpiry = now.Add(expiryInterval)
	for _, o := range w.owners {
		for bk, b := range o.buckets {
			if now.Sub(b.created) > witnessRetention {
				w.discard(o, bk)
			}
		}
	}
}

// evict discards the oldest bucket other than keep. It returns false if there is
// none.
func (w *witnessTable) evict(keep *bucket) bool {
	var owner *ownerRecords
	var oldest bucketKey
	var created time.Time
	for _, o := range w.owners {
		for bk, b := range o.buckets {
			if b != keep && (owner == nil || b.created.Before(created)) {
				owner, oldest, created = o, bk, b.created
			}
		}
	}
	if owner == nil {
		return false
	}
	w.discard(owner, oldest)
	return true
}

// discard raises the owner's floor to bk and discards all buckets up to it.
func (w *witnessTable) discard(o *ownerRecords, bk bucketKey) {
	if !o.hasFloor || bk.compare(o.floor) > 0 {
		o.floor, o.hasFloor = bk, true
	}
	for other, b := range o.buckets {
		if other.compare(o.floor) <= 0 {
			w.count -= len(b.records)
			delete(o.buckets, other)
		}
	}
}
