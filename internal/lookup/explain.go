package lookup

import (
	"cmp"
	"fmt"
	"net/http"
	"net/netip"
	"slices"

	"jujubestile.example/jujubestile/internal/membership"
	"jujubestile.example/jujubestile/internal/model"
)

// Explanation says for each known instance why it is or is not part of the
// answer to a caller.
type Explanation struct {
	Caller netip.Addr   `json:"caller"`
	Region model.Region `json:"region"`
	// Block is the address block that gets the same answer. Rule reports
	// whether the block comes from the rules.
	Block netip.Prefix `json:"block"`
	Rule  bool         `json:"rule"`
	// Regions lists all regions in the order in which they are tried.
	Regions []model.Region `json:"region_order"`
	// Instances lists the selected instances first, in the order of the answer,
	// then all others.
	Instances []InstanceReason `json:"instances"`
}

// InstanceReason says why an instance is or is not part of an answer.
type InstanceReason struct {
	ID     model.InstanceID `json:"id"`
	Region model.Region     `json:"region"`
	Domain model.Domain     `json:"domain"`
	State  string           `json:"state"`
	// Position is the position in the answer, starting at 1, or 0 if the
	// instance is not part of it.
	Position int `json:"position"`
	// LoadClass is from 0 (idle) to membership.MaxLoadClass. A higher class raises
	// Cost, the instance's cost for the block (see costOf). Instances with the
	// lowest costs are preferred.
	LoadClass uint8   `json:"load_class"`
	Cost      float64 `json:"cost"`
	Reason    string  `json:"reason"`
}

// Explain returns the explanation of the answer to a caller.
func (d *Directory) Explain(addr netip.Addr) Explanation {
	answer := d.Lookup(addr)
	e := Explanation{
		Caller:  addr,
		Region:  answer.Region,
		Block:   answer.Block,
		Rule:    answer.HasRule,
		Regions: d.regionOrders[answer.Region],
	}
	key := blockHash(answer.Block)
	for _, m := range d.view.Members {
		e.Instances = append(e.Instances, d.reason(m, answer, key))
	}
	slices.SortStableFunc(e.Instances, func(a, b InstanceReason) int {
		return cmp.Compare(sortPosition(a), sortPosition(b))
	})
	return e
}

func sortPosition(r InstanceReason) int {
	if r.Position == 0 {
		return MaxEntries + 1
	}
	return r.Position
}

func (d *Directory) reason(m *membership.Status, answer Answer, key uint64) InstanceReason {
	r := InstanceReason{ID: m.ID, Region: m.Region, Domain: m.Domain, State: m.State.String(), LoadClass: m.LoadClass}
	c := candidate{Status: m, hash: hashOf(m.ID), invWeight: invWeight(m.LoadClass)}
	r.Cost = c.costOf(c.uniform(key))
	r.Position = 1 + slices.IndexFunc(answer.Entries, func(s *membership.Status) bool { return s.ID == m.ID })
	excluded := exclusionReason(m, d.set)
	switch {
	case excluded != "":
		r.Reason = "not named: " + excluded
	case r.Position > 0 && m.State == membership.StateSuspect:
		r.Reason = "named after all others: suspect"
	case r.Position > 0 && m.Region == answer.Region:
		r.Reason = "named: among the lowest costs in the caller's region"
	case r.Position > 0:
		r.Reason = fmt.Sprintf("named: among the lowest costs in %s, for the case that the caller's region fails", m.Region)
	case m.State == membership.StateSuspect:
		r.Reason = "not named: suspect, and enough others are alive"
	case m.Region == answer.Region:
		r.Reason = "not named: others of the caller's region have a lower cost for this block"
	default:
		r.Reason = "not named: a nearer region or a lower cost came first"
	}
	return r
}

// ServeExplain serves the explanation of an answer to operators. It takes the
// same parameters as ServeHTTP.
func (s *Service) ServeExplain(w http.ResponseWriter, r *http.Request) {
	addr, ok := s.callerOf(w, r)
	if !ok {
		return
	}
	w.Header().Set("Cache-Control", "no-store")
	writeJSON(w, http.StatusOK, "application/json", s.Directory().Explain(addr))
}
