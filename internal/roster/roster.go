// Package roster updates the routing table in deployments whose platform
// provides a list of endpoints. It combines the list with drains by operators
// and with notices of other instances that an endpoint is leaving.
package roster

import (
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

// LeavingHold is how long an endpoint stays marked as leaving although a later
// list shows it as live. Lists lag by some seconds, and an older one may arrive
// after a newer one.
const LeavingHold = 60 * time.Second

// Roster combines the sources of the state of the endpoints and writes the
// result to the routing table. It is safe for concurrent use.
type Roster struct {
	table *steering.Table
	// changed is called with each change of an endpoint.
	changed func(id model.EndpointID, change string)

	mu     sync.Mutex
	listed []model.Endpoint
	// leaving holds, by endpoint, until when it stays marked as leaving.
	leaving          map[model.EndpointID]time.Time
	drainedEndpoints map[model.EndpointID]bool
	drainedDomains   map[model.Domain]bool
}

// New returns a roster without endpoints. changed is called with the change
// "added", "leaving", "restarted" or "gone", while the roster's lock is held.
func New(table *steering.Table, changed func(id model.EndpointID, change string)) *Roster {
	return &Roster{table: table, changed: changed, leaving: map[model.EndpointID]time.Time{}}
}

// SetEndpoints replaces the list of endpoints.
func (r *Roster) SetEndpoints(now time.Time, list []model.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.listed
	r.listed = list
	known := make(map[model.EndpointID]bool, len(list))
	for _, e := range list {
		known[e.ID] = true
		if e.Leaving {
			r.leaving[e.ID] = now.Add(LeavingHold)
		}
	}
	for id, until := range r.leaving {
		if !now.Before(until) {
			delete(r.leaving, id)
		}
	}
	for _, e := range old {
		if !known[e.ID] && r.table.Remove(e.ID, now) {
			r.changed(e.ID, "gone")
		}
	}
	r.put(now)
}

// MarkLeaving marks an endpoint as leaving at once, on a notice that did not come
// with the list.
func (r *Roster) MarkLeaving(now time.Time, id model.EndpointID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving[id] = now.Add(LeavingHold)
	r.put(now)
}

// SetDrained replaces the endpoints and failure domains that operators drain.
// Unlike an endpoint marked as leaving, a drained one is in use again as soon
// as the drain ends.
func (r *Roster) SetDrained(now time.Time, endpoints map[model.EndpointID]bool, domains map[model.Domain]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainedEndpoints, r.drainedDomains = endpoints, domains
	r.put(now)
}

// put updates the routing table. The lock is held.
func (r *Roster) put(now time.Time) {
	for _, e := range r.listed {
		until, marked := r.leaving[e.ID]
		change := r.table.Put(steering.Endpoint{
			ID: e.ID, Service: e.Service, Addr: e.Addr, Domain: e.Domain, Region: e.Region, Slots: e.Slots,
			Leaving: e.Leaving || marked && now.Before(until) || r.drainedEndpoints[e.ID] || r.drainedDomains[e.Domain],
		}, now)
		if change != "" {
			r.changed(e.ID, change)
		}
	}
}
