package ledger

import (
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// epochLength is how long an owner issues keys of one epoch.
	epochLength = 5 * time.Minute
	// epochsKept is the number of epochs whose keys an owner accepts: the
	// current one and the three before it.
	epochsKept = 4
	// maxOwnerRecords limits the records of one key set to about 13 MB. An
	// epoch ends early when it has a quarter of them. At 500 requests per
	// second that have a key, an instance therefore accepts its keys for at
	// least 96 s.
	maxOwnerRecords = 64 << 10
	// inheritedRetention is how long the records of a stopped instance are
	// kept, which is as long as that instance would have accepted keys of its
	// last epoch.
	inheritedRetention = epochsKept * epochLength
)

type state uint8

const (
	// stateTransferring is the state of a key of another holder while this
	// instance requests it.
	stateTransferring state = iota
	// stateRunning is the state of a key with a claim that has not ended.
	stateRunning
	// stateDone is the state of a key with a recorded outcome.
	stateDone
	// stateMoved is the state of a key that was granted to another instance.
	stateMoved
)

// record is the record of a key at its holder.
type record struct {
	state  state
	fp     uint64
	anyFP  bool // requests with any fingerprint match
	token  Token
	result *Result
	// changed is closed when the record leaves stateTransferring or
	// stateRunning.
	changed chan struct{}
	// discarded means that the record's epoch is discarded. The record is then
	// in no key set, but its claim may still be open.
	discarded bool
}

func newRecord(st state, fp uint64, t Token) *record {
	return &record{state: st, fp: fp, token: t, changed: make(chan struct{})}
}

// mismatch reports whether the key was used for a request with another
// fingerprint.
func (r *record) mismatch(fp uint64, anyFP bool) bool {
	return !anyFP && !r.anyFP && r.fp != fp
}

// settle ends stateTransferring or stateRunning. It releases the channel, because
// most records are kept for minutes afterwards.
func (r *record) settle(st state) {
	r.state = st
	close(r.changed)
	r.changed = nil
}

// source identifies an incarnation of an instance.
type source struct {
	Instance model.InstanceID
	Inc      model.Incarnation
}

// keySet contains the records of the keys of one owner incarnation, by epoch.
type keySet struct {
	epoch   uint64
	began   time.Time
	floor   uint64 // lower epochs are discarded
	records map[uint64]map[ID]*record
	// frozen means that the right to the keys has been handed to another
	// instance.
	frozen bool
	// expires is when an inherited set is discarded. It is zero for other sets.
	expires time.Time
}

func newKeySet(now time.Time, epoch, floor uint64) *keySet {
	return &keySet{epoch: epoch, floor: floor, began: now, records: map[uint64]map[ID]*record{}}
}

// advance starts a new epoch if the current one has ended or is full.
func (s *keySet) advance(now time.Time, max int) {
	if now.Sub(s.began) > epochsKept*epochLength {
		s.startEpoch(now, epochsKept)
	}
	for now.Sub(s.began) >= epochLength {
		s.startEpoch(s.began.Add(epochLength), 1)
	}
	if len(s.records[s.epoch]) >= max/epochsKept {
		s.startEpoch(now, 1)
	}
}

// startEpoch increases the epoch and discards the epochs that are no longer
// accepted.
func (s *keySet) startEpoch(began time.Time, by uint64) {
	s.epoch += by
	s.began = began
	if s.epoch < epochsKept {
		return
	}
	s.discardBelow(s.epoch - epochsKept + 1)
}

func (s *keySet) discardBelow(floor uint64) {
	s.floor = max(s.floor, floor)
	for epoch, records := range s.records {
		if epoch < s.floor {
			markDiscarded(records)
			delete(s.records, epoch)
		}
	}
}

func markDiscarded(records map[ID]*record) {
	for _, r := range records {
		r.discarded = true
	}
}

// accepts reports whether keys of the epoch are accepted: its records are kept,
// and the epoch has begun.
func (s *keySet) accepts(epoch uint64) bool {
	return epoch >= s.floor && epoch <= s.epoch
}

// makeRoom discards the oldest epochs until another record fits. In a set that
// is not inherited it starts new epochs for this purpose.
func (s *keySet) makeRoom(now time.Time, max int) {
	for s.size() >= max {
		if s.epoch < s.floor {
			return
		}
		if s.expires.IsZero() {
			s.startEpoch(now, 1)
			continue
		}
		s.discardBelow(s.floor + 1)
	}
}

func (s *keySet) size() int {
	n := 0
	for _, records := range s.records {
		n += len(records)
	}
	return n
}

func (s *keySet) get(epoch uint64, id ID) *record {
	return s.records[epoch][id]
}

func (s *keySet) put(epoch uint64, id ID, r *record) {
	m := s.records[epoch]
	if m == nil {
		m = map[ID]*record{}
		s.records[epoch] = m
	}
	m[id] = r
}

// holderTable contains the records of the keys whose holder is or was this
// instance: the set of its own keys, the sets it inherited, and the keys that
// other instances granted to it.
type holderTable struct {
	self  source
	max   int
	sets  map[source]*keySet
	cache responseCache
	// granted contains records of keys requested from other holders: those being
	// requested, those granted to this instance, and those whose result was
	// received. Its epochs are counted by this instance and are not those of
	// the keys.
	granted *keySet
}

func newHolderTable(now time.Time, self source, max int) *holderTable {
	return &holderTable{
		self: self, max: max,
		sets:    map[source]*keySet{self: newKeySet(now, 0, 0)},
		cache:   responseCache{max: maxCacheBytes},
		granted: newKeySet(now, 0, 0),
	}
}

func (h *holderTable) ownSet() *keySet { return h.sets[h.self] }

// advance starts new epochs as needed and discards old epochs and expired sets.
func (h *holderTable) advance(now time.Time) {
	h.ownSet().advance(now, h.max)
	h.granted.advance(now, h.max)
	for src, s := range h.sets {
		if src != h.self && now.After(s.expires) {
			s.discardBelow(s.epoch + 1)
			delete(h.sets, src)
		}
	}
}

// setOf returns the set of the key's owner, or nil if this instance is neither
// the owner nor its successor.
func (h *holderTable) setOf(k Key) *keySet {
	return h.sets[source{k.Owner, k.OwnerInc}]
}

// grantedRecord returns the record of a key in h.granted, or nil.
func (h *holderTable) grantedRecord(id ID) *record {
	for _, records := range h.granted.records {
		if r := records[id]; r != nil {
			return r
		}
	}
	return nil
}

func (h *holderTable) removeGranted(id ID) {
	for _, records := range h.granted.records {
		delete(records, id)
	}
}

// finish records the outcome of a running key and reports whether it was the
// first one. Later outcomes are ignored.
func (h *holderTable) finish(r *record, res *Result) bool {
	if r.state != stateRunning {
		return false
	}
	if r.discarded {
		r.result = res.withoutBody()
	} else {
		h.cache.put(&r.result, res)
	}
	r.settle(stateDone)
	return true
}

// transferVerdict is the reply to an instance that requests a key. The values are
// part of the RPC protocol.
type transferVerdict uint8

// The comments are not placed between the constants because staticcheck would
// then treat each as a group of its own and report transferNone as unused.
//
//   - transferNone is the zero value. A holder never replies with it.
//   - transferGranted means that the right to run the key is granted.
//   - transferRunning means that a request is running under the key, or that
//     this instance is itself requesting the key.
//   - transferDone means that an outcome is recorded.
//   - transferMoved means that the right to run the key was granted or handed
//     over to another instance.
//   - transferNotHeld means that this instance has neither a record of the key
//     nor the records of the key's owner.
//   - transferExpired means that the records of the key's epoch are discarded,
//     or that the epoch never began.
//   - transferMismatch means that the key was used for a request with another
//     fingerprint.
const (
	transferNone transferVerdict = iota
	transferGranted
	transferRunning
	transferDone
	transferMoved
	transferNotHeld
	transferExpired
	transferMismatch
)

// transfer handles another instance's request for a key. With closeKey, a key
// without a record is not granted but recorded as not run.
func (h *holderTable) transfer(now time.Time, k Key, id ID, fp uint64, t Token, closeKey bool) (transferVerdict, *record) {
	h.advance(now)
	r, s := h.find(now, k, id)
	switch {
	case r != nil:
		return r.verdictFor(fp, t, closeKey), r
	case s == nil:
		return transferNotHeld, nil
	case !s.accepts(k.Epoch):
		return transferExpired, nil
	case s.frozen:
		return transferMoved, nil
	}
	if closeKey {
		return transferDone, h.close(s, k.Epoch, id)
	}
	r = newRecord(stateRunning, fp, t)
	r.settle(stateMoved)
	s.put(k.Epoch, id, r)
	return transferGranted, nil
}

// find returns the key's record and the set of its owner. Either may be nil. A
// record in the set takes precedence over one in h.granted.
func (h *holderTable) find(now time.Time, k Key, id ID) (*record, *keySet) {
	s := h.setOf(k)
	if s == nil {
		return h.grantedRecord(id), nil
	}
	s.makeRoom(now, h.max)
	if r := s.get(k.Epoch, id); r != nil {
		return r, s
	}
	return h.grantedRecord(id), s
}

// close records a key that has no record as not run.
func (h *holderTable) close(s *keySet, epoch uint64, id ID) *record {
	r := newRecord(stateRunning, 0, Token{})
	r.anyFP = true
	r.result = &Result{Outcome: model.OutcomeNotRun}
	r.settle(stateDone)
	s.put(epoch, id, r)
	return r
}

// verdictFor returns the reply to a transfer request for a key that has a
// record. A grant is repeated only for the claim with the same token, in case
// the first reply was lost.
func (r *record) verdictFor(fp uint64, t Token, anyFP bool) transferVerdict {
	switch {
	case r.mismatch(fp, anyFP):
		return transferMismatch
	case r.state == stateTransferring || r.state == stateRunning:
		return transferRunning
	case r.state == stateDone:
		return transferDone
	case r.token == t:
		return transferGranted
	}
	return transferMoved
}
