package configsync

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/rules"
)

// forkGracePeriod is how long an instance keeps its document when a newer one
// does not descend from it. Relays resolve a fork within a few round trips to
// the store, so that after the grace period no relay has this instance's
// document.
const forkGracePeriod = 10 * time.Second

// ApplyResult is the result of State.Apply.
type ApplyResult int

const (
	// Unchanged means that the document is not newer than the one in force.
	Unchanged ApplyResult = iota
	// Applied means that the document is now in force.
	Applied
	// Rejected means that the document does not descend from the one in force,
	// which stays.
	Rejected
)

// State is the document in force at one instance. Its methods may be called
// concurrently.
type State struct {
	now func() time.Time
	// set is an atomic pointer because it is read for every request.
	set atomic.Pointer[rules.Set]

	mu      sync.Mutex
	inForce Document
	// deltas holds the latest changes up to the document in force, the oldest
	// first.
	deltas []documentDelta
	// contacted means that a neighbour has sent a digest or news.
	contacted bool
	// synced is returned by Synced.
	synced bool
	// needFullText means that a delta could not be applied, so that the next
	// digest has to request the full text.
	needFullText bool
	fork         fork
	nextSub      int
	subs         map[int]chan *rules.Set
}

// fork describes the latest document known of another branch. since is when this
// instance first detected that there is another branch.
type fork struct {
	revision uint64
	hash     Hash
	since    time.Time
}

// NewState returns a State without a document in force.
func NewState(now func() time.Time) *State {
	return &State{now: now, subs: map[int]chan *rules.Set{}}
}

// Ready reports whether a document is in force.
func (s *State) Ready() bool { return s.Head().Revision > 0 }

// Head returns the metadata of the document in force. Its revision is 0 if
// there is none.
func (s *State) Head() Head { return s.Document().Head }

// Document returns the document in force, or a zero Document.
func (s *State) Document() Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inForce
}

// Rules returns the rules in force, or nil.
func (s *State) Rules() *rules.Set { return s.set.Load() }

// Synced reports whether this relay has compared its document with the store.
// Before that, the document may be an old one from a neighbour, and the relay
// does not respond to the queries of editors and other relays.
func (s *State) Synced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.synced
}

func (s *State) setSynced(v bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.synced = v
}

// Contacted reports whether any neighbour has sent a digest or news.
func (s *State) Contacted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contacted
}

// Subscribe returns a channel that receives the rules whenever they change,
// starting with those in force. It buffers one value, which newer rules
// replace. The returned function ends the subscription.
func (s *State) Subscribe() (<-chan *rules.Set, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ch := make(chan *rules.Set, 1)
	if set := s.set.Load(); set != nil {
		ch <- set
	}
	id := s.nextSub
	s.nextSub++
	s.subs[id] = ch
	return ch, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subs, id)
	}
}

// Apply puts a document in force if it is newer than the current one and
// descends from it. After forkGracePeriod it also accepts a newer document that
// does not descend from the current one. An invalid document is an error.
func (s *State) Apply(d Document) (ApplyResult, error) { return s.apply(d, false) }

// adopt puts a document in force that the store has just had. It does not wait for
// forkGracePeriod if the position shows that the document is newer.
func (s *State) adopt(d Document) (ApplyResult, error) { return s.apply(d, true) }

func (s *State) apply(d Document, fromStore bool) (ApplyResult, error) {
	var set *rules.Set
	for {
		from, v := s.evaluate(d, fromStore)
		if v != Applied {
			return v, nil
		}
		if from.Hash == d.Hash {
			if s.setPosition(d.Head) {
				return Applied, nil
			}
			continue
		}
		// Parsing and comparing large texts takes milliseconds and is done
		// without the lock.
		if set == nil {
			var err error
			if set, err = d.parseRules(); err != nil {
				return Unchanged, errors.Trace(err)
			}
		}
		if s.compareAndSwap(from, d, set, newDocumentDelta(from, d)) {
			return Applied, nil
		}
	}
}

// evaluate returns the document in force and the result that applying d would
// have. It records a fork.
func (s *State) evaluate(d Document, fromStore bool) (Document, ApplyResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := d.relate(s.inForce.Head)
	switch {
	case r == same || r == older:
		return s.inForce, Unchanged
	case r == newer && (fromStore || d.precededBy(s.inForce.Head)):
		return s.inForce, Applied
	}
	// A newer document of another branch may have been overruled since a neighbour
	// has sent it.
	s.recordFork(d.Revision, d.Hash)
	if r == forked && d.Revision == s.inForce.Revision || !s.graceExpired() {
		return s.inForce, Rejected
	}
	return s.inForce, Applied
}

// compareAndSwap puts d in force if from is still the document in force.
func (s *State) compareAndSwap(from, d Document, set *rules.Set, next *documentDelta) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inForce.Hash != from.Hash || s.inForce.Position != from.Position {
		return false
	}
	s.deltas = appendDelta(s.deltas, next, len(d.Text))
	s.inForce = d
	s.set.Store(set)
	s.needFullText = false
	s.fork = fork{}
	for _, ch := range s.subs {
		replace(ch, set)
	}
	return true
}

// setPosition sets the position of the document in force to that of h, if h has
// the same content and a later position.
func (s *State) setPosition(h Head) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inForce.Hash != h.Hash || h.Position.compare(s.inForce.Position) <= 0 {
		return false
	}
	s.inForce.Position = h.Position
	s.needFullText = false
	return true
}

// replace sends v to a channel of capacity 1 and discards an older value in it.
// It does not block, since all senders hold the State's lock.
func replace[T any](ch chan T, v T) {
	select {
	case <-ch:
	default:
	}
	ch <- v
}

// recordFork stores the latest document of another branch and keeps the time at
// which a fork was first detected. The caller must hold s.mu.
func (s *State) recordFork(revision uint64, h Hash) {
	since := s.fork.since
	if s.fork.revision == 0 {
		since = s.now()
	}
	s.fork = fork{revision: revision, hash: h, since: since}
}

// graceExpired reports whether a fork has lasted for forkGracePeriod. The caller
// must hold s.mu.
func (s *State) graceExpired() bool {
	return s.fork.revision > 0 && s.now().Sub(s.fork.since) >= forkGracePeriod
}

// unresolvedFork returns the head of another branch that has the same revision
// as the document in force, if the grace period of the fork is over. A relay
// then overrules that branch.
func (s *State) unresolvedFork() (Head, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.graceExpired() || s.fork.revision != s.inForce.Revision {
		return Head{}, false
	}
	return Head{Revision: s.fork.revision, EditID: unknownEditID, Hash: s.fork.hash}, true
}

// unknownEditID is the edit ID of a branch of which only a digest with revision
// and hash was received.
const unknownEditID = "unknown"
