package capacity

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/store"
)

// Change is a write of the capacity record that the caller should attempt.
type Change struct {
	// Expected is the revision that the write replaces.
	Expected store.Revision
	Record   *Record
}

// Propose returns the change of the capacity record that the instance needs,
// or nil. The caller writes it by compare-and-swap, then calls ApplyRecord
// with the current state from the result. If the result is unknown, it calls
// nothing: slots that the write may have relinquished stay withheld until the
// record is read with another revision. Only one change may be in progress at
// a time.
func (s *State) Propose(now time.Time) *Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.update(now)
	o := &s.own
	if o.record == nil || o.caps == nil || o.fenced {
		return nil
	}
	s.withhold(t)
	if !s.changeNeeded(t) {
		return nil
	}
	u := recordUpdate{s: s, t: t, rec: o.record.clone(), relinquished: make(map[model.Service]int)}
	if o.restore.since.IsZero() {
		u.run()
	} else {
		u.recover()
	}
	if !u.changed {
		return nil
	}
	u.rec.Version++
	s.beginWrite(u.relinquished)
	return &Change{Expected: o.revision, Record: u.rec}
}

// beginWrite records that a write is in progress whose result is unknown.
func (s *State) beginWrite(relinquished map[model.Service]int) {
	o := &s.own
	o.pending, o.pendingAt = true, o.revision
	for svc, n := range relinquished {
		o.unresolved[svc] = max(o.unresolved[svc], n)
	}
}

// changeNeeded reports whether the record may need a change. It avoids a copy
// of the record when nothing is to be done.
func (s *State) changeNeeded(t time.Time) bool {
	o := &s.own
	if !o.restore.since.IsZero() {
		return s.departDue() || s.confirmDue() || s.settleDue(t)
	}
	mine := o.record.Holders[s.cfg.Self]
	if mine != nil && (mine.Incarnation != s.cfg.Incarnation || mine.Missing != 0) {
		return true
	}
	if mine != nil && o.leaving && mine.empty() {
		return true
	}
	for _, p := range s.list {
		if p.key.Region == s.cfg.Region && s.relinquishable(t, p) > 0 {
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
	return h != nil && h.Missing == 0 && t.Sub(since) >= markAfter+s.rankWait(id)
}

// reclaimDue reports whether the slots of a missing holder may be taken. The
// holder's requests end within ReclaimAfter of its last confirmation. The
// record does not confirm it once it is marked there, and listings do not once
// they no longer contain it, so both the mark and the absence have to be older
// than ReclaimAfter. The absence counts only up to the latest listing.
func (s *State) reclaimDue(t time.Time, id model.InstanceID, since time.Time) bool {
	m, marked := s.own.marks[id]
	wait := ReclaimAfter + s.rankWait(id)
	if !marked || t.Sub(s.own.lastListing) > maxListingGap {
		return false
	}
	return t.Sub(m.seen) >= wait && s.own.lastListing.Sub(since) >= wait
}

func (s *State) rankWait(id model.InstanceID) time.Duration {
	return time.Duration(min(s.rank(string(id)), 5)) * rankDelay
}

// relinquishable returns how many slots the instance can relinquish now. It is
// 0 while requests of the previous process may still use slots.
func (s *State) relinquishable(t time.Time, p *pool) int {
	if t.Before(s.own.notBefore) {
		return 0
	}
	return max(min(p.withheld, p.owned-p.used-p.lent), 0)
}

// recordUpdate builds a change in rec, a copy of the capacity record.
type recordUpdate struct {
	s   *State
	t   time.Time
	rec *Record
	// relinquished counts the slots that the change relinquishes.
	relinquished map[model.Service]int
	changed      bool
}

func (u *recordUpdate) run() {
	u.rec.Settled = u.s.own.restore.era
	u.takeOver()
	u.relinquish()
	u.reclaim()
	u.claim()
	mine := u.rec.Holders[u.s.cfg.Self]
	if mine != nil && mine.empty() {
		delete(u.rec.Holders, u.s.cfg.Self)
		u.changed = true
	}
}

// takeOver makes the instance's entry that of this process and removes a mark
// from it.
func (u *recordUpdate) takeOver() {
	mine := u.rec.Holders[u.s.cfg.Self]
	if mine == nil || mine.Incarnation == u.s.cfg.Incarnation && mine.Missing == 0 {
		return
	}
	mine.Incarnation = u.s.cfg.Incarnation
	mine.Missing = 0
	u.changed = true
}

func (u *recordUpdate) relinquish() {
	for _, p := range u.s.list {
		k := p.key
		if k.Region != u.s.cfg.Region {
			continue
		}
		n := u.s.relinquishable(u.t, p)
		if n == 0 {
			continue
		}
		i := u.rec.index(k.Service)
		u.rec.Caps[i] = u.s.own.caps[k.Service]
		mine := u.rec.Holders[u.s.cfg.Self]
		mine.set(i, mine.at(i)-n)
		u.relinquished[k.Service] = n
		u.changed = true
	}
}

func (u *recordUpdate) reclaim() {
	for id, since := range u.s.own.missing {
		if u.s.reclaimDue(u.t, id, since) {
			delete(u.rec.Holders, id)
			u.changed = true
		} else if u.s.markDue(u.t, id, since) {
			u.rec.Holders[id].Missing = u.rec.Version + 1
			u.changed = true
		}
	}
}

// claim claims slots without an owner, usually up to the fair share.
func (u *recordUpdate) claim() {
	o := &u.s.own
	if o.leaving || u.t.Before(o.claimAfter) || o.lastListing.IsZero() && u.t.Sub(u.s.started) < maxListingGap {
		return
	}
	totals := u.rec.totals()
	services := u.rec.Services
	for i, svc := range services {
		u.claimService(svc, o.caps[svc]-totals[i])
	}
	for svc, n := range o.caps {
		if o.record.index(svc) < 0 {
			u.claimService(svc, n)
		}
	}
}

func (u *recordUpdate) claimService(svc model.Service, unowned int) {
	o := &u.s.own
	if unowned <= 0 || u.relinquished[svc] > 0 || o.unresolved[svc] > 0 || u.recentlyRaised(svc) {
		return
	}
	self := u.s.cfg.Self
	i := u.rec.ensureIndex(svc)
	mine := u.rec.Holders[self].at(i)
	n := u.s.fairShare(svc) - mine
	if o.longUnsettled(u.t, svc) && !o.rebalancing(u.t) {
		n = max(n, ceilDiv(unowned, len(o.members)))
	}
	n = min(n, unowned)
	if n <= 0 {
		return
	}
	if u.rec.Holders[self] == nil {
		u.rec.Holders[self] = &Holder{Incarnation: u.s.cfg.Incarnation}
	}
	u.rec.Holders[self].set(i, mine+n)
	u.rec.Caps[i] = o.caps[svc]
	u.changed = true
}

// recentlyRaised reports whether the capacity was raised so recently that
// other instances may not know it yet. An instance that has just started
// doesn't know the earlier capacity and compares with that of the last change.
func (u *recordUpdate) recentlyRaised(svc model.Service) bool {
	o := &u.s.own
	if raised, ok := o.raised[svc]; ok && u.t.Sub(raised) < RaiseDelay {
		return true
	}
	if len(o.record.Holders) == 0 || u.t.Sub(o.firstRulesAt) >= RaiseDelay {
		return false
	}
	i := o.record.index(svc)
	return i < 0 || o.record.Caps[i] < o.caps[svc]
}

// fairShare returns the instance's equal share of a service's slots. The
// shares of all members sum to the capacity; which members get one slot more
// when it does not divide evenly differs by service.
func (s *State) fairShare(svc model.Service) int {
	n := len(s.own.members)
	if n == 0 {
		return s.own.caps[svc]
	}
	c := s.own.caps[svc]
	share := c / n
	if rest := c % n; rest > 0 && s.rank(string(svc)) < rest {
		share++
	}
	return share
}

// rank returns the position of the instance among the members, ordered by a
// hash of the topic and the member's ID (rendezvous hashing).
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

// LinkShare returns the instance's share, from 0 to 1, of the budgets of the
// links that leave its region. The shares of all instances sum to at most 1,
// because the divisor is at least the sum of all owned slots.
func (s *State) LinkShare(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(now)
	if s.own.kept == 0 {
		return 0
	}
	return float64(s.own.kept) / float64(s.own.linkDivisor)
}
