package steering

import (
	"net/netip"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// An endpoint that is leaving says so in its responses too, at times before its entry
// does, and a store that lags or was restored may have an entry that still calls it
// ready. Its own word therefore holds until another process of the endpoint starts.

// departure identifies the process of an endpoint that is leaving.
type departure struct {
	started int64
	addr    netip.AddrPort
	// at is when this instance learned of it.
	at time.Time
}

// departures holds the departures that are remembered, by endpoint.
type departures map[model.EndpointID]departure

const (
	// departureTTL is how long a departure is remembered. An endpoint exits long
	// before that.
	departureTTL = 10 * time.Minute
	// maxDepartures bounds the number of departures.
	maxDepartures = 10000
	// departureNewsTime is how long other instances are told of a departure.
	departureNewsTime = 10 * time.Second
)

// has reports whether the process that an entry describes is leaving.
func (d departures) has(e Endpoint) bool {
	known, ok := d[e.ID]
	return ok && known.started == e.Started && known.addr == e.Addr
}

// add remembers the process of an endpoint. It forgets what is too old, and the oldest
// if there are too many.
func (d departures) add(e Endpoint, now time.Time) {
	d[e.ID] = departure{e.Started, e.Addr, now}
	if len(d) <= maxDepartures {
		return
	}
	oldest := e.ID
	for id, known := range d {
		if now.Sub(known.at) > departureTTL {
			delete(d, id)
		} else if known.at.Before(d[oldest].at) {
			oldest = id
		}
	}
	if len(d) > maxDepartures {
		delete(d, oldest)
	}
}

// Departure says that a process of an endpoint is leaving. Endpoint is the wire ID of
// the endpoint and Started the start of the process in Unix milliseconds.
type Departure struct {
	Endpoint uint32
	Started  int64
}

// RecordLeaving records that a process of an endpoint has said that it is leaving. e
// is the endpoint as it was when the request was sent. It reports whether that is news;
// it is not if another process has started since.
func (t *Table) RecordLeaving(e Endpoint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.endpoints[e.ID]
	return known != nil && known.Started == e.Started && known.Addr == e.Addr && t.leave(known, now)
}

// leave marks the process of an endpoint as leaving. It reports whether that is news.
// The lock is held.
func (t *Table) leave(e *endpoint, now time.Time) bool {
	if t.left.has(e.Endpoint) {
		return false
	}
	t.left.add(e.Endpoint, now)
	e.Leaving = true
	return true
}

// RecentDepartures returns the departures of which all instances are to be told, in no
// particular order.
func (t *Table) RecentDepartures(now time.Time) []Departure {
	return t.departures(now, departureNewsTime)
}

// hasLeft reports whether the process that an entry describes is leaving by its own
// word. The lock is held.
func (t *Table) hasLeft(e Endpoint, now time.Time) bool {
	wire := wireIDOf(e.ID)
	if started, ok := t.unknownLeft[wire]; ok {
		delete(t.unknownLeft, wire)
		if started == e.Started {
			t.left.add(e, now)
		}
	}
	return t.left.has(e)
}

// AllDepartures returns all departures that are remembered, for a new process.
func (t *Table) AllDepartures(now time.Time) []Departure { return t.departures(now, departureTTL) }

// departures returns the departures of endpoints in the table that were learned at most
// maxAge ago.
func (t *Table) departures(now time.Time, maxAge time.Duration) []Departure {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Departure
	for id, d := range t.left {
		if e := t.endpoints[id]; e != nil && now.Sub(d.at) < maxAge {
			out = append(out, Departure{e.wireID, d.started})
		}
	}
	return out
}

// MergeDepartures takes over the departures that another instance knows. It returns
// the endpoints that were not known to be leaving by their own word.
func (t *Table) MergeDepartures(list []Departure, now time.Time) []model.EndpointID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news []model.EndpointID
	for _, d := range list {
		switch e := t.byWireID[d.Endpoint]; {
		case e == nil && len(t.unknownLeft) < maxDepartures:
			t.unknownLeft[d.Endpoint] = d.Started
		case e != nil && e.Started == d.Started && t.leave(e, now):
			news = append(news, e.ID)
		}
	}
	return news
}
