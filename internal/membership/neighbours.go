package membership

import (
	"cmp"
	"slices"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// nearNeighbours is the number of neighbours in this instance's region. With
	// 4 of them a random graph of any size is connected, and a change reaches
	// 4,900 members in about 5 steps.
	nearNeighbours = 4
	// otherDomainNeighbours is the number of near neighbours in other failure
	// domains, so that the failure of one domain does not look like a failure of
	// this instance's network connection.
	otherDomainNeighbours = 2
	// farNeighbours is the number of neighbours in other regions.
	farNeighbours = 1
	// relaysPerRegion is the number of members that watch the store for their
	// region.
	relaysPerRegion = 2
)

type neighbourCache struct {
	topologySeq uint64
	near, far   []model.InstanceID
}

// Neighbours returns the members that this instance polls and pushes to: near ones
// in its region and far ones in other regions. On average as many members have
// chosen this instance.
func (t *Table) Neighbours() (near, far []model.InstanceID) {
	c := &t.neighbours
	if c.topologySeq != t.topologySeq {
		c.near, c.far = t.chooseNeighbours()
		c.topologySeq = t.topologySeq
	}
	return c.near, c.far
}

func (t *Table) chooseNeighbours() (near, far []model.InstanceID) {
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
	key := string(own.ID)
	near = top(key, otherDomain, max(otherDomainNeighbours, nearNeighbours-len(sameDomain)))
	near = append(near, top(key, sameDomain, nearNeighbours-len(near))...)
	return near, top(key, otherRegion, farNeighbours)
}

// top returns the n ids with the highest rendezvous hashing scores for key, the
// highest first. It is called after each change of topologySeq and therefore does
// not sort all ids.
func top(key string, ids []model.InstanceID, n int) []model.InstanceID {
	type scored struct {
		score uint64
		id    model.InstanceID
	}
	n = max(0, min(n, len(ids)))
	best := make([]scored, 0, n+1)
	for _, id := range ids {
		s := scored{score(key, string(id)), id}
		at, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
		})
		if at < n {
			best = slices.Insert(best, at, s)[:min(len(best)+1, n)]
		}
	}
	chosen := make([]model.InstanceID, len(best))
	for i, s := range best {
		chosen[i] = s.id
	}
	return chosen
}

func first(ids []model.InstanceID, n int) []model.InstanceID {
	return ids[:min(n, len(ids))]
}
