// Package mirror keeps a copy of the platform's store in memory. It lists the
// store once and then watches it for changes. If the store has compacted the
// history that it needs or has come back in another era, it lists again. Consumers get the changes in order,
// and the copy stays usable while the store is unavailable.
package mirror

import (
	"bytes"
	"cmp"
	"context"
	"slices"
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
	// Era is the era of the store in which the changes were read.
	Era model.Era
	// Restored means that the changes lead to a copy in a later era. They may
	// return keys to earlier values.
	Restored bool
	// ConfirmedAt is the time as of which the copy is known to have held every change
	// before these.
	ConfirmedAt time.Time
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
	// order is held until notify has returned, so that it gets the changes in
	// order.
	order sync.Mutex
	mu    sync.Mutex
	items map[string]Item
	at    Position
	// respondedAt is when the source last responded.
	respondedAt time.Time
	// watching is set while a Watch call waits. The TCP keep-alives of its
	// connection prove that the source is reachable.
	watching bool
	// confirmedAt is the last time at which the copy is known to have held every
	// change of the source.
	confirmedAt time.Time
	// newer is the first time after confirmedAt at which the copy of another process, at
	// the position newerAt, held every change, or a time before if there is none.
	newer   time.Time
	newerAt Position
	notify  func(Batch)
	// log holds all changes of the era after the revision logFrom, but those of
	// out-of-band keys.
	log     []Event
	logFrom Revision
	// outOfBand selects the out-of-band keys. outOfBandAt is the position of their last
	// change that at covers, or of a later one.
	outOfBand   func(key string) bool
	outOfBandAt Position
}

const (
	// maxLogLength bounds the log of changes that other instances fetch. It covers
	// some seconds of peak load.
	maxLogLength = 512
	// maxLogBytes bounds the keys and values in the log. It holds the largest entries that
	// instances send to each other, 8 KB, in full length.
	maxLogBytes = maxLogLength * 8 << 10
)

// New returns an empty copy. notify is called with the changes in order. It may
// read the copy but not change it.
func New(notify func(Batch)) *Copy {
	return NewOutOfBand(func(string) bool { return false }, notify)
}

// NewOutOfBand returns an empty copy that does not hold the values of some keys: these are
// large, and instances send them to each other out of band, apart from other changes.
// notify gets the changes of such keys that the source returns to this process, also those
// that the copy has passed already. Of changes that other processes know of, only the
// position of the last one is recorded (OutOfBandAt), so that whoever advances past a
// change knows that it exists.
func NewOutOfBand(outOfBand func(key string) bool, notify func(Batch)) *Copy {
	return &Copy{items: map[string]Item{}, notify: notify, outOfBand: outOfBand}
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

// OutOfBandAt returns the position of the last change of an out-of-band key that is known
// to exist, or the zero position. It is not before any such change that the position of
// the copy covers.
func (c *Copy) OutOfBandAt() Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outOfBandAt
}

// AnnounceOutOfBand records that an out-of-band key has changed at a position. It has to be
// called before changes of another process are applied, with what that process knows.
func (c *Copy) AnnounceOutOfBand(at Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announceOutOfBand(at)
}

// announceOutOfBand is AnnounceOutOfBand. The lock is held.
func (c *Copy) announceOutOfBand(at Position) {
	if c.outOfBandAt.Before(at) {
		c.outOfBandAt = at
	}
}

// takeOutOfBand records the changes of out-of-band keys and returns them apart from the
// others. The lock is held.
func (c *Copy) takeOutOfBand(era model.Era, events []Event) (outOfBand, others []Event) {
	if !slices.ContainsFunc(events, func(e Event) bool { return c.outOfBand(e.Key) }) {
		return nil, events
	}
	for _, e := range events {
		if !c.outOfBand(e.Key) {
			others = append(others, e)
			continue
		}
		c.announceOutOfBand(Position{Era: era, Revision: e.Revision})
		outOfBand = append(outOfBand, e)
	}
	return outOfBand, others
}

// Confirm records that the source had no change after a position at a time. It has
// no effect if the copy has not reached the position.
func (c *Copy) Confirm(at Position, when time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.at.Before(at) && when.After(c.confirmedAt) {
		c.confirmedAt = when
	}
}

// Age returns how long ago the copy is known to have held every change of the
// source. It is very long if that has never been known.
func (c *Copy) Age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.confirmedAt)
}

// HeardOf records that the copy of another process at a position held every change of the
// source at a time that is between two known ones. So does this one, once it has reached
// the position.
func (c *Copy) HeardOf(at Position, earliest, latest time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.at.Before(at):
		if earliest.After(c.confirmedAt) {
			c.confirmedAt = earliest
		}
	case latest.After(c.confirmedAt) && !c.confirmedAt.Before(c.newer):
		c.newer, c.newerAt = c.confirmedAt.Add(1), at
		if earliest.After(c.newer) {
			c.newer = earliest
		}
	}
}

// advance moves the copy to a position. The lock is held.
func (c *Copy) advance(at Position) {
	c.at = at
	if c.confirmedAt.Before(c.newer) && !at.Before(c.newerAt) {
		c.confirmedAt = c.newer
	}
}

// longestGap is how long a source has to have responded to nobody to count as down. If all
// processes that watch it are lost, others notice that and take over in about this time.
const longestGap = 1200 * time.Millisecond

// CompleteUntil returns a time until which this copy is taken to hold every change of the
// source. heardUntil is the time until which everything has arrived that other processes
// have sent to this one.
//
// That is the time as of which the copy is confirmed. In an outage of the source it goes
// on to the time as of which no other copy is known to be more recent: if there was none
// for longer than any two responses are apart, the source has responded to nobody.
func (c *Copy) CompleteUntil(heardUntil time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := heardUntil
	if c.confirmedAt.Before(c.newer) && c.newer.Before(until) {
		until = c.newer
	}
	if until.Sub(c.confirmedAt) > longestGap {
		return until
	}
	return c.confirmedAt
}

// Loaded reports whether the copy has ever been filled.
func (c *Copy) Loaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at != Position{}
}

// ConfirmedWithout reports whether the copy is known to have held every change of the source
// at some time after the given one, and lacks a key.
func (c *Copy) ConfirmedWithout(key string, after time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.items[key]
	return !ok && c.confirmedAt.After(after)
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
// unless that is before the copy's. It reports whether it did. The items of out-of-band
// keys count in any case, unless the listing is of an earlier era.
func (c *Copy) Replace(from model.InstanceID, items []Item, at Position) bool {
	c.order.Lock()
	defer c.order.Unlock()
	c.mu.Lock()
	before := c.at
	b := Batch{From: from, Era: at.Era, ConfirmedAt: c.confirmedAt, Restored: before != Position{} && at.Era != before.Era}
	if at.Era < before.Era {
		c.mu.Unlock()
		return false
	}
	outOfBand, items := c.takeOutOfBandItems(at.Era, items)
	if at.Before(before) {
		b.Events, b.Restored = outOfBand, false
		c.mu.Unlock()
		if len(b.Events) > 0 {
			c.notify(b)
		}
		return false
	}
	if before == (Position{}) || b.Restored {
		b.Events = c.replaceAll(items, at.Revision)
	} else {
		b.Events = c.replaceItems(items, at.Revision)
	}
	b.Events = append(outOfBand, b.Events...)
	// A listing does not show keys that were written and deleted again since the
	// last position, so other copies between the two need all items.
	c.log, c.logFrom = nil, at.Revision
	c.appendLog(newerItems(c.items, at.Revision))
	c.advance(at)
	c.mu.Unlock()
	if len(b.Events) > 0 {
		c.notify(b)
	}
	return true
}

// takeOutOfBandItems is takeOutOfBand for a listing. The lock is held.
func (c *Copy) takeOutOfBandItems(era model.Era, items []Item) (outOfBand []Event, others []Item) {
	for _, it := range items {
		if !c.outOfBand(it.Key) {
			others = append(others, it)
			continue
		}
		c.announceOutOfBand(Position{Era: era, Revision: it.Revision})
		outOfBand = append(outOfBand, Event{Item: it})
	}
	return outOfBand, others
}

// replaceAll replaces the items by those of a listing in another era and returns
// the changes. The lock is held.
func (c *Copy) replaceAll(items []Item, at Revision) []Event {
	var events []Event
	old := c.items
	c.items = make(map[string]Item, len(items))
	for _, it := range items {
		c.items[it.Key] = it
		if o, ok := old[it.Key]; !ok || o.Revision != it.Revision || !bytes.Equal(o.Value, it.Value) {
			events = append(events, Event{Item: it})
		}
	}
	for key := range old {
		if _, ok := c.items[key]; !ok {
			events = append(events, Event{Item: Item{Key: key, Revision: at}, Deleted: true})
		}
	}
	return events
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

// newerItems returns the items that changed after a listing began, as changes in
// order.
func newerItems(items map[string]Item, at Revision) []Event {
	var out []Event
	for _, it := range items {
		if it.Revision > at {
			out = append(out, Event{Item: it})
		}
	}
	slices.SortFunc(out, func(a, b Event) int { return cmp.Compare(a.Revision, b.Revision) })
	return out
}

// appendLog adds changes to the log and drops the oldest ones if it is full. The
// lock is held.
func (c *Copy) appendLog(events []Event) {
	c.log = append(c.log, events...)
	keep, size := 0, 0
	for keep < min(len(c.log), maxLogLength) {
		e := c.log[len(c.log)-1-keep]
		if size += len(e.Key) + len(e.Value); size > maxLogBytes {
			break
		}
		keep++
	}
	if over := len(c.log) - keep; over > 0 {
		for _, e := range c.log[:over] {
			c.logFrom = max(c.logFrom, e.Revision)
		}
		c.log = append([]Event(nil), c.log[over:]...)
	}
}

// Since returns the changes after a position, and the position of the copy. The
// last result is false if the log does not reach back to the requested position.
func (c *Copy) Since(after Position) ([]Event, Position, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after.Era != c.at.Era || after.Revision < c.logFrom || c.at == (Position{}) {
		return nil, c.at, false
	}
	var out []Event
	for _, e := range c.log {
		if e.Revision > after.Revision {
			out = append(out, e)
		}
	}
	return out, c.at, true
}

// Apply applies changes in order and advances the copy to the position at.
// Changes that the copy already contains are skipped, unless their keys are out of band.
// It reports false, without effect, if the changes are of another era than the copy.
func (c *Copy) Apply(from model.InstanceID, events []Event, at Position) bool {
	c.order.Lock()
	defer c.order.Unlock()
	c.mu.Lock()
	if at.Era != c.at.Era {
		c.mu.Unlock()
		return false
	}
	confirmedAt := c.confirmedAt
	outOfBand, others := c.takeOutOfBand(at.Era, events)
	applied := c.applyItems(others)
	c.appendLog(applied)
	c.advance(Position{Era: at.Era, Revision: max(c.at.Revision, at.Revision)})
	c.mu.Unlock()
	if changes := append(outOfBand, applied...); len(changes) > 0 {
		c.notify(Batch{Events: changes, From: from, Era: at.Era, ConfirmedAt: confirmedAt})
	}
	return true
}

// applyItems applies changes to the items and returns those that the copy did not
// contain. The lock is held.
func (c *Copy) applyItems(events []Event) []Event {
	var applied []Event
	for _, e := range events {
		if old, ok := c.items[e.Key]; e.Revision <= c.at.Revision || ok && e.Revision <= old.Revision {
			continue
		}
		if e.Deleted {
			delete(c.items, e.Key)
		} else {
			c.items[e.Key] = e.Item
		}
		applied = append(applied, e)
	}
	return applied
}

// lastKnownResponse returns when the source is last known to have responded to this
// process or another one, or the zero time.
func (c *Copy) lastKnownResponse() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmedAt.After(c.respondedAt) {
		return c.confirmedAt
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
