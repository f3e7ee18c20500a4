package ledger

import (
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// epochLength is how long an owner hands out keys of one epoch.
	epochLength = 5 * time.Minute
	// epochsKept is how many epochs an owner accepts: the current one and the
	// three before.
	epochsKept = 4
	// maxOwnerRecords bounds the records of one set at about 13 MB. Full
	// epochs end early, at a quarter of it: at 500 keyed requests a second an
	// instance accepts its keys for at least 96 s.
	maxOwnerRecords = 64 << 10
	// inheritedRetention is how long the records of a stopped instance are
	// kept: as long as that instance would have accepted its last epoch.
	inheritedRetention = epochsKept * epochLength
)

type state uint8

const (
	// stateAsking is the state of another owner's key while this instance
	// asks for it.
	stateAsking state = iota
	// stateRunning is the state of a key with an open claim.
	stateRunning
	// stateDone is the state of a key with a recorded outcome.
	stateDone
	// stateMoved is the state of a key that was granted to another instance.
	stateMoved
)

// record is what a holder knows of a key.
type record struct {
	state  state
	fp     uint64
	anyFP  bool
	token  Token
	result *Result
	// changed is closed when an asking or running record leaves that state.
	changed chan struct{}
	// dropped means that the record's epoch has been discarded.
	dropped bool
}

func newRecord(st state, fp uint64, t Token) *record {
	return &record{state: st, fp: fp, token: t, changed: make(chan struct{})}
}

// mismatch reports whether the key was used with another body.
func (r *record) mismatch(fp uint64, anyBody bool) bool {
	return !anyBody && !r.anyFP && r.fp != fp
}

// leave ends the asking or running state. Most records stay for minutes after
// it, so that the channel is given up.
func (r *record) leave(st state) {
	r.state = st
	close(r.changed)
	r.changed = nil
}

// source names an incarnation of an owner.
type source struct {
	Instance model.InstanceID
	Inc      model.Incarnation
}

// set holds the records of the keys of one owner incarnation, by epoch.
type set struct {
	epoch   uint64
	began   time.Time
	floor   uint64 // epochs below it are discarded
	records map[uint64]map[ID]*record
	// frozen means that the right to the set's keys has left this instance.
	frozen bool
	// ends is when an inherited set is discarded.
	ends time.Time
}

func newSet(now time.Time, epoch, floor uint64) *set {
	return &set{epoch: epoch, floor: floor, began: now, records: map[uint64]map[ID]*record{}}
}

// advance begins a new epoch when the current one is over or full.
func (s *set) advance(now time.Time, max int) {
	if now.Sub(s.began) > epochsKept*epochLength {
		s.next(now, epochsKept)
	}
	for now.Sub(s.began) >= epochLength {
		s.next(s.began.Add(epochLength), 1)
	}
	if len(s.records[s.epoch]) >= max/epochsKept {
		s.next(now, 1)
	}
}

func (s *set) next(began time.Time, by uint64) {
	s.epoch += by
	s.began = began
	if s.epoch < epochsKept {
		return
	}
	s.discardBelow(s.epoch - epochsKept + 1)
}

func (s *set) discardBelow(floor uint64) {
	s.floor = max(s.floor, floor)
	for epoch, records := range s.records {
		if epoch < s.floor {
			dropAll(records)
			delete(s.records, epoch)
		}
	}
}

func dropAll(records map[ID]*record) {
	for _, r := range records {
		r.dropped = true
	}
}

// accepts reports whether records of the epoch are kept. An epoch that was
// never handed out is not accepted.
func (s *set) accepts(epoch uint64) bool {
	return epoch >= s.floor && epoch <= s.epoch
}

// makeRoom discards the oldest epochs until another record fits.
func (s *set) makeRoom(now time.Time, max int) {
	for s.size() >= max {
		if s.epoch < s.floor {
			return
		}
		if s.ends.IsZero() {
			s.next(now, 1)
			continue
		}
		s.discardBelow(s.floor + 1)
	}
}

func (s *set) size() int {
	n := 0
	for _, records := range s.records {
		n += len(records)
	}
	return n
}

func (s *set) get(epoch uint64, id ID) *record {
	return s.records[epoch][id]
}

func (s *set) put(epoch uint64, id ID, r *record) {
	m := s.records[epoch]
	if m == nil {
		m = map[ID]*record{}
		s.records[epoch] = m
	}
	m[id] = r
}

// book is the state of a holder of keys: its own set, the sets it inherited,
// and the keys that other instances granted to it.
type book struct {
	self  source
	max   int
	sets  map[source]*set
	cache cache
	// granted has its own epochs, which follow this instance's clock.
	granted *set
}

func newBook(now time.Time, self source, max int) *book {
	return &book{
		self: self, max: max,
		sets:    map[source]*set{self: newSet(now, 0, 0)},
		cache:   cache{max: maxCacheBytes},
		granted: newSet(now, 0, 0),
	}
}

func (b *book) own() *set { return b.sets[b.self] }

// advance discards what is too old.
func (b *book) advance(now time.Time) {
	b.own().advance(now, b.max)
	b.granted.advance(now, b.max)
	for src, s := range b.sets {
		if src != b.self && now.After(s.ends) {
			s.discardBelow(s.epoch + 1)
			delete(b.sets, src)
		}
	}
}

// held returns the set that holds the key's right, or nil if this instance is
// not its holder.
func (b *book) held(k Key) *set {
	return b.sets[source{k.Owner, k.OwnerInc}]
}

// grantedRecord finds a key of another owner.
func (b *book) grantedRecord(id ID) *record {
	for _, records := range b.granted.records {
		if r := records[id]; r != nil {
			return r
		}
	}
	return nil
}

func (b *book) removeGranted(id ID) {
	for _, records := range b.granted.records {
		delete(records, id)
	}
}

// finish records the outcome of a running key. The first outcome stays.
func (b *book) finish(r *record, res *Result) bool {
	if r.state != stateRunning {
		return false
	}
	if r.dropped {
		r.result = res.withoutBody()
	} else {
		b.cache.put(&r.result, res)
	}
	r.leave(stateDone)
	return true
}

// transferVerdict answers an instance that asks for a key.
type transferVerdict uint8

const (
	transferNone transferVerdict = iota
	transferGranted
	transferRunning
	transferDone
	transferMoved
	transferGone
	transferExpired
	transferMismatch
)

// transfer decides on another instance's request for a key. With closeKey a
// key that has not been seen is recorded as not run instead of granted.
func (b *book) transfer(now time.Time, k Key, id ID, fp uint64, t Token, closeKey bool) (transferVerdict, *record) {
	b.advance(now)
	r, s := b.find(now, k, id)
	switch {
	case r != nil:
		return r.answer(fp, t, closeKey), r
	case s == nil:
		return transferGone, nil
	case !s.accepts(k.Epoch):
		return transferExpired, nil
	case s.frozen:
		return transferMoved, nil
	}
	if closeKey {
		return transferDone, b.close(s, k.Epoch, id)
	}
	r = newRecord(stateRunning, fp, t)
	r.leave(stateMoved)
	s.put(k.Epoch, id, r)
	return transferGranted, nil
}

// find returns the key's record and the set that holds its right, either of
// which may be nil. The record of the set comes first, then one of a key that
// another instance granted.
func (b *book) find(now time.Time, k Key, id ID) (*record, *set) {
	s := b.held(k)
	if s == nil {
		return b.grantedRecord(id), nil
	}
	s.makeRoom(now, b.max)
	if r := s.get(k.Epoch, id); r != nil {
		return r, s
	}
	return b.grantedRecord(id), s
}

// close records a key that has not been seen as not run.
func (b *book) close(s *set, epoch uint64, id ID) *record {
	r := newRecord(stateRunning, 0, Token{})
	r.anyFP = true
	r.result = &Result{Outcome: model.OutcomeNotRun}
	r.leave(stateDone)
	s.put(epoch, id, r)
	return r
}

// answer tells another instance the state of an existing record. A grant is
// repeated only to the same claim, whose first reply may have been lost.
func (r *record) answer(fp uint64, t Token, anyBody bool) transferVerdict {
	switch {
	case r.mismatch(fp, anyBody):
		return transferMismatch
	case r.state == stateAsking || r.state == stateRunning:
		return transferRunning
	case r.state == stateDone:
		return transferDone
	case r.token == t:
		return transferGranted
	}
	return transferMoved
}
