package membership

import (
	"slices"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// SuspectAfter is how long a member must fail to respond before it is
	// suspected.
	SuspectAfter = time.Second
	// confirmAfter is how long a member must fail to respond before others are
	// asked to ping it. Their replies take up to pingTimeout, so that they have
	// arrived at SuspectAfter.
	confirmAfter = 500 * time.Millisecond
	// DeadAfter is how long a suspect member has to refute the suspicion. It
	// covers the spread of the suspicion and that of the refutation, each
	// within 1 s.
	DeadAfter = 3 * time.Second
	// receivedSuspicionDelay is added to DeadAfter by members that received the
	// suspicion by gossip, so that only the few that raised it declare the
	// member dead.
	receivedSuspicionDelay = 2 * time.Second
	// TombstoneTTL is how long the record of a dead member is kept. A message
	// that is delayed for longer could make the member appear alive again for
	// some seconds.
	TombstoneTTL = 10 * time.Minute
	// ListGrace is the grace period after which a member that is missing from
	// the platform's list counts as dead.
	ListGrace = time.Minute
	// pauseGap is the time between two ticks above which the process counts as
	// paused. Measurements that span the pause are discarded.
	pauseGap = 2 * time.Second
	// maxOtherHolders is the maximum number of instances other than its source
	// that a row remembers as holders of its record.
	maxOtherHolders = 10
	// maxChangeLog is the number of recent changes that are always found without
	// a scan of the table.
	maxChangeLog = 1024
)

// row is the record of a member with the local state of this instance about it.
type row struct {
	member Member
	// changed is the value of the table's change counter at the last change of
	// the record.
	changed uint64
	// source is the instance that the record came from, or empty for a record
	// made here. otherHolders are instances that sent the same record later.
	source       model.InstanceID
	otherHolders [maxOtherHolders]model.InstanceID
	// notAliveSince is when Health stopped being HealthAlive at the current
	// Version. It has no meaning while Health is HealthAlive.
	notAliveSince time.Time
	// missingSince is when the member was first missing from the platform's
	// list, or zero.
	missingSince time.Time
	// delisted means that the member has been missing from the list for
	// ListGrace.
	delisted bool
	// listedLeaving means that the platform's list marks the member as leaving.
	listedLeaving bool
	// state is the state shown in views. cachedStatus is the Status shared by
	// views, or nil after a change.
	state        State
	cachedStatus *Status
}

type change struct {
	seq uint64
	id  model.InstanceID
}

// Table is the member table of one instance. It does no I/O and is not safe
// for concurrent use.
type Table struct {
	self *row
	rows map[model.InstanceID]*row
	// notAlive has the rows whose Health is not HealthAlive.
	notAlive map[model.InstanceID]*row
	// seq is the change counter; changeLog has the recent changes.
	seq       uint64
	changeLog []change
	buckets   [BucketCount]uint32

	// listing is the platform's list; listingCount counts its updates.
	listing      map[model.InstanceID]model.EntryInstance
	listingCount uint64
	unreached    unreachedCache
	// failing has the time from which each failing member counts as failing.
	failing  map[model.InstanceID]time.Time
	lastTick time.Time
	// topologySeq counts the changes that affect the choice of neighbours and
	// relays: changes of the set of members and of their states, regions and
	// failure domains.
	topologySeq uint64
	neighbours  neighbourCache
	relays      relayCache
	// sorted has the rows sorted by ID, or is nil after a change of the set of
	// members.
	sorted     []*row
	superseded bool
	paused     time.Duration
}

// NewTable returns a table that contains only this instance's record.
func NewTable(now time.Time, self Member) *Table {
	t := &Table{
		rows:     map[model.InstanceID]*row{},
		notAlive: map[model.InstanceID]*row{},
		listing:  map[model.InstanceID]model.EntryInstance{},
		failing:  map[model.InstanceID]time.Time{},
	}
	self.Version = max(self.Version, 1)
	self.Health = HealthAlive
	t.self = &row{}
	t.insert(self.ID, t.self)
	t.put(now, t.self, self, "")
	return t
}

// Self returns this instance's record.
func (t *Table) Self() Member { return t.self.member }

// Superseded reports whether a later incarnation of this instance has been
// seen. This process has then been replaced, for example while it was paused.
func (t *Table) Superseded() bool { return t.superseded }

// Merge merges a record that was received from source. It reports whether the
// table changed.
func (t *Table) Merge(now time.Time, m Member, source model.InstanceID) bool {
	if !m.valid() {
		return false
	}
	if m.ID == t.self.member.ID {
		return t.mergeSelf(now, m)
	}
	r := t.rows[m.ID]
	if r == nil {
		r = &row{}
		t.insert(m.ID, r)
	} else if c := compare(m, r.member); c <= 0 {
		if c == 0 {
			r.addHolder(source)
		}
		return false
	}
	t.put(now, r, m, source)
	return true
}

// mergeSelf refutes a record of this instance that another instance has changed, by
// writing a higher version.
func (t *Table) mergeSelf(now time.Time, m Member) bool {
	own := t.self.member
	if m.Incarnation > own.Incarnation {
		t.superseded = true
	}
	if m.Incarnation != own.Incarnation || own.Health == HealthDead || compare(m, own) <= 0 {
		return false
	}
	own.Version = m.Version + 1
	t.put(now, t.self, own, "")
	return true
}

// UpdateSelf writes a new version of this instance's record.
func (t *Table) UpdateSelf(now time.Time, edit func(*Member)) {
	m := t.self.member
	edit(&m)
	m.Version++
	t.put(now, t.self, m, "")
}

// put stores a record and increments the change counter.
func (t *Table) put(now time.Time, r *row, m Member, source model.InstanceID) {
	t.toggleInBucket(r)
	newVersion := m.Incarnation != r.member.Incarnation || m.Version != r.member.Version
	if newVersion || r.member.Health == HealthAlive {
		r.notAliveSince = now
	}
	if m.Region != r.member.Region || m.Domain != r.member.Domain {
		t.topologySeq++
	}
	r.member = m
	r.cachedStatus = nil
	r.source = source
	r.otherHolders = [maxOtherHolders]model.InstanceID{}
	t.toggleInBucket(r)
	t.seq++
	r.changed = t.seq
	t.changeLog = append(t.changeLog, change{t.seq, m.ID})
	if len(t.changeLog) >= 2*maxChangeLog {
		t.changeLog = append([]change(nil), t.changeLog[len(t.changeLog)-maxChangeLog:]...)
	}
	if m.Health == HealthAlive {
		delete(t.notAlive, m.ID)
	} else {
		t.notAlive[m.ID] = r
	}
	t.refreshState(now, r)
}

// refreshState recomputes the state shown in views.
func (t *Table) refreshState(now time.Time, r *row) {
	if state := t.stateOf(now, r); state != r.state {
		r.state = state
		r.cachedStatus = nil
		t.topologySeq++
	}
}

// stateOf returns the state of a member. A member whose record changes to dead
// without having been suspect here is shown as suspect for DeadAfter: after a
// network partition each side has declared the members of the other side dead,
// and all of them need this time to refute it.
func (t *Table) stateOf(now time.Time, r *row) State {
	m := &r.member
	refutationOverdue := now.Sub(r.notAliveSince) >= DeadAfter
	switch {
	case r.delisted, m.Health == HealthDead && (refutationOverdue || r == t.self):
		return StateDead
	case m.Leaving, r.listedLeaving:
		return StateLeaving
	case m.Health != HealthAlive:
		return StateSuspect
	}
	return StateAlive
}

func (t *Table) insert(id model.InstanceID, r *row) {
	t.rows[id] = r
	t.sorted = nil
	t.topologySeq++
}

// addHolder records that an instance has the record.
func (r *row) addHolder(id model.InstanceID) {
	for i, known := range r.otherHolders {
		if known == "" || known == id {
			r.otherHolders[i] = id
			return
		}
	}
}

// heldBy reports whether an instance is known to have the record.
func (r *row) heldBy(id model.InstanceID) bool {
	return id != "" && (r.source == id || slices.Contains(r.otherHolders[:], id))
}

// remove deletes the record of a dead member.
func (t *Table) remove(id model.InstanceID) {
	delete(t.rows, id)
	delete(t.notAlive, id)
	t.sorted = nil
	t.topologySeq++
}
