package daemon

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"jujubestile.example/jujubestile/internal/capacity"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/instancelist"
	"jujubestile.example/jujubestile/internal/ledger"
	"jujubestile.example/jujubestile/internal/membership"
	"jujubestile.example/jujubestile/internal/model"
)

// listingCache holds the last listing that was read from the platform.
type listingCache struct {
	// began is when the current read of the platform's list began.
	began atomic.Pointer[time.Time]
	mu    sync.Mutex
	// ids are the entry instances in the listing, and at is when its read began.
	// failing is set if the last read failed.
	ids     []model.InstanceID
	at      time.Time
	failing bool
	// leaving holds for each endpoint whether the last listing showed it as
	// leaving. Only the goroutine that reads the list uses it.
	leaving map[model.EndpointID]bool
}

// timedSource records when each read of the list begins. Reads do not overlap.
type timedSource struct {
	instancelist.Source
	began *atomic.Pointer[time.Time]
}

// List implements instancelist.Source.
func (s *timedSource) List(ctx context.Context) (instancelist.Listing, error) {
	now := time.Now()
	s.began.Store(&now)
	return s.Source.List(ctx)
}

// onListing processes a listing of the platform, or the error of a failed read.
func (d *Daemon) onListing(l instancelist.Listing, err error) {
	if changed := d.listing.update(l, *d.listing.began.Load(), err); changed && err != nil {
		d.log.Log(events.ListUnavailable).Err(err).Send()
	} else if changed {
		d.log.Log(events.ListAvailable).Send()
	}
	if err != nil {
		return
	}
	now := time.Now()
	d.reportLeaving(now, l.Endpoints)
	d.roster.SetEndpoints(now, l.Endpoints)
	d.setInstances(len(l.Entries))
}

// reportLeaving reports to the other instances which endpoints have changed
// between leaving and live since the last listing. The first listing reports
// those that are leaving, because the listings of other instances may be older.
func (d *Daemon) reportLeaving(now time.Time, endpoints []model.Endpoint) {
	changed := false
	leaving := make(map[model.EndpointID]bool, len(endpoints))
	for _, e := range endpoints {
		leaving[e.ID] = e.Leaving
		if e.Leaving != d.listing.leaving[e.ID] {
			changed = d.notices.Report(now, e.ID, e.Leaving) || changed
		}
	}
	d.listing.leaving = leaving
	if changed {
		d.members.Notify(d.notices.Name())
	}
}

// onNotice takes a leaving endpoint out of use before this instance's own
// listing shows it as leaving.
func (d *Daemon) onNotice(n membership.Notice) {
	if n.Leaving {
		d.roster.MarkLeaving(time.Now(), n.Endpoint)
		d.log.Log(events.EndpointLeaving).Str("endpoint", string(n.Endpoint)).Send()
	}
}

// update stores the result of a read. It reports whether reads have started or
// stopped failing.
func (c *listingCache) update(l instancelist.Listing, began time.Time, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.failing != (err != nil)
	c.failing = err != nil
	if err == nil {
		c.ids = c.ids[:0:0]
		for _, e := range l.Entries {
			c.ids = append(c.ids, e.ID)
		}
		c.at = began
	}
	return changed
}

// capacityMembers implements capacity.Members.
type capacityMembers struct{ d *Daemon }

// Peers implements capacity.Members.
func (m capacityMembers) Peers() []capacity.Peer {
	var out []capacity.Peer
	for _, s := range m.d.members.View().Members {
		starting := s.State == membership.StateLeaving && s.Starting
		if s.ID != m.d.settings.Instance && (s.State == membership.StateAlive || starting) {
			out = append(out, capacity.Peer{ID: s.ID, Region: s.Region, Domain: s.Domain, Starting: starting})
		}
	}
	return out
}

// Listing implements capacity.Members.
func (m capacityMembers) Listing() ([]model.InstanceID, time.Time, bool) {
	c := &m.d.listing
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ids, c.at, !c.at.IsZero()
}

// alivePeers returns the other instances that are alive and not leaving.
func (d *Daemon) alivePeers() []*membership.Status {
	return d.peersInState(membership.StateAlive)
}

// peersInState returns the other instances that are in the given state.
func (d *Daemon) peersInState(state membership.State) []*membership.Status {
	var out []*membership.Status
	for _, s := range d.members.View().Members {
		if s.State == state && s.ID != d.settings.Instance {
			out = append(out, s)
		}
	}
	return out
}

// relays returns the instances, in all regions, that watch the store.
func (d *Daemon) relays() []model.InstanceID {
	var out []model.InstanceID
	for _, ids := range d.members.View().Relays {
		out = append(out, ids...)
	}
	return out
}

// ledgerMembers implements ledger.Members.
type ledgerMembers struct{ d *Daemon }

// Witness implements ledger.Members.
func (m ledgerMembers) Witness(exclude []model.InstanceID) (model.InstanceID, model.Incarnation, bool) {
	if id, inc, ok := m.d.nearestPeer(exclude, false); ok {
		return id, inc, true
	}
	// When all instances start together, none is ready yet and all are marked
	// as leaving. They serve as witnesses nevertheless: without a witness, the
	// outcome of a key would be lost with its owner.
	return m.d.choosePeer(m.d.peersInState(membership.StateLeaving), exclude, false)
}

// Successor implements ledger.Members.
func (m ledgerMembers) Successor(id model.InstanceID, inc model.Incarnation) (model.InstanceID, bool) {
	if s, ok := m.d.members.View().Get(id); ok && s.Incarnation == inc && s.Successor != "" {
		return s.Successor, true
	}
	return m.d.incarnations.successor(id, inc)
}

// KnownEpoch implements ledger.Members.
func (m ledgerMembers) KnownEpoch(id model.InstanceID, inc model.Incarnation, epoch uint64) bool {
	prefix := m.d.incarnations.prefix(id, inc)
	if s, ok := m.d.members.View().Get(id); ok && s.Incarnation == inc {
		prefix = s.KeyPrefix
	}
	k, ok := ledger.ParseKey(prefix + "0")
	return ok && epoch <= k.Epoch
}

// nearestPeer returns a live peer that can hold records of this instance. It
// prefers a peer in another failure domain of the region, then any peer outside
// the failure domain, then any other. If allowSameDomain is set, a peer in the
// same failure domain ranks like any other of the region. Rendezvous hashing
// spreads the instances over peers of equal rank.
func (d *Daemon) nearestPeer(exclude []model.InstanceID, allowSameDomain bool) (model.InstanceID, model.Incarnation, bool) {
	return d.choosePeer(d.alivePeers(), exclude, allowSameDomain)
}

func (d *Daemon) choosePeer(from []*membership.Status, exclude []model.InstanceID, allowSameDomain bool) (model.InstanceID, model.Incarnation, bool) {
	candidates := slices.DeleteFunc(from, func(s *membership.Status) bool { return slices.Contains(exclude, s.ID) })
	if len(candidates) == 0 {
		return "", 0, false
	}
	best := slices.MinFunc(candidates, func(a, b *membership.Status) int {
		return cmp.Or(
			cmp.Compare(d.placementRank(a, allowSameDomain), d.placementRank(b, allowSameDomain)),
			cmp.Compare(rendezvousHash(d.settings.Instance, a.ID), rendezvousHash(d.settings.Instance, b.ID)),
		)
	})
	return best.ID, best.Incarnation, true
}

// placementRank returns the rank of a peer for choosePeer; the lowest is preferred.
func (d *Daemon) placementRank(s *membership.Status, allowSameDomain bool) int {
	switch {
	case s.Region == d.settings.Region && (allowSameDomain || s.Domain != d.settings.Domain):
		return 0
	case s.Domain != d.settings.Domain:
		return 1
	}
	return 2
}

func rendezvousHash(a, b model.InstanceID) uint64 {
	return xxhash.Sum64String(string(a) + "/" + string(b))
}
