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

// listingCache keeps the platform's last list. A failed reading changes
// nothing.
type listingCache struct {
	// began is when the present reading of the list began.
	began   atomic.Pointer[time.Time]
	mu      sync.Mutex
	ids     []model.InstanceID
	at      time.Time
	failing bool
	// leaving is what the last reading said of each endpoint. Only the
	// goroutine that reads the list uses it.
	leaving map[model.EndpointID]bool
}

// timedSource notes when each reading of the list begins. Readings do not
// overlap.
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

// onListing takes a reading of the platform's list.
func (d *Daemon) onListing(l instancelist.Listing, err error) {
	if changed := d.listing.take(l, *d.listing.began.Load(), err); changed && err != nil {
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

// reportLeaving tells the other instances which endpoints have changed between
// leaving and live since the last reading. The first reading reports those that
// are leaving: another instance's list may lag behind this one's.
func (d *Daemon) reportLeaving(now time.Time, endpoints []model.Endpoint) {
	news := false
	leaving := make(map[model.EndpointID]bool, len(endpoints))
	for _, e := range endpoints {
		leaving[e.ID] = e.Leaving
		if e.Leaving != d.listing.leaving[e.ID] {
			news = d.notices.Report(now, e.ID, e.Leaving) || news
		}
	}
	d.listing.leaving = leaving
	if news {
		d.members.Notify(d.notices.Name())
	}
}

// onNotice takes a leaving endpoint out of use before this instance's own
// reading of the list shows it.
func (d *Daemon) onNotice(n membership.Notice) {
	if n.Leaving {
		d.roster.MarkLeaving(time.Now(), n.Endpoint)
		d.log.Log(events.EndpointLeaving).Str("endpoint", string(n.Endpoint)).Send()
	}
}

// take keeps a reading and reports whether the list began or ceased to fail.
func (c *listingCache) take(l instancelist.Listing, began time.Time, err error) bool {
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
	for _, s := range m.d.alive() {
		out = append(out, capacity.Peer{ID: s.ID, Region: s.Region, Domain: s.Domain})
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

// alive returns the other instances that take work.
func (d *Daemon) alive() []*membership.Status {
	return d.others(membership.StateAlive)
}

// others returns the other instances in a state.
func (d *Daemon) others(state membership.State) []*membership.Status {
	var out []*membership.Status
	for _, s := range d.members.View().Members {
		if s.State == state && s.ID != d.settings.Instance {
			out = append(out, s)
		}
	}
	return out
}

// relays returns the instances that watch the store.
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
	if id, inc, ok := m.d.nearest(exclude, false); ok {
		return id, inc, true
	}
	// When all instances start together none is ready yet. A key without a
	// witness could not be answered for after its owner has gone.
	return m.d.choose(m.d.others(membership.StateLeaving), exclude, false)
}

// Successor implements ledger.Members.
func (m ledgerMembers) Successor(id model.InstanceID, inc model.Incarnation) (model.InstanceID, bool) {
	if s, ok := m.d.members.View().Get(id); ok && s.Incarnation == inc && s.Successor != "" {
		return s.Successor, true
	}
	return m.d.past.successor(id, inc)
}

// KnownEpoch implements ledger.Members.
func (m ledgerMembers) KnownEpoch(id model.InstanceID, inc model.Incarnation, epoch uint64) bool {
	prefix := m.d.past.prefix(id, inc)
	if s, ok := m.d.members.View().Get(id); ok && s.Incarnation == inc {
		prefix = s.KeyPrefix
	}
	k, ok := ledger.ParseKey(prefix + "0")
	return ok && epoch <= k.Epoch
}

// nearest returns a live peer to keep records at: in another failure domain of
// the region if there is one, else anywhere outside the failure domain, else
// any. Rendezvous hashing spreads the instances over the peers. With sameFirst
// a peer of the failure domain is as good as any of the region.
func (d *Daemon) nearest(exclude []model.InstanceID, sameFirst bool) (model.InstanceID, model.Incarnation, bool) {
	return d.choose(d.alive(), exclude, sameFirst)
}

func (d *Daemon) choose(from []*membership.Status, exclude []model.InstanceID, sameFirst bool) (model.InstanceID, model.Incarnation, bool) {
	candidates := slices.DeleteFunc(from, func(s *membership.Status) bool { return slices.Contains(exclude, s.ID) })
	if len(candidates) == 0 {
		return "", 0, false
	}
	best := slices.MinFunc(candidates, func(a, b *membership.Status) int {
		return cmp.Or(
			cmp.Compare(d.distance(a, sameFirst), d.distance(b, sameFirst)),
			cmp.Compare(pairHash(d.settings.Instance, a.ID), pairHash(d.settings.Instance, b.ID)),
		)
	})
	return best.ID, best.Incarnation, true
}

func (d *Daemon) distance(s *membership.Status, sameFirst bool) int {
	switch {
	case s.Region == d.settings.Region && (sameFirst || s.Domain != d.settings.Domain):
		return 0
	case s.Domain != d.settings.Domain:
		return 1
	}
	return 2
}

func pairHash(a, b model.InstanceID) uint64 {
	return xxhash.Sum64String(string(a) + "/" + string(b))
}
