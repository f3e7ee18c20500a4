package configsync

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/rules"
)

// forkGrace is how long an instance keeps its document against a newer one
// that does not descend from it. Relays resolve a fork within a few round
// trips to the store. After the grace, no relay has this instance's document.
const forkGrace = 10 * time.Second

// ApplyResult is what State did with a document.
type ApplyResult int

const (
	// Unchanged means that the document is not newer than the one in force.
	Unchanged ApplyResult = iota
	// Applied means that the document is now in force.
	Applied
	// Rejected means that the document does not descend from the one in force.
	Rejected
)

// State is the document in force at one instance. Its methods may be called
// concurrently.
type State struct {
	now func() time.Time
	// set is read for every request, so that it needs no lock.
	set atomic.Pointer[rules.Set]

	mu      sync.Mutex
	inForce Document
	// steps lead to the document in force, the oldest first.
	steps []step
	// heard means that a neighbour has sent a digest or news.
	heard bool
	// informed is described at Informed.
	informed bool
	// wantText means that a delta failed, so that the whole text is needed.
	wantText bool
	fork     fork
	nextSub  int
	subs     map[int]chan *rules.Set
}

// fork is another branch that an instance has heard of.
type fork struct {
	revision uint64
	hash     Hash
	since    time.Time
}

// NewState returns a State without a document.
func NewState(now func() time.Time) *State {
	return &State{now: now, subs: map[int]chan *rules.Set{}}
}

// Ready reports whether a document is in force.
func (s *State) Ready() bool { return s.Head().Revision > 0 }

// Head describes the document in force. Its revision is 0 without one.
func (s *State) Head() Head { return s.Document().Head }

// Document returns the document in force.
func (s *State) Document() Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inForce
}

// Rules returns the rules in force, or nil.
func (s *State) Rules() *rules.Set { return s.set.Load() }

// Synced reports whether a relay has compared its document with the store.
// Before that it may have an old document from a neighbour, and it does not
// count as one of the relays that editors ask.
func (s *State) Synced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.informed
}

func (s *State) setInformed(v bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.informed = v
}

// Contacted reports whether any neighbour has been in contact.
func (s *State) Contacted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard
}

// Subscribe returns a channel with the latest rules. It holds one value; a
// newer one replaces it. The function ends the subscription.
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

// Apply puts a document in force if it is newer than the present one and
// descends from it. An invalid document is an error.
func (s *State) Apply(d Document) (ApplyResult, error) {
	var set *rules.Set
	for {
		from, v := s.judge(d)
		if v != Applied {
			return v, nil
		}
		// Parsing and comparing large texts takes milliseconds, during which
		// the lock stays free.
		if set == nil {
			var err error
			if set, err = d.valid(); err != nil {
				return Unchanged, errors.Trace(err)
			}
		}
		if s.swap(from, d, set, newStep(from, d)) {
			return Applied, nil
		}
	}
}

// judge returns the document in force and what to do with another one.
func (s *State) judge(d Document) (Document, ApplyResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch d.relate(s.inForce.Head) {
	case same, older:
		return s.inForce, Unchanged
	case forked:
		s.noteFork(d.Revision, d.Hash)
		if d.Revision == s.inForce.Revision || !s.graceOver() {
			return s.inForce, Rejected
		}
	}
	return s.inForce, Applied
}

// swap puts d in force unless another document than from is in force by now.
func (s *State) swap(from, d Document, set *rules.Set, next *step) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inForce.Hash != from.Hash {
		return false
	}
	s.steps = appendStep(s.steps, next, len(d.Text))
	s.inForce = d
	s.set.Store(set)
	s.wantText = false
	s.fork = fork{}
	for _, ch := range s.subs {
		replace(ch, set)
	}
	return true
}

// replace puts v into a channel of capacity 1 in place of an older value. All
// senders hold the State's lock.
func replace[T any](ch chan T, v T) {
	select {
	case <-ch:
	default:
	}
	ch <- v
}

// noteFork remembers the latest state of another branch and since when there
// has been one.
func (s *State) noteFork(revision uint64, h Hash) {
	since := s.fork.since
	if s.fork.revision == 0 {
		since = s.now()
	}
	s.fork = fork{revision: revision, hash: h, since: since}
}

func (s *State) graceOver() bool {
	return s.fork.revision > 0 && s.now().Sub(s.fork.since) >= forkGrace
}

// staleFork returns the head of another branch of the same revision that has
// been reported for longer than the grace. Relays then overrule it.
func (s *State) staleFork() (Head, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.graceOver() || s.fork.revision != s.inForce.Revision {
		return Head{}, false
	}
	return Head{Revision: s.fork.revision, EditID: unknownEditID, Hash: s.fork.hash}, true
}

// unknownEditID stands for the edit of a branch of which only the digest is
// known.
const unknownEditID = "unknown"
