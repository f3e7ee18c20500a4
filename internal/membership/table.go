package membership

import (
	"slices"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// SuspectAfter is how long a neighbour must fail before it is suspected.
	SuspectAfter = time.Second
	// confirmAfter is how long a neighbour must fail before others are asked
	// about it. Their answers take up to pingTimeout, so that they are there
	// at SuspectAfter.
	confirmAfter = 500 * time.Millisecond
	// DeadAfter is how long a suspect has to refute its suspicion. It covers
	// the spread of the suspicion and of the refutation, each within 1 s.
	DeadAfter = 3 * time.Second
	// secondHandDelay is added to DeadAfter by members that did not raise the
	// suspicion themselves, so that a death comes from few of them.
	secondHandDelay = 2 * time.Second
	// TombstoneTTL is how long the record of a dead member stays. A message
	// that is delayed for longer could bring the member back for some
	// seconds.
	TombstoneTTL = 10 * time.Minute
	// ListGrace is how long a member may be missing from the platform's list
	// before it counts as dead.
	ListGrace = time.Minute
	// pauseGap is the time between two ticks from which the process counts as
	// paused. What it measured over the pause is void.
	pauseGap = 2 * time.Second
	// maxAlso bounds the instances that a record is not sent back to.
	maxAlso = 10
	// maxLog bounds the recent changes that are found without a scan of the
	// table.
	maxLog = 1024
)

// row is a record with what this instance knows about it.
type row struct {
	member Member
	// changed is the value of the table's change counter at the last change.
	changed uint64
	// source is the neighbour that the record came from, or empty; also are
	// others that sent the same record later.
	source model.InstanceID
	also   [maxAlso]model.InstanceID
	// since is when the record stopped being alive at its present version.
	since time.Time
	// missing is when a listing of the platform first lacked the member.
	missing time.Time
	// delisted means that the member has been missing for ListGrace.
	delisted bool
	// listedLeaving means that the platform is about to stop the member.
	listedLeaving bool
	// state is what the view shows, and shown its record there, or nil after
	// a change.
	state State
	shown *Status
}

type change struct {
	seq uint64
	id  model.InstanceID
}

// Table is the member table of one instance. It does no I/O and is not safe
// for concurrent use.
type Table struct {
	self    *row
	rows    map[model.InstanceID]*row
	unwell  map[model.InstanceID]*row
	seq     uint64
	log     []change
	buckets [BucketCount]uint32

	listing   map[model.InstanceID]model.EntryInstance
	listings  uint64
	unreached unreachedCache
	failing   map[model.InstanceID]time.Time
	lastTick  time.Time
	// shape counts changes that matter to the choice of neighbours and relays:
	// of the set of members and of their states, regions and domains.
	shape      uint64
	neighbours neighbourCache
	relays     relayCache
	// sorted has the rows by ID, or is nil after a change of the set.
	sorted     []*row
	superseded bool
	paused     time.Duration
}

// NewTable returns a table that contains only the instance itself.
func NewTable(now time.Time, self Member) *Table {
	t := &Table{
		rows:    map[model.InstanceID]*row{},
		unwell:  map[model.InstanceID]*row{},
		listing: map[model.InstanceID]model.EntryInstance{},
		failing: map[model.InstanceID]time.Time{},
	}
	self.Version = max(self.Version, 1)
	self.Health = HealthAlive
	t.self = &row{}
	t.insert(self.ID, t.self)
	t.put(now, t.self, self, "")
	return t
}

// Self returns the instance's own record.
func (t *Table) Self() Member { return t.self.member }

// Superseded reports whether a later incarnation of this instance has been
// seen. This process is then a predecessor that was paused.
func (t *Table) Superseded() bool { return t.superseded }

// Merge takes a record that came from a neighbour. It reports whether the
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
			r.noteHolder(source)
		}
		return false
	}
	t.put(now, r, m, source)
	return true
}

// mergeSelf refutes what others say about this instance, by a higher version.
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

// UpdateSelf writes a new version of the own record.
func (t *Table) UpdateSelf(now time.Time, edit func(*Member)) {
	m := t.self.member
	edit(&m)
	m.Version++
	t.put(now, t.self, m, "")
}

// put stores a record and numbers the change.
func (t *Table) put(now time.Time, r *row, m Member, source model.InstanceID) {
	t.count(r)
	fresh := m.Incarnation != r.member.Incarnation || m.Version != r.member.Version
	if fresh || r.member.Health == HealthAlive {
		r.since = now
	}
	if m.Region != r.member.Region || m.Domain != r.member.Domain {
		t.shape++
	}
	r.member = m
	r.shown = nil
	r.source = source
	r.also = [maxAlso]model.InstanceID{}
	t.count(r)
	t.seq++
	r.changed = t.seq
	t.log = append(t.log, change{t.seq, m.ID})
	if len(t.log) >= 2*maxLog {
		t.log = append([]change(nil), t.log[len(t.log)-maxLog:]...)
	}
	if m.Health == HealthAlive {
		delete(t.unwell, m.ID)
	} else {
		t.unwell[m.ID] = r
	}
	t.refresh(now, r)
}

// refresh recomputes the state that the view shows.
func (t *Table) refresh(now time.Time, r *row) {
	if state := t.stateOf(now, r); state != r.state {
		r.state = state
		r.shown = nil
		t.shape++
	}
}

// stateOf returns the state of a member. A death that was not preceded by a
// suspicion here shows as a suspicion for DeadAfter: after a partition each
// side has declared the other one dead, and all of them need the time to
// refute it.
func (t *Table) stateOf(now time.Time, r *row) State {
	m := &r.member
	overdue := now.Sub(r.since) >= DeadAfter
	switch {
	case r.delisted, m.Health == HealthDead && (overdue || r == t.self):
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
	t.shape++
}

// noteHolder records that an instance has the record.
func (r *row) noteHolder(id model.InstanceID) {
	for i, known := range r.also {
		if known == "" || known == id {
			r.also[i] = id
			return
		}
	}
}

// heldBy reports whether an instance is known to have the record.
func (r *row) heldBy(id model.InstanceID) bool {
	return id != "" && (r.source == id || slices.Contains(r.also[:], id))
}

// remove drops the record of a dead member.
func (t *Table) remove(id model.InstanceID) {
	delete(t.rows, id)
	delete(t.unwell, id)
	t.sorted = nil
	t.shape++
}
