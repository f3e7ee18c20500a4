// Package mirror keeps a copy of the platform's store in memory. It lists the
// store once and follows its changes; after a gap in the history it lists
// again. Consumers see changes in order, and the copy survives outages.
package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrCompacted means that the history after the wanted revision is gone.
const ErrCompacted = errors.ConstError("history is no longer available")

// Revision is the store's counter of changes.
type Revision int64

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

// Source is the part of a store that a mirror reads.
type Source interface {
	// List returns the items of all prefixes, and a revision that none of
	// them lacks.
	List(ctx context.Context) ([]Item, Revision, error)
	// Watch waits for changes after the revision, at most for wait. It returns
	// the revision to continue from, or ErrCompacted.
	Watch(ctx context.Context, after Revision, wait time.Duration) ([]Event, Revision, error)
	// Revision returns the current revision. Watches may stay silent although
	// there are changes; this shows it.
	Revision(ctx context.Context) (Revision, error)
}

// Copy is a mirrored store. It is safe for concurrent use.
type Copy struct {
	mu    sync.Mutex
	items map[string]Item
	at    Revision
	// confirmed is when the source last answered.
	confirmed time.Time
	// watching is set while a call of Watch waits, which is proof of a
	// connection by the keep-alive of its connection.
	watching bool
	notify   func([]Event)
	// log holds the latest changes, all that came after logFrom.
	log     []Event
	logFrom Revision
}

// logLength bounds the log of changes that other instances take: some seconds
// of a busy time.
const logLength = 512

// New returns an empty copy. notify is called with the changes in their order,
// without locks of the copy held.
func New(notify func([]Event)) *Copy {
	return &Copy{items: map[string]Item{}, notify: notify}
}

// Position returns the revision of the copy, and how long ago the source last
// answered; a waiting watch counts as an answer.
func (c *Copy) Position(now time.Time) (Revision, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watching {
		return c.at, 0
	}
	return c.at, now.Sub(c.confirmed)
}

// Loaded reports whether the copy holds any state.
func (c *Copy) Loaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at > 0
}

// Snapshot returns all items and the revision.
func (c *Copy) Snapshot() ([]Item, Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Item, 0, len(c.items))
	for _, it := range c.items {
		out = append(out, it)
	}
	return out, c.at
}

// Replace takes a whole state, if it is newer than the copy. Items that it
// lacks are deleted.
func (c *Copy) Replace(items []Item, at Revision) bool {
	c.mu.Lock()
	if at < c.at {
		c.mu.Unlock()
		return false
	}
	events := c.difference(items, at)
	if c.at == 0 {
		c.logFrom = at
	} else {
		c.record(events)
	}
	c.at = at
	c.mu.Unlock()
	if len(events) > 0 {
		c.notify(events)
	}
	return true
}

// difference applies a whole state and returns the changes. Changes that came
// after the state are kept.
func (c *Copy) difference(items []Item, at Revision) []Event {
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

// record adds changes to the log. The lock is held.
func (c *Copy) record(events []Event) {
	c.log = append(c.log, events...)
	if over := len(c.log) - logLength; over > 0 {
		c.logFrom = max(c.logFrom, c.log[over-1].Revision)
		c.log = append([]Event(nil), c.log[over:]...)
	}
}

// Since returns the changes after a revision and the revision of the copy. It
// reports false if the log does not reach back so far.
func (c *Copy) Since(after Revision) ([]Event, Revision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after < c.logFrom || c.at == 0 {
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

// Apply takes changes in their order, and the revision after them.
func (c *Copy) Apply(events []Event, at Revision) {
	c.mu.Lock()
	fresh := events[:0:0]
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
		fresh = append(fresh, e)
	}
	c.record(fresh)
	c.at = max(c.at, at)
	c.mu.Unlock()
	if len(fresh) > 0 {
		c.notify(fresh)
	}
}

// lastAnswer is when the source last answered, or now if it never has.
func (c *Copy) lastAnswer(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmed.IsZero() {
		return now
	}
	return c.confirmed
}

func (c *Copy) answered() {
	c.mu.Lock()
	c.confirmed = time.Now()
	c.mu.Unlock()
}

func (c *Copy) setWatching(on bool) {
	c.mu.Lock()
	c.watching = on
	c.mu.Unlock()
}
