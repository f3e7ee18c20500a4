package configsync

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/rules"
)

// forkGrace is how long an instance keeps its document against a newer one
// that does not descend from it. Relays resolve a fork within a few round
// trips to the store. After the grace, no relay has this instance's document.
const forkGrace = 10 * time.Second

// Verdict is what State did with a document.
type Verdict int

const (
	// Kept means that the document is not newer than the one in force.
	Kept Verdict = iota
	// Taken means that the document is now in force.
	Taken
	// Refused means that the document does not descend from the one in force.
	Refused
)

// State is the document in force at one instance. Its methods may be called
// concurrently.
type State struct {
	now func() time.Time

	mu      sync.Mutex
	inForce Document
	set     *rules.Set
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
func (s *State) Rules() *rules.Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set
}

// Informed reports whether a relay has compared its document with the store.
// Before that it may have an old document from a neighbour, and it does not
// count as one of the relays that editors ask.
func (s *State) Informed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.informed
}

func (s *State) setInformed(v bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.informed = v
}

// Heard reports whether any neighbour has been in contact.
func (s *State) Heard() bool {
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
	if s.set != nil {
		ch <- s.set
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

// Take puts a document in force if it is newer than the present one and
// descends from it. An invalid document is an error.
func (s *State) Take(d Document) (Verdict, error) {
	s.mu.Lock()
	head := s.inForce.Head
	s.mu.Unlock()
	// Most documents arrive several times; only new ones are parsed, without
	// the lock.
	if r := d.relate(head); r == same || r == older {
		return Kept, nil
	}
	set, err := d.valid()
	if err != nil {
		return Kept, errors.Trace(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.take(d, set), nil
}

func (s *State) take(d Document, set *rules.Set) Verdict {
	switch d.relate(s.inForce.Head) {
	case same, older:
		return Kept
	case forked:
		s.noteFork(d.Revision, d.Hash)
		if d.Revision == s.inForce.Revision || !s.graceOver() {
			return Refused
		}
	}
	s.steps = appendStep(s.steps, s.inForce, d)
	s.inForce = d
	s.set = set
	s.wantText = false
	s.fork = fork{}
	for _, ch := range s.subs {
		replace(ch, set)
	}
	return Taken
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
