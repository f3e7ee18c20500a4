package membership

import (
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// RecordFailure records that a call to a member, started at the given time, got
// no response.
func (t *Table) RecordFailure(start time.Time, id model.InstanceID) {
	if since, ok := t.failing[id]; !ok || start.Before(since) {
		t.failing[id] = start
	}
}

// RecordAnswer records that a member responded to a call, or has made one itself,
// which ends its failure.
func (t *Table) RecordAnswer(id model.InstanceID) { delete(t.failing, id) }

// RestartFailure sets the start of a member's failure, if it fails, to now.
func (t *Table) RestartFailure(now time.Time, id model.InstanceID) {
	if t.Failing(id) {
		t.failing[id] = now
	}
}

// Failing reports whether the last call to a member got no response.
func (t *Table) Failing(id model.InstanceID) bool {
	_, ok := t.failing[id]
	return ok
}

// Distrusted reports whether more than half of the neighbours fail. The fault is
// then more likely at this instance or its network connection, and this instance
// keeps its last view. The result is false for a single neighbour, because there is
// no other to compare it with.
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
// suspected yet. Other members are asked to ping them before they are suspected.
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

// UntilSuspect returns how much longer a failing member must fail before it is
// suspected.
func (t *Table) UntilSuspect(now time.Time, id model.InstanceID) time.Duration {
	return SuspectAfter - now.Sub(t.failing[id])
}

// Suspect marks a member as suspect if it has failed for SuspectAfter, unless the
// measurements of this instance are distrusted. It reports whether it did.
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

// Tick applies the changes that are due at the given time: it detects pauses of
// the process, declares suspect members dead and deletes old tombstones. It
// reports whether the members or their states changed, and is called several
// times a second.
func (t *Table) Tick(now time.Time) bool {
	t.compensatePause(now)
	if len(t.notAlive) == 0 {
		return false
	}
	before := t.topologySeq
	distrusted := t.Distrusted()
	for id, r := range t.notAlive {
		age := now.Sub(r.notAliveSince)
		switch {
		case r.member.Health == HealthDead && age >= TombstoneTTL:
			t.remove(id)
		case r.member.Health == HealthSuspect && age >= t.deadAfter(r) && !distrusted:
			m := r.member
			m.Health = HealthDead
			t.put(now, r, m, "")
		default:
			t.refreshState(now, r)
		}
	}
	return t.topologySeq != before
}

func (t *Table) deadAfter(r *row) time.Duration {
	if r.source == "" {
		return DeadAfter
	}
	return DeadAfter + receivedSuspicionDelay
}

// compensatePause shifts the start of suspicions and absences by the length of a
// pause of this process and discards failures, because during the pause it could
// neither receive refutations nor measure anything.
func (t *Table) compensatePause(now time.Time) {
	gap := now.Sub(t.lastTick)
	paused := !t.lastTick.IsZero() && gap > pauseGap
	t.lastTick = now
	if !paused {
		return
	}
	t.paused += gap
	clear(t.failing)
	for _, r := range t.notAlive {
		if r.member.Health == HealthSuspect {
			r.notAliveSince = r.notAliveSince.Add(gap)
		}
	}
	for _, r := range t.rows {
		if !r.missingSince.IsZero() {
			r.missingSince = r.missingSince.Add(gap)
		}
	}
}

// Paused returns the total time for which the process has been paused.
func (t *Table) Paused() time.Duration { return t.paused }

// SetListing applies the platform's list and reports whether the members'
// states changed. Members that are missing from the list for ListGrace count as
// dead. A list that lacks more than half of the members that are not dead is more
// likely wrong than right, and no member counts as missing because of it. An empty
// list is ignored.
func (t *Table) SetListing(now time.Time, entries []model.EntryInstance) bool {
	if len(entries) == 0 {
		return false
	}
	t.listingCount++
	clear(t.listing)
	for _, e := range entries {
		t.listing[e.ID] = e
	}
	trusted := t.listingTrusted()
	before := t.topologySeq
	for id, r := range t.rows {
		e, ok := t.listing[id]
		r.listedLeaving = e.Leaving
		switch {
		case ok:
			r.missingSince = time.Time{}
			r.delisted = false
		case !trusted || r == t.self:
		case r.missingSince.IsZero():
			r.missingSince = now
		default:
			r.delisted = r.delisted || now.Sub(r.missingSince) >= ListGrace
		}
		t.refreshState(now, r)
	}
	return t.topologySeq != before
}

// listingTrusted reports whether the list has at least half of the members that
// are not dead.
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

// unreachedCache caches the result of Unreached, which is called once a second
// and iterates over the whole list.
type unreachedCache struct {
	topologySeq, listingCount uint64
	ids                       []model.InstanceID
}

// Unreached returns the instances of the platform's list that are unknown or dead
// in this table. The result is shared and must not be modified.
func (t *Table) Unreached() []model.InstanceID {
	c := &t.unreached
	if c.topologySeq == t.topologySeq && c.listingCount == t.listingCount {
		return c.ids
	}
	*c = unreachedCache{topologySeq: t.topologySeq, listingCount: t.listingCount}
	for id := range t.listing {
		r := t.rows[id]
		if r == nil || (r != t.self && r.member.Health == HealthDead) {
			c.ids = append(c.ids, id)
		}
	}
	return c.ids
}
