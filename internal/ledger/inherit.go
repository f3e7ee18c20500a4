package ledger

import (
	"context"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
)

// WireRecord is the encoded form of a record sent to the successor.
type WireRecord struct {
	Epoch       uint64
	ID          ID
	Fingerprint uint64
	// AnyBody means that requests with any fingerprint match.
	AnyBody bool
	// MovedTo is the token of the claim that the key was granted to, if any.
	MovedTo Token
	// Result is nil if the key's claim had no outcome yet. The successor then
	// reports the outcome as unknown.
	Result *Result
}

// InheritArgs transfers records of a stopping instance to its successor. The
// message with Final set also transfers the right to run the keys that have no
// record. It takes effect only if all Total records have arrived.
type InheritArgs struct {
	From source
	// To is the successor's incarnation. A message that arrives after the
	// successor has restarted must not recreate the right.
	To source
	// Epoch is the latest epoch of the key set. Epochs below Floor have been
	// discarded.
	Epoch, Floor uint64
	Records      []WireRecord
	Total        int
	Final        bool
}

// InheritReply reports whether the successor has taken over the keys.
type InheritReply struct{ Taken bool }

// stagedSet contains the records of a set received before the final message.
type stagedSet struct {
	records map[ID]WireRecord
	began   time.Time
}

const (
	// maxInheritBytes limits the records of one message. A message may exceed it
	// by one record.
	maxInheritBytes = 512 << 10
	// wireRecordBytes is the approximate size of a WireRecord without the
	// response.
	wireRecordBytes = 100
	// maxStagedSets limits the memory of incomplete handovers.
	maxStagedSets  = 16
	stagingTimeout = time.Minute
	// maxInheritedSets limits the number of sets that one incarnation inherits.
	// Further sets are refused. At 760 restarts per day in the whole fleet the
	// limit is not reached.
	maxInheritedSets = 4096
	inheritAttempts  = 3
	// ErrNotInherited means that the successor has not confirmed the handover.
	// Outcomes of this instance's keys are then available only from their
	// witnesses.
	ErrNotInherited = errors.ConstError("records not inherited")
)

// HandOver transfers the records and the right to run keys to the successor. It
// is called once during a graceful shutdown, after the requests in flight have
// ended. Afterwards this instance has to request even its own keys from the
// successor. The right cannot be transferred to a second successor, because the
// first one may hold it even if its reply was lost.
func (l *Ledger) HandOver(ctx context.Context, successor model.InstanceID, inc model.Incarnation) error {
	messages, err := l.freeze(source{successor, inc})
	if err != nil {
		return err
	}
	for _, m := range messages {
		if err := l.sendInherit(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

func (l *Ledger) sendInherit(ctx context.Context, m *InheritArgs) error {
	for range inheritAttempts {
		reply := &InheritReply{}
		err := l.call(ctx, m.To.Instance, "Ledger.Inherit", m, reply)
		if err == nil && (reply.Taken || !m.Final) {
			return nil
		}
	}
	return errors.Trace(ErrNotInherited)
}

// freeze ends this instance's right to its own and inherited keys and returns
// the messages for the successor.
func (l *Ledger) freeze(successor source) ([]*InheritArgs, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.frozen {
		return nil, errors.Trace(ErrNotInherited)
	}
	l.held.advance(time.Now())
	l.frozen, l.successor = true, successor
	var messages []*InheritArgs
	for src, s := range l.held.sets {
		if !s.frozen {
			s.frozen = true
			messages = append(messages, inheritMessages(src, successor, s)...)
		}
	}
	return messages, nil
}

func inheritMessages(src, to source, s *keySet) []*InheritArgs {
	next := func() *InheritArgs { return &InheritArgs{From: src, To: to, Epoch: s.epoch, Floor: s.floor} }
	m, size, total := next(), 0, 0
	var messages []*InheritArgs
	for epoch, records := range s.records {
		for id, r := range records {
			w := wireRecord(epoch, id, r)
			if size > maxInheritBytes {
				messages = append(messages, m)
				m, size = next(), 0
			}
			m.Records = append(m.Records, w)
			total++
			size += wireRecordBytes
			if w.Result != nil {
				size += w.Result.size()
			}
		}
	}
	m.Final, m.Total = true, total
	return append(messages, m)
}

func wireRecord(epoch uint64, id ID, r *record) WireRecord {
	w := WireRecord{Epoch: epoch, ID: id, Fingerprint: r.fp, AnyBody: r.anyFP}
	switch r.state {
	case stateDone:
		w.Result = r.result
	case stateMoved:
		w.MovedTo = r.token
	}
	return w
}

// Inherit takes over records and keys. It is called at the successor by a
// stopping instance.
func (s *Service) Inherit(a *InheritArgs, reply *InheritReply) error {
	l := s.l
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.held.advance(now)
	if l.held.sets[a.From] != nil {
		reply.Taken = true
		return nil
	}
	refused := l.inherited[a.From] || len(l.inherited) >= maxInheritedSets
	if l.frozen || refused || a.To != l.held.self || a.From == l.held.self {
		return errors.Trace(ErrNotInherited)
	}
	st := l.stage(now, a.From)
	if st == nil {
		return errors.Trace(ErrNotInherited)
	}
	for _, w := range a.Records {
		st.records[w.ID] = w
	}
	if !a.Final || len(st.records) != a.Total {
		return nil
	}
	delete(l.staged, a.From)
	l.inherited[a.From] = true
	l.held.sets[a.From] = l.inheritedSet(now, a, st)
	reply.Taken = true
	return nil
}

// stage returns the staged set of the source, or nil if there are too many.
func (l *Ledger) stage(now time.Time, from source) *stagedSet {
	for src, st := range l.staged {
		if now.Sub(st.began) > stagingTimeout {
			delete(l.staged, src)
		}
	}
	if st := l.staged[from]; st != nil {
		return st
	}
	if len(l.staged) >= maxStagedSets {
		return nil
	}
	st := &stagedSet{records: map[ID]WireRecord{}, began: now}
	l.staged[from] = st
	return st
}

func (l *Ledger) inheritedSet(now time.Time, a *InheritArgs, st *stagedSet) *keySet {
	s := newKeySet(now, a.Epoch, a.Floor)
	s.expires = now.Add(inheritedRetention)
	for id, w := range st.records {
		s.put(w.Epoch, id, l.inheritedRecord(w))
	}
	return s
}

func (l *Ledger) inheritedRecord(w WireRecord) *record {
	r := newRecord(stateRunning, w.Fingerprint, w.MovedTo)
	r.anyFP = w.AnyBody
	if w.MovedTo != (Token{}) {
		r.settle(stateMoved)
		return r
	}
	res := w.Result
	if res == nil {
		res = &Result{Outcome: model.OutcomeUnknown}
	}
	l.held.cache.put(&r.result, res)
	r.settle(stateDone)
	return r
}
