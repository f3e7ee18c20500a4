package membership

import (
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// RecordFailure records that a call to a member that started at the given time got
// no answer.
func (t *Table) RecordFailure(start time.Time, id model.InstanceID) {
	if since, ok := t.failing[id]; !ok || start.Before(since) {
		t.failing[id] = start
	}
}

// RecordAnswer records that a member answered.
func (t *Table) RecordAnswer(id model.InstanceID) { delete(t.failing, id) }

// RestartFailure measures a failure from the given time on.
func (t *Table) RestartFailure(now time.Time, id model.InstanceID) {
	if t.Failing(id) {
		t.failing[id] = now
	}
}

// Failing reports whether the last call to a member got no answer.
func (t *Table) Failing(id model.InstanceID) bool {
	_, ok := t.failing[id]
	return ok
}

// Distrusted reports whether over half of the neighbours fail. The fault is
// then more likely at this instance or its link, and it keeps its last view.
// With a single neighbour there is nothing to compare.
func (t *Table) Distrusted() bool {
	near, far := t.Neighbours()
	total := len(near) + len(far)
	failing := 0
	for _, ids := range [...][]model.InstanceID{near, far} {
		for _, id := range ids {
			if t.Failing(id) {
				failing++
			}
		}
	}
	return total >= 2 && 2*failing > total
}

// ToConfirm returns the members that have failed for confirmAfter and are not
// suspected yet, so that others can be asked whether they reach them.
func (t *Table) ToConfirm(now time.Time) []model.InstanceID {
	if len(t.failing) == 0 || t.Distrusted() {
		return nil
	}
	var ids []model.InstanceID
	for id, since := range t.failing {
		r := t.rows[id]
		if r != nil && r.member.Health == HealthAlive && now.Sub(since) >= confirmAfter {
			ids = append(ids, id)
		}
	}
	return ids
}

// UntilSuspect returns how long a member must go on failing to be suspected.
func (t *Table) UntilSuspect(now time.Time, id model.InstanceID) time.Duration {
	return SuspectAfter - now.Sub(t.failing[id])
}

// Suspect marks a member as suspect that has failed for SuspectAfter, unless
// the own measurements are distrusted.
func (t *Table) Suspect(now time.Time, id model.InstanceID) bool {
	r := t.rows[id]
	if r == nil || r == t.self || r.member.Health != HealthAlive || !t.Failing(id) {
		return false
	}
	if t.UntilSuspect(now, id) > 0 || t.Distrusted() {
		return false
	}
	m := r.member
	m.Health = HealthSuspect
	t.put(now, r, m, "")
	return true
}

// Tick applies what is due at the given time and reports whether the table
// changed. It is called several times a second.
func (t *Table) Tick(now time.Time) bool {
	t.skipPause(now)
	if len(t.unwell) == 0 {
		return false
	}
	before := t.shape
	distrusted := t.Distrusted()
	for id, r := range t.unwell {
		age := now.Sub(r.since)
		switch {
		case r.member.Health == HealthDead && age >= TombstoneTTL:
			t.remove(id)
		case r.member.Health == HealthSuspect && age >= t.deadAfter(r) && !distrusted:
			m := r.member
			m.Health = HealthDead
			t.put(now, r, m, "")
		default:
			t.refresh(now, r)
		}
	}
	return t.shape != before
}

func (t *Table) deadAfter(r *row) time.Duration {
	if r.source == "" {
		return DeadAfter
	}
	return DeadAfter + secondHandDelay
}

// skipPause moves all times by the length of a pause of this process, because
// it could hear no refutation and measure nothing during it.
func (t *Table) skipPause(now time.Time) {
	gap := now.Sub(t.lastTick)
	paused := !t.lastTick.IsZero() && gap > pauseGap
	t.lastTick = now
	if !paused {
		return
	}
	t.paused += gap
	clear(t.failing)
	for _, r := range t.unwell {
		if r.member.Health == HealthSuspect {
			r.since = r.since.Add(gap)
		}
	}
	for _, r := range t.rows {
		if !r.missing.IsZero() {
			r.missing = r.missing.Add(gap)
		}
	}
}

// Paused returns for how long the process has been paused in all.
func (t *Table) Paused() time.Duration { return t.paused }

// SetListing takes the platform's list. Members that it lacks for ListGrace
// count as dead, unless it lacks over half of the live ones: such a list is
// more likely wrong. An empty list is ignored.
func (t *Table) SetListing(now time.Time, entries []model.EntryInstance) bool {
	if len(entries) == 0 {
		return false
	}
	t.listings++
	clear(t.listing)
	for _, e := range entries {
		t.listing[e.ID] = e
	}
	trusted := t.listingTrusted()
	before := t.shape
	for id, r := range t.rows {
		e, ok := t.listing[id]
		r.listedLeaving = e.Leaving
		switch {
		case ok:
			r.missing = time.Time{}
			r.delisted = false
		case !trusted || r == t.self:
		case r.missing.IsZero():
			r.missing = now
		default:
			r.delisted = r.delisted || now.Sub(r.missing) >= ListGrace
		}
		t.refresh(now, r)
	}
	return t.shape != before
}

func (t *Table) listingTrusted() bool {
	live, listed := 0, 0
	for id, r := range t.rows {
		if r.member.Health == HealthDead {
			continue
		}
		live++
		if _, ok := t.listing[id]; ok {
			listed++
		}
	}
	return 2*listed >= live
}

// unreachedCache holds the last result of Unreached, because it is asked for
// each second and takes a pass over the list.
type unreachedCache struct {
	shape, listings uint64
	ids             []model.InstanceID
}

// Unreached returns the listed instances that are not known to be alive. The
// result is shared and must not be changed.
func (t *Table) Unreached() []model.InstanceID {
	c := &t.unreached
	if c.shape == t.shape && c.listings == t.listings {
		return c.ids
	}
	*c = unreachedCache{shape: t.shape, listings: t.listings}
	for id := range t.listing {
		r := t.rows[id]
		if r == nil || (r != t.self && r.member.Health == HealthDead) {
			c.ids = append(c.ids, id)
		}
	}
	return c.ids
}
