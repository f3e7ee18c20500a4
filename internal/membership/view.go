package membership

import (
	"cmp"
	"slices"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// Status is the record of a member with its state.
type Status struct {
	Member
	State State
}

// View is an immutable snapshot of the members.
type View struct {
	// Self is this instance's record.
	Self Member
	// Members are sorted by ID. Dead members are included until their records
	// are deleted. The elements are shared between views.
	Members []*Status
	// Relays has the members of each region that watch the store.
	Relays map[model.Region][]model.InstanceID
	// Distrusted means that more than half of the neighbours do not respond, so
	// that the view may be out of date.
	Distrusted bool
	// TopologySeq changes whenever the set of members or their states, regions
	// or failure domains change; Seq changes whenever a record changes.
	TopologySeq, Seq uint64
	// CreatedAt is when the view was created.
	CreatedAt time.Time
}

// Get returns the member with the given ID.
func (v *View) Get(id model.InstanceID) (Status, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, id, func(s *Status, id model.InstanceID) int {
		return cmp.Compare(s.ID, id)
	})
	if !ok {
		return Status{}, false
	}
	return *v.Members[i], true
}

// IsRelay reports whether this instance watches the store for its region.
func (v *View) IsRelay() bool {
	return slices.Contains(v.Relays[v.Self.Region], v.Self.ID)
}

// View returns a snapshot of the table. With 4,900 members it allocates 40 KB and
// a Status for each record that changed since the last snapshot.
func (t *Table) View(now time.Time) *View {
	v := &View{Self: t.self.member, Distrusted: t.Distrusted(), TopologySeq: t.topologySeq, Seq: t.seq, CreatedAt: now}
	rows := t.sortedRows()
	v.Members = make([]*Status, 0, len(rows))
	for _, r := range rows {
		if r.cachedStatus == nil {
			r.cachedStatus = &Status{r.member, r.state}
		}
		v.Members = append(v.Members, r.cachedStatus)
	}
	if t.relays.byRegion == nil || t.relays.topologySeq != t.topologySeq {
		t.relays = relayCache{t.topologySeq, chooseRelays(v.Members)}
	}
	v.Relays = t.relays.byRegion
	return v
}

func (t *Table) sortedRows() []*row {
	if t.sorted == nil {
		t.sorted = make([]*row, 0, len(t.rows))
		for _, r := range t.rows {
			t.sorted = append(t.sorted, r)
		}
		slices.SortFunc(t.sorted, func(a, b *row) int { return cmp.Compare(a.member.ID, b.member.ID) })
	}
	return t.sorted
}

type relayCache struct {
	topologySeq uint64
	byRegion    map[model.Region][]model.InstanceID
}

// chooseRelays returns the relays of each region. Alive members are preferred to
// suspect and leaving ones, which are chosen as well because a region also needs
// relays while it is drained.
func chooseRelays(members []*Status) map[model.Region][]model.InstanceID {
	var alive, others = map[model.Region][]model.InstanceID{}, map[model.Region][]model.InstanceID{}
	for _, m := range members {
		switch m.State {
		case StateAlive:
			alive[m.Region] = append(alive[m.Region], m.ID)
		case StateSuspect, StateLeaving:
			others[m.Region] = append(others[m.Region], m.ID)
		}
	}
	chosen := map[model.Region][]model.InstanceID{}
	for region, ids := range alive {
		chosen[region] = top(string(region), ids, relaysPerRegion)
	}
	for region, ids := range others {
		missing := relaysPerRegion - len(chosen[region])
		chosen[region] = append(chosen[region], top(string(region), ids, missing)...)
	}
	return chosen
}
