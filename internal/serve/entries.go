package serve

import (
	"time"

	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

// entryHistory remembers the last entry of each endpoint, also of those that have
// gone, so that an older entry in a restored store is not taken for a new one.
// Within an era the store orders the entries, but it may execute a write seconds after
// it was sent. An endpoint that is leaving or has gone does not return by an older
// report of the same process.
type entryHistory struct {
	last map[model.EndpointID]lastEntry
	// gone lists endpoints by the time at which they lost their entries.
	gone []goneEntry
	// held has older entries of endpoints that were not leaving.
	held map[model.EndpointID]heldEntry
}

type lastEntry struct {
	started, sequence int64
	era               model.Era
	leaving           bool
	// goneAt is when the endpoint lost its entry, or zero.
	goneAt time.Time
}

type goneEntry struct {
	id model.EndpointID
	at time.Time
}

// heldEntry is an entry that takes effect at a time unless a later one replaces
// it.
type heldEntry struct {
	event mirror.Event
	era   model.Era
	at    time.Time
}

const (
	// goneTTL is how long an endpoint that has lost its entry is remembered. It is
	// above the age of a copy from which a store is restored.
	goneTTL = 2 * time.Minute
	// maxGone bounds the number of remembered endpoints without an entry.
	maxGone = 10000
	// heldTime is how long an older entry is held back. The entry of an endpoint
	// that has gone expires in the store before.
	heldTime = 10 * time.Second
)

func newEntryHistory() entryHistory {
	return entryHistory{last: map[model.EndpointID]lastEntry{}, held: map[model.EndpointID]heldEntry{}}
}

// put records an entry, and reports false if it is not to be used because it is
// older than the last one.
func (h *entryHistory) put(e steering.Endpoint, c mirror.Event, era model.Era, now time.Time) bool {
	held, wasHeld := h.held[e.ID]
	delete(h.held, e.ID)
	settled := wasHeld && !now.Before(held.at) && held.event.Revision == c.Revision && held.era == era
	if last, ok := h.last[e.ID]; ok && !settled && e.Ordered && last.after(e) && (last.era != era || last.final(e)) {
		if !last.leaving {
			h.held[e.ID] = heldEntry{c, era, now.Add(heldTime)}
		}
		return false
	}
	if e.Ordered {
		h.last[e.ID] = lastEntry{started: e.Started, sequence: e.Sequence, era: era, leaving: e.Leaving}
	} else {
		delete(h.last, e.ID)
	}
	return true
}

// after reports whether an entry was written before the last one. An entry of an
// endpoint that has gone has to pass the last one to count as newer.
func (l lastEntry) after(e steering.Endpoint) bool {
	if e.Started != l.started {
		return e.Started < l.started
	}
	return e.Sequence < l.sequence || e.Sequence == l.sequence && !l.goneAt.IsZero()
}

// final reports whether the entry is of the same process as the last one, after which that
// process did not return by an older report: it was leaving or has gone.
func (l lastEntry) final(e steering.Endpoint) bool {
	return e.Started == l.started && (l.leaving || !l.goneAt.IsZero())
}

// remove records that an endpoint has no entry.
func (h *entryHistory) remove(id model.EndpointID, now time.Time) {
	delete(h.held, id)
	last, ok := h.last[id]
	if !ok || !last.goneAt.IsZero() {
		return
	}
	last.goneAt = now
	h.last[id] = last
	h.gone = append(h.gone, goneEntry{id, now})
}

// expire forgets endpoints that have lost their entries too long ago.
func (h *entryHistory) expire(now time.Time) {
	for len(h.gone) > 0 && (len(h.gone) > maxGone || now.Sub(h.gone[0].at) > goneTTL) {
		g := h.gone[0]
		h.gone = h.gone[1:]
		if h.last[g.id].goneAt.Equal(g.at) {
			delete(h.last, g.id)
		}
	}
}

// due returns the held entries whose time has come.
func (h *entryHistory) due(now time.Time) map[model.EndpointID]heldEntry {
	out := map[model.EndpointID]heldEntry{}
	for id, e := range h.held {
		if !now.Before(e.at) {
			out[id] = e
		}
	}
	return out
}
