package membership

import (
	"cmp"
	"slices"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// nearNeighbours are in the own region. With 4 of them a random graph of
	// any size is connected and reaches 4,900 members in about 5 steps.
	nearNeighbours = 4
	// otherDomainNeighbours of them are in other failure domains, so that the
	// failure of one domain does not look like a failure of the own link.
	otherDomainNeighbours = 2
	// farNeighbours are in other regions.
	farNeighbours = 1
	// relaysPerRegion watch the store for their region.
	relaysPerRegion = 2
)

type neighbourCache struct {
	shape     uint64
	near, far []model.InstanceID
}

// Neighbours returns the members that this instance exchanges with on its own
// initiative. About as many others have chosen this instance.
func (t *Table) Neighbours() (near, far []model.InstanceID) {
	c := &t.neighbours
	if c.shape != t.shape {
		c.near, c.far = t.choose()
		c.shape = t.shape
	}
	return c.near, c.far
}

func (t *Table) choose() (near, far []model.InstanceID) {
	own := &t.self.member
	var sameDomain, otherDomain, otherRegion []model.InstanceID
	for id, r := range t.rows {
		switch {
		case r == t.self || r.state == StateDead:
		case r.member.Region != own.Region:
			otherRegion = append(otherRegion, id)
		case r.member.Domain != own.Domain:
			otherDomain = append(otherDomain, id)
		default:
			sameDomain = append(sameDomain, id)
		}
	}
	rank(string(own.ID), sameDomain)
	rank(string(own.ID), otherDomain)
	rank(string(own.ID), otherRegion)
	near = slices.Clone(first(otherDomain, max(otherDomainNeighbours, nearNeighbours-len(sameDomain))))
	near = append(near, first(sameDomain, nearNeighbours-len(near))...)
	return near, slices.Clone(first(otherRegion, farNeighbours))
}

// rank sorts ids by their rendezvous score for key, the highest first.
func rank(key string, ids []model.InstanceID) {
	scores := make(map[model.InstanceID]uint64, len(ids))
	for _, id := range ids {
		scores[id] = score(key, string(id))
	}
	slices.SortFunc(ids, func(a, b model.InstanceID) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b))
	})
}

func first(ids []model.InstanceID, n int) []model.InstanceID {
	return ids[:min(n, len(ids))]
}

// Status is a member with its state.
type Status struct {
	Member
	State State
}

// View is an immutable picture of the members.
type View struct {
	// Self is the own record.
	Self Member
	// Members are sorted by ID. Dead ones are included while their records
	// are kept.
	Members []Status
	// Relays are the members of each region that watch the store.
	Relays map[model.Region][]model.InstanceID
	// Distrusted means that over half of the neighbours do not answer, so
	// that the view may be out of date.
	Distrusted bool
	// Shape changes whenever the set of members, their states, regions or
	// domains do; Seq also when a record does.
	Shape, Seq uint64
	// Made is when the view was made.
	Made time.Time
}

// Get returns a member.
func (v *View) Get(id model.InstanceID) (Status, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, id, func(s Status, id model.InstanceID) int {
		return cmp.Compare(s.ID, id)
	})
	if !ok {
		return Status{}, false
	}
	return v.Members[i], true
}

// IsRelay reports whether the own instance watches the store for its region.
func (v *View) IsRelay() bool {
	return slices.Contains(v.Relays[v.Self.Region], v.Self.ID)
}

// View returns a picture of the table.
func (t *Table) View(now time.Time) *View {
	v := &View{Self: t.self.member, Distrusted: t.Distrusted(), Shape: t.shape, Seq: t.seq, Made: now}
	v.Members = make([]Status, 0, len(t.rows))
	for _, r := range t.rows {
		v.Members = append(v.Members, Status{r.member, r.state})
	}
	slices.SortFunc(v.Members, func(a, b Status) int { return cmp.Compare(a.ID, b.ID) })
	v.Relays = relays(v.Members)
	return v
}

// relays ranks the members of each region. Alive members come before suspect
// and leaving ones, because a region needs relays also while it drains.
func relays(members []Status) map[model.Region][]model.InstanceID {
	ranked := map[model.Region][]Status{}
	for _, m := range members {
		if m.State != StateDead {
			ranked[m.Region] = append(ranked[m.Region], m)
		}
	}
	chosen := make(map[model.Region][]model.InstanceID, len(ranked))
	for region, list := range ranked {
		slices.SortFunc(list, func(a, b Status) int {
			return cmp.Or(
				cmp.Compare(relayClass(a.State), relayClass(b.State)),
				cmp.Compare(score(string(region), string(b.ID)), score(string(region), string(a.ID))),
				cmp.Compare(a.ID, b.ID),
			)
		})
		for _, m := range list[:min(relaysPerRegion, len(list))] {
			chosen[region] = append(chosen[region], m.ID)
		}
	}
	return chosen
}

func relayClass(s State) int {
	if s == StateAlive {
		return 0
	}
	return 1
}
