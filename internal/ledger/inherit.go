package ledger

import (
	"context"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
)

// WireRecord is one record on its way to the successor.
type WireRecord struct {
	Epoch       uint64
	ID          ID
	Fingerprint uint64
	AnyBody     bool
	// MovedTo is set if the key was granted to another instance.
	MovedTo Token
	// Result is nil for a key whose claim had no outcome yet; the successor
	// reports it as unknown.
	Result *Result
}

// InheritArgs hands records of a stopping instance to its successor. The
// message with Final also hands over the right to run the keys without a
// record. It takes effect only if all Total records have arrived.
type InheritArgs struct {
	From source
	// To is the successor's incarnation. A message that arrives after the
	// successor restarted must not create the right anew.
	To           source
	Epoch, Floor uint64
	Records      []WireRecord
	Total        int
	Final        bool
}

// InheritReply tells whether the successor holds the keys.
type InheritReply struct{ Taken bool }

// staging collects the records of a set until the final message.
type staging struct {
	records map[ID]WireRecord
	began   time.Time
}

const (
	// maxInheritBytes bounds the records of one message.
	maxInheritBytes = 512 << 10
	// wireRecordBytes is the approximate size of a WireRecord besides the
	// response.
	wireRecordBytes = 100
	// maxStagedSets bounds the memory of unfinished handovers.
	maxStagedSets  = 16
	stagingTimeout = time.Minute
	// maxInherited bounds the list of sets that were inherited once. Further
	// ones are refused. At 760 restarts a day over the fleet it is not reached.
	maxInherited    = 4096
	inheritAttempts = 3
	// ErrNotInherited means that the successor did not confirm. The keys of
	// this instance are then answered by their witnesses only.
	ErrNotInherited = errors.ConstError("records not inherited")
)

// HandOver gives the records and the right to run keys to the successor. It is
// called once on a planned stop, after the requests in flight have ended. From
// then on this instance claims no key on its own. The right cannot be handed
// to a second successor, because the first may hold it even if its reply was
// lost.
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

func (l *Ledger) freeze(successor source) ([]*InheritArgs, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.frozen {
		return nil, errors.Trace(ErrNotInherited)
	}
	l.book.advance(time.Now())
	l.frozen, l.successor = true, successor
	var messages []*InheritArgs
	for src, s := range l.book.sets {
		if !s.frozen {
			s.frozen = true
			messages = append(messages, inheritMessages(src, successor, s)...)
		}
	}
	return messages, nil
}

func inheritMessages(src, to source, s *set) []*InheritArgs {
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

// Inherit serves a stopping instance, as its successor.
func (s *Service) Inherit(a *InheritArgs, reply *InheritReply) error {
	l := s.l
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.book.advance(now)
	if l.book.sets[a.From] != nil {
		reply.Taken = true
		return nil
	}
	known := l.inherited[a.From] || len(l.inherited) >= maxInherited
	if l.frozen || known || a.To != l.book.self || a.From == l.book.self {
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
	l.book.sets[a.From] = l.inheritedSet(now, a, st)
	reply.Taken = true
	return nil
}

func (l *Ledger) stage(now time.Time, from source) *staging {
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
	st := &staging{records: map[ID]WireRecord{}, began: now}
	l.staged[from] = st
	return st
}

func (l *Ledger) inheritedSet(now time.Time, a *InheritArgs, st *staging) *set {
	s := newSet(now, a.Epoch, a.Floor)
	s.ends = now.Add(inheritedRetention)
	for id, w := range st.records {
		s.put(w.Epoch, id, l.inheritedRecord(w))
	}
	return s
}

func (l *Ledger) inheritedRecord(w WireRecord) *record {
	r := newRecord(stateRunning, w.Fingerprint, w.MovedTo)
	r.anyFP = w.AnyBody
	if w.MovedTo != (Token{}) {
		r.leave(stateMoved)
		return r
	}
	res := w.Result
	if res == nil {
		res = &Result{Outcome: model.OutcomeUnknown}
	}
	l.book.cache.put(&r.result, res)
	r.leave(stateDone)
	return r
}
