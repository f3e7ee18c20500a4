// Package roster keeps the endpoints of the table of a deployment whose
// platform lists them, with drains by operators and notices of other instances.
package roster

import (
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

// LeavingHold is how long a leaving endpoint stays out although a list shows it
// as live: lists of different age come in any order, and lag by some seconds.
const LeavingHold = 60 * time.Second

// Roster joins what is known of the endpoints. It is safe for concurrent use.
type Roster struct {
	table *steering.Table
	// changed is told of each change of an endpoint.
	changed func(id model.EndpointID, change string)

	mu     sync.Mutex
	listed []model.Endpoint
	// leaving holds until when endpoints stay out.
	leaving          map[model.EndpointID]time.Time
	drainedEndpoints map[model.EndpointID]bool
	drainedDomains   map[model.Domain]bool
}

// New returns a roster without endpoints. changed gets "added", "leaving",
// "restarted" and "gone".
func New(table *steering.Table, changed func(id model.EndpointID, change string)) *Roster {
	return &Roster{table: table, changed: changed, leaving: map[model.EndpointID]time.Time{}}
}

// SetEndpoints replaces the list.
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

// MarkLeaving takes an endpoint out at once on a notice that did not come with the
// list.
func (r *Roster) MarkLeaving(now time.Time, id model.EndpointID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving[id] = now.Add(LeavingHold)
	r.put(now)
}

// SetDrained keeps out the endpoints that operators drain. Unlike a leaving one
// a drained endpoint is back as soon as the drain ends.
func (r *Roster) SetDrained(now time.Time, endpoints map[model.EndpointID]bool, domains map[model.Domain]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainedEndpoints, r.drainedDomains = endpoints, domains
	r.put(now)
}

// put brings the table up to date. The lock is held.
func (r *Roster) put(now time.Time) {
	for _, e := range r.listed {
		until, left := r.leaving[e.ID]
		change := r.table.Put(steering.Endpoint{
			ID: e.ID, Service: e.Service, Addr: e.Addr, Domain: e.Domain, Region: e.Region, Slots: e.Slots,
			Leaving: e.Leaving || left && now.Before(until) || r.drainedEndpoints[e.ID] || r.drainedDomains[e.Domain],
		}, now)
		if change != "" {
			r.changed(e.ID, change)
		}
	}
}
