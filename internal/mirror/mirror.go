// Package mirror keeps a copy of the platform's store in memory. It lists the
// store once and then watches it for changes. If the store has compacted the
// history that it needs, it lists again. Consumers get the changes in order,
// and the copy stays usable while the store is unavailable.
package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
)

// ErrCompacted means that the store no longer has the history after the requested
// revision.
const ErrCompacted = errors.ConstError("history is no longer available")

// Item is one key with its value and the revision of its last change.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
}

// Event is a change of one key. Deleted events have no value.
type Event struct {
	Item
	Deleted bool
}

// Batch is a series of changes in order.
type Batch struct {
	Events []Event
	// From is the instance that the changes were fetched from. It is empty if they
	// come from the store.
	From model.InstanceID
}

// Source is the read access to a store that a Follower needs.
type Source interface {
	// List returns all items, and a position up to which they contain every
	// change.
	List(ctx context.Context) ([]Item, Position, error)
	// Watch waits up to wait for changes after the position. It returns them and
	// the position to continue from, or ErrCompacted.
	Watch(ctx context.Context, after Position, wait time.Duration) ([]Event, Position, error)
	// Position returns the current position. It serves to detect a watch that
	// does not deliver changes.
	Position(ctx context.Context) (Position, error)
}

// Copy is an in-memory copy of a store. It is safe for concurrent use.
type Copy struct {
	mu    sync.Mutex
	items map[string]Item
	at    Position
	// respondedAt is when the source last responded.
	respondedAt time.Time
	// watching is set while a Watch call waits. The TCP keep-alives of its
	// connection prove that the source is reachable.
	watching bool
	notify   func(Batch)
	// log holds all changes after the revision logFrom.
	log     []Event
	logFrom Revision
}

// maxLogLength bounds the log of changes that other instances fetch. It covers
// some seconds of peak load.
const maxLogLength = 512

// New returns an empty copy. notify is called with the changes in order, while
// the lock of the copy is not held.
func New(notify func(Batch)) *Copy {
	return &Copy{items: map[string]Item{}, notify: notify}
}

// Position returns the position of the copy and how long ago the source last
// responded. The latter is 0 while a watch waits.
func (c *Copy) Position(now time.Time) (Position, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watching {
		return c.at, 0
	}
	return c.at, now.Sub(c.respondedAt)
}

// Loaded reports whether the copy has ever been filled.
func (c *Copy) Loaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at.Revision > 0
}

// Snapshot returns all items and the position.
func (c *Copy) Snapshot() ([]Item, Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Item, 0, len(c.items))
	for _, it := range c.items {
		out = append(out, it)
	}
	return out, c.at
}

// Replace replaces the content by a full listing of the store at a position,
// unless its revision is older than the copy's. It reports whether it did.
func (c *Copy) Replace(from model.InstanceID, items []Item, at Position) bool {
	c.mu.Lock()
	if at.Revision < c.at.Revision {
		c.mu.Unlock()
		return false
	}
	events := c.replaceItems(items, at.Revision)
	if c.at.Revision == 0 {
		c.logFrom = at.Revision
	} else {
		c.appendLog(events)
	}
	c.at = at
	c.mu.Unlock()
	if len(events) > 0 {
		c.notify(Batch{Events: events, From: from})
	}
	return true
}

// replaceItems replaces the items by those of a listing and returns the changes.
// Items that have changed after the listing are kept. The lock is held.
func (c *Copy) replaceItems(items []Item, at Revision) []Event {
	var events []Event
	seen := make(map[string]bool, len(items))
	for _, it := range items {
		seen[it.Key] = true
		if old, ok := c.items[it.Key]; !ok || it.Revision > old.Revision {
			c.items[it.Key] = it
			events = append(events, Event{Item: it})
		}
	}
	for key, it := range c.items {
		if !seen[key] && it.Revision <= at {
			delete(c.items, key)
			events = append(events, Event{Item: Item{Key: key, Revision: at}, Deleted: true})
		}
	}
	return events
}

// appendLog adds changes to the log and drops the oldest ones if it is full. The
// lock is held.
func (c *Copy) appendLog(events []Event) {
	c.log = append(c.log, events...)
	if over := len(c.log) - maxLogLength; over > 0 {
		c.logFrom = max(c.logFrom, c.log[over-1].Revision)
		c.log = append([]Event(nil), c.log[over:]...)
	}
}

// Since returns the changes after a revision, and the position of the copy. The
// last result is false if the log does not reach back to the requested
// revision.
func (c *Copy) Since(after Revision) ([]Event, Position, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after < c.logFrom || c.at.Revision == 0 {
		return nil, c.at, false
	}
	var out []Event
	for _, e := range c.log {
		if e.Revision > after {
			out = append(out, e)
		}
	}
	return out, c.at, true
}

// Apply applies changes in order and advances the copy to the position at.
// Changes that the copy already contains are skipped.
func (c *Copy) Apply(from model.InstanceID, events []Event, at Position) {
	c.mu.Lock()
	applied := events[:0:0]
	for _, e := range events {
		old, ok := c.items[e.Key]
		if ok && e.Revision <= old.Revision {
			continue
		}
		if e.Deleted {
			delete(c.items, e.Key)
		} else {
			c.items[e.Key] = e.Item
		}
		applied = append(applied, e)
	}
	c.appendLog(applied)
	c.at.Revision = max(c.at.Revision, at.Revision)
	c.mu.Unlock()
	if len(applied) > 0 {
		c.notify(Batch{Events: applied, From: from})
	}
}

// recordEra sets the era of the copy. It returns the position before and whether
// it was in another era that is known.
func (c *Copy) recordEra(era model.Era) (Position, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.at
	c.at.Era = era
	return before, before.Era != 0 && before.Era != era
}

// lastResponse returns when the source last responded, or now if it never has.
func (c *Copy) lastResponse(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.respondedAt.IsZero() {
		return now
	}
	return c.respondedAt
}

func (c *Copy) recordResponse() {
	c.mu.Lock()
	c.respondedAt = time.Now()
	c.mu.Unlock()
}

func (c *Copy) setWatching(on bool) {
	c.mu.Lock()
	c.watching = on
	c.mu.Unlock()
}
