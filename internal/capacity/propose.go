package capacity

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/store"
)

// Change is a write of the root record to be tried.
type Change struct {
	// Expected is the revision that the write replaces.
	Expected store.Revision
	Record   *Record
}

// Propose returns the change of the root record that the instance needs, or
// nil. The caller writes it by compare-and-swap, then calls Read with the
// result's current state. If the result is unknown it calls nothing: slots
// that the write may have given up stay withheld until the record is read
// with another revision. Only one change is in progress at a time.
func (s *State) Propose(now time.Time) *Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.enter(now)
	o := &s.own
	if o.record == nil || o.caps == nil || o.fenced {
		return nil
	}
	s.withhold(t)
	if !s.changeNeeded(t) {
		return nil
	}
	e := edit{s: s, t: t, rec: o.record.clone(), given: make(map[model.Service]int)}
	e.run()
	if !e.changed {
		return nil
	}
	e.rec.Version++
	s.writing(e.given)
	return &Change{Expected: o.revision, Record: e.rec}
}

// writing records that a write is under way whose result is not known.
func (s *State) writing(given map[model.Service]int) {
	o := &s.own
	o.pending, o.pendingAt = true, o.revision
	for svc, n := range given {
		o.unresolved[svc] = max(o.unresolved[svc], n)
	}
}

// changeNeeded reports whether an edit may change the record. It spares the
// copy of the record in quiet times.
func (s *State) changeNeeded(t time.Time) bool {
	o := &s.own
	mine := o.record.Holders[s.cfg.Self]
	if mine != nil && (mine.Incarnation != s.cfg.Incarnation || mine.Missing != 0) {
		return true
	}
	if mine != nil && o.leaving && mine.empty() {
		return true
	}
	for _, p := range s.list {
		if p.key.Region == s.cfg.Region && s.giveable(t, p) > 0 {
			return true
		}
	}
	for svc, n := range o.caps {
		if n > o.totalOf(svc) && !o.leaving {
			return true
		}
	}
	return s.reclaimNeeded(t)
}

func (s *State) reclaimNeeded(t time.Time) bool {
	for id, since := range s.own.missing {
		if s.markDue(t, id, since) || s.reclaimDue(t, id, since) {
			return true
		}
	}
	return false
}

func (s *State) markDue(t time.Time, id model.InstanceID, since time.Time) bool {
	h := s.own.record.Holders[id]
	return h != nil && h.Missing == 0 && t.Sub(since) >= missingBeforeMark+s.rankWait(id)
}

// reclaimDue reports whether the holder's slots may be taken. Its requests
// ended within ReclaimAfter of its last confirmation. A confirmation by the
// record is older than the note in it, one by the list is older than the
// first reading without the holder. Time after the latest reading does not
// count.
func (s *State) reclaimDue(t time.Time, id model.InstanceID, since time.Time) bool {
	m, marked := s.own.marks[id]
	wait := ReclaimAfter + s.rankWait(id)
	if !marked || t.Sub(s.own.listed) > listGap {
		return false
	}
	return t.Sub(m.seen) >= wait && s.own.listed.Sub(since) >= wait
}

func (s *State) rankWait(id model.InstanceID) time.Duration {
	return time.Duration(min(s.rank(string(id)), 5)) * rankDelay
}

// giveable returns how many slots the instance can give up now. Requests of
// the predecessor may still use those that it owned.
func (s *State) giveable(t time.Time, p *pool) int {
	if t.Before(s.own.notBefore) {
		return 0
	}
	return max(min(p.withheld, p.owned-p.used-p.lent), 0)
}

// edit is one change of a copy of the record.
type edit struct {
	s       *State
	t       time.Time
	rec     *Record
	given   map[model.Service]int
	changed bool
}

func (e *edit) run() {
	e.takeOver()
	e.giveUp()
	e.reclaim()
	e.claim()
	mine := e.rec.Holders[e.s.cfg.Self]
	if mine != nil && mine.empty() {
		delete(e.rec.Holders, e.s.cfg.Self)
		e.changed = true
	}
}

// takeOver makes the own entry that of this process.
func (e *edit) takeOver() {
	mine := e.rec.Holders[e.s.cfg.Self]
	if mine == nil || mine.Incarnation == e.s.cfg.Incarnation && mine.Missing == 0 {
		return
	}
	mine.Incarnation = e.s.cfg.Incarnation
	mine.Missing = 0
	e.changed = true
}

func (e *edit) giveUp() {
	for _, p := range e.s.list {
		k := p.key
		if k.Region != e.s.cfg.Region {
			continue
		}
		n := e.s.giveable(e.t, p)
		if n == 0 {
			continue
		}
		i := e.rec.index(k.Service)
		e.rec.Caps[i] = e.s.own.caps[k.Service]
		mine := e.rec.Holders[e.s.cfg.Self]
		mine.set(i, mine.at(i)-n)
		e.given[k.Service] = n
		e.changed = true
	}
}

func (e *edit) reclaim() {
	for id, since := range e.s.own.missing {
		if e.s.reclaimDue(e.t, id, since) {
			delete(e.rec.Holders, id)
			e.changed = true
		} else if e.s.markDue(e.t, id, since) {
			e.rec.Holders[id].Missing = e.rec.Version + 1
			e.changed = true
		}
	}
}

// claim takes unowned slots up to the fair part.
func (e *edit) claim() {
	o := &e.s.own
	if o.leaving || e.t.Before(o.claimAfter) || o.listed.IsZero() && e.t.Sub(e.s.started) < listGap {
		return
	}
	totals := e.rec.totals()
	services := e.rec.Services
	for i, svc := range services {
		e.claimService(svc, o.caps[svc]-totals[i])
	}
	for svc, n := range o.caps {
		if o.record.index(svc) < 0 {
			e.claimService(svc, n)
		}
	}
}

func (e *edit) claimService(svc model.Service, unowned int) {
	o := &e.s.own
	if unowned <= 0 || e.given[svc] > 0 || o.unresolved[svc] > 0 || e.raisedLately(svc) {
		return
	}
	self := e.s.cfg.Self
	i := e.rec.position(svc)
	mine := e.rec.Holders[self].at(i)
	n := e.s.fair(svc) - mine
	if o.longUnsettled(e.t, svc) && !o.balancing(e.t) {
		n = max(n, ceilDiv(unowned, len(o.members)))
	}
	n = min(n, unowned)
	if n <= 0 {
		return
	}
	if e.rec.Holders[self] == nil {
		e.rec.Holders[self] = &Holder{Incarnation: e.s.cfg.Incarnation}
	}
	e.rec.Holders[self].set(i, mine+n)
	e.rec.Caps[i] = o.caps[svc]
	e.changed = true
}

// raisedLately reports whether others may not know the capacity yet. An
// instance that just started compares it with that of the last claim.
func (e *edit) raisedLately(svc model.Service) bool {
	o := &e.s.own
	if raised, ok := o.raised[svc]; ok && e.t.Sub(raised) < RaiseDelay {
		return true
	}
	if len(o.record.Holders) == 0 || e.t.Sub(o.firstRules) >= RaiseDelay {
		return false
	}
	i := o.record.index(svc)
	return i < 0 || o.record.Caps[i] < o.caps[svc]
}

// fair returns the instance's part of a service's slots. The parts of all
// members sum to the capacity; who gets the remainder differs by service.
func (s *State) fair(svc model.Service) int {
	n := len(s.own.members)
	if n == 0 {
		return s.own.caps[svc]
	}
	c := s.own.caps[svc]
	part := c / n
	if rest := c % n; rest > 0 && s.rank(string(svc)) < rest {
		part++
	}
	return part
}

// rank returns the position of the instance among the members in the order of
// a hash of the topic and the member (rendezvous hashing).
func (s *State) rank(topic string) int {
	own := rankHash(topic, s.cfg.Self)
	rank := 0
	for _, id := range s.own.members {
		h := rankHash(topic, id)
		if h < own || h == own && id < s.cfg.Self {
			rank++
		}
	}
	return rank
}

func rankHash(topic string, id model.InstanceID) uint64 {
	var buf [128]byte
	b := append(buf[:0], topic...)
	b = append(b, 0)
	b = append(b, id...)
	return xxhash.Sum64(b)
}

// LinkShare returns the instance's part, from 0 to 1, of the budgets of the
// links that leave its region. The parts of all instances sum to at most 1:
// the divisor is at least the sum of all owned slots.
func (s *State) LinkShare(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enter(now)
	if s.own.mine == 0 {
		return 0
	}
	return float64(s.own.mine) / float64(s.own.divisor)
}
