package capacity

import (
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// restoreState tracks a restore of the store. The restored record may give slots to
// an instance that has relinquished them since, while the instance that claimed them
// still uses them. Until the record is settled in the era of the store, an instance
// uses at most the slots that it owns both by the restored record and by the one that
// it knew before, and no slots change their owner. The record is settled after all
// instances that may use slots have confirmed that they know of the restore.
type restoreState struct {
	// era is that of the store in the last read, known is whether a settled record
	// of any era has been read.
	era   model.Era
	known bool
	// since is when this instance first read the record that is not settled, or
	// zero if the record is settled.
	since time.Time
	// listed are the instances in the latest listing.
	listed map[model.InstanceID]bool
}

// unsettled reports whether the record may be from before a restore. A process that
// has read no settled record trusts one without eras, which an earlier version or
// nobody has written.
func (r *restoreState) unsettled(rec *Record) bool {
	return r.era > 0 && rec.Settled != r.era && (r.known || rec.hasEra())
}

// hasEra reports whether the record was written in a store that reports eras.
func (r *Record) hasEra() bool {
	for _, h := range r.Holders {
		if h.Era > 0 {
			return true
		}
	}
	return r.Settled > 0
}

// trackRestore is called with each record that is read in the era.
func (s *State) trackRestore(t time.Time, rec *Record, era model.Era) {
	r := &s.own.restore
	if era != r.era {
		// Versions are assigned again, so that a mark may have the version of an
		// earlier one.
		clear(s.own.marks)
		r.since = time.Time{}
	}
	r.era = era
	if !r.unsettled(rec) {
		r.known, r.since = r.known || rec.hasEra(), time.Time{}
		return
	}
	if r.since.IsZero() {
		r.since = t
	}
	// A write that relinquished slots may have taken effect before the restore, and
	// its result is not known from this record.
	for _, p := range s.list {
		if p.key.Region == s.cfg.Region {
			p.owned = max(p.owned-s.own.unresolved[p.key.Service], 0)
		}
	}
}

// recovering reports whether the record is not settled.
func (s *State) recovering() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.own.restore.since.IsZero()
}

// confirmDue reports whether the instance can confirm that it knows of the restore:
// it no longer uses slots that it does not own by both records.
func (s *State) confirmDue() bool {
	r := &s.own.restore
	mine := s.own.record.Holders[s.cfg.Self]
	if r.since.IsZero() || s.own.leaving || mine != nil && mine.Era == r.era {
		return false
	}
	for _, p := range s.list {
		if p.key.Region == s.cfg.Region && p.used+p.lent > p.owned {
			return false
		}
	}
	return true
}

// departDue reports whether the instance is leaving and uses no slots, so that it can
// remove its entry from a record that is not settled.
func (s *State) departDue() bool {
	if s.own.restore.since.IsZero() || !s.own.leaving || s.own.record.Holders[s.cfg.Self] == nil {
		return false
	}
	for _, p := range s.list {
		if p.key.Region == s.cfg.Region && p.used+p.lent > 0 {
			return false
		}
	}
	return true
}

// settleDue reports whether the record can be settled: all instances that are listed
// or known as members have confirmed, and any other instance has not been confirmed
// by the record or by listings for so long that its requests have ended.
func (s *State) settleDue(t time.Time) bool {
	o := &s.own
	r := &o.restore
	if r.since.IsZero() || t.Sub(r.since) < ReclaimAfter || o.lastListing.IsZero() || t.Sub(o.lastListing) > maxListingGap {
		return false
	}
	for _, id := range o.members {
		if !r.confirmed(o.record, id) {
			return false
		}
	}
	for id := range r.listed {
		if !r.confirmed(o.record, id) && !s.inOtherRegion(id) {
			return false
		}
	}
	return true
}

func (r *restoreState) confirmed(rec *Record, id model.InstanceID) bool {
	h := rec.Holders[id]
	return h != nil && h.Era == r.era
}

func (s *State) inOtherRegion(id model.InstanceID) bool {
	for region, peers := range s.borrow.peers {
		for _, p := range peers {
			if p.ID == id {
				return region != s.cfg.Region
			}
		}
	}
	return false
}

// recover confirms the instance in a record that is not settled, removes it from the
// record, or settles the record.
func (u *recordUpdate) recover() {
	o := &u.s.own
	switch {
	case u.s.departDue():
		delete(u.rec.Holders, u.s.cfg.Self)
		u.changed = true
	case u.s.confirmDue():
		if u.rec.Holders[u.s.cfg.Self] == nil {
			u.rec.Holders[u.s.cfg.Self] = &Holder{}
		}
		u.takeOver()
		u.rec.Holders[u.s.cfg.Self].Era = o.restore.era
		u.changed = true
	case u.s.settleDue(u.t):
		u.rec.Settled = o.restore.era
		u.changed = true
	}
}
