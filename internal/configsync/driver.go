package configsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/store"
)

const (
	// startWait is how long a starting instance waits for a document from its
	// neighbours before it reads the store.
	startWait = 2 * time.Second
	// watchTimeout is the timeout of one watch. After a restore from an older
	// backup, it may be long before the store reaches the watched revision
	// again. Therefore the key is read after each watch, which with 20 relays
	// makes 4 reads per second.
	watchTimeout = 5 * time.Second
	// relayPollInterval is the interval at which an instance that is not a relay
	// checks whether it has become one.
	relayPollInterval = 250 * time.Millisecond
	// minBackoff and maxBackoff limit the delay after a failed call to the
	// store. Rules must be in force on all instances within 4 s, also after an
	// outage of the store, so the maximum is half of that.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// forkRetryDelay is how long a relay waits before it tries again to resolve
	// a fork.
	forkRetryDelay = 200 * time.Millisecond
	// storeTimeout is the timeout of one synchronization with the store, without
	// the watch.
	storeTimeout = 2 * time.Second
)

// EventKind is the kind of an event that a Driver or Editor reports.
type EventKind string

// The kinds of events.
const (
	// EventInForce: a document from the store came into force.
	EventInForce EventKind = "rules-in-force"
	// EventStoreBehind: the store held an older document than this instance,
	// whose document was written back to the store.
	EventStoreBehind EventKind = "rules-store-behind"
	// EventForked: the store, or a digest from a neighbour, showed a document
	// that does not descend from the one in force at this instance. One of the
	// two was reissued with a higher revision and overrules the other.
	EventForked EventKind = "rules-forked"
	// EventInvalid: the store holds a malformed document or invalid rules.
	EventInvalid EventKind = "rules-invalid"
	// EventStoreDown and EventStoreUp: calls to the store fail, or succeed
	// again.
	EventStoreDown EventKind = "rules-store-down"
	EventStoreUp   EventKind = "rules-store-up"
	// EventHistory: the history of the rules could not be updated.
	EventHistory EventKind = "rules-history-failed"
)

// Event is a change or failure that is reported to operators.
type Event struct {
	Kind EventKind
	// InForce is the document in force at this instance after the event.
	InForce Head
	// Stored is the document that the store held before the event. Only a Driver
	// sets it, for EventInForce, EventStoreBehind and EventForked.
	Stored Head
	// Err is the cause of EventInvalid, EventStoreDown and EventHistory.
	Err error
}

// Driver keeps the State of one instance in sync with the store.
type Driver struct {
	// All exported fields are required. Rand is used only by the goroutine that
	// calls Run.
	State   *State
	Store   store.Store
	Relays  RelayClient
	IsRelay func() bool
	Rand    *rand.Rand
	Report  func(Event)

	failures int
	// forkSince is when the current fork between the store and this instance, or
	// a restore of the store, was first detected, or zero.
	forkSince time.Time
	// reportedInvalid is the store revision of the last invalid value that was
	// reported, so that each is reported once.
	reportedInvalid store.Revision
}

// Run synchronizes until the context ends. A relay watches the store. Any other
// instance calls the store only while it has no document and no neighbour has
// been in contact, and not before startWait has passed.
func (d *Driver) Run(ctx context.Context) {
	d.awaitNeighbours(ctx)
	for ctx.Err() == nil {
		if !d.IsRelay() && (d.State.Ready() || d.State.Contacted()) {
			d.State.setSynced(false)
			sleep(ctx, relayPollInterval)
			continue
		}
		d.syncAndWait(ctx)
	}
}

// awaitNeighbours waits up to startWait for a document from a neighbour. Relays
// wait too, because the document in the store may be older than that of the
// neighbours.
func (d *Driver) awaitNeighbours(ctx context.Context) {
	for waited := time.Duration(0); waited < startWait && !d.State.Ready() && ctx.Err() == nil; waited += relayPollInterval {
		sleep(ctx, relayPollInterval)
	}
}

// syncAndWait synchronizes with the store once and waits for the next change.
// After an error it waits before the caller tries again.
func (d *Driver) syncAndWait(ctx context.Context) {
	revision, err := d.syncOnce(ctx)
	if err == nil {
		err = d.awaitChange(ctx, revision)
	}
	switch {
	case ctx.Err() != nil:
	case errors.Is(err, errForkUnresolved), errors.Is(err, errStoreRestored):
		sleep(ctx, forkRetryDelay)
	case err != nil:
		d.backOff(ctx, err)
	case d.failures > 0:
		// The count of failures is reset only after the read and the watch have
		// both succeeded. Otherwise the delay would not grow while only watches
		// fail.
		d.failures = 0
		d.report(Event{Kind: EventStoreUp})
	}
}

// awaitChange waits until the document in the store has changed or
// watchTimeout has passed.
func (d *Driver) awaitChange(ctx context.Context, after store.Revision) error {
	if !d.IsRelay() {
		// Reached only by an instance that has no document and no contact to a
		// neighbour.
		sleep(ctx, maxBackoff)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	_, err := d.Store.Watch(ctx, Key, after)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Trace(err)
}

// syncOnce reads the document in the store, compares it with the one in force,
// and updates the older of the two. It returns the store revision of the key.
func (d *Driver) syncOnce(ctx context.Context) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	kv, stored, err := read(ctx, d.Store)
	if errors.Is(err, ErrMalformed) {
		d.reportInvalid(kv, err)
		d.State.setSynced(true)
		return kv.Revision, nil
	}
	if err != nil {
		return 0, errors.Trace(err)
	}
	revision, err := d.reconcile(ctx, kv, stored, d.State.Document())
	if err == nil {
		d.State.setSynced(true)
	}
	return revision, err
}

// reconcile applies the stored document, writes the local one back, or resolves
// a fork, depending on how the two documents relate.
func (d *Driver) reconcile(ctx context.Context, kv store.KeyValue, stored, local Document) (store.Revision, error) {
	if stored.needsRecovery(kv, local.Head) {
		return d.recover(ctx, kv, stored)
	}
	switch stored.relate(local.Head) {
	case newer:
		v, err := d.State.adopt(stored)
		if err != nil {
			d.reportInvalid(kv, err)
		}
		if v == Applied && stored.Hash != local.Hash {
			d.report(Event{Kind: EventInForce, Stored: stored.Head})
		}
		return kv.Revision, nil
	case older:
		if stored.certified(kv) {
			// The local document was written after the read.
			return kv.Revision, nil
		}
		return d.writeBack(ctx, kv, local, Event{Kind: EventStoreBehind, Stored: stored.Head})
	case forked:
		return d.resolveFork(ctx, kv, stored, local)
	}
	d.forkSince = time.Time{}
	if other, stale := d.State.unresolvedFork(); stale {
		return d.writeBack(ctx, kv, local.reissue(other), Event{Kind: EventForked, Stored: stored.Head})
	}
	if kv.Era > 0 && stored.Revision > 0 && !stored.certified(kv) {
		return d.writeBack(ctx, kv, local, Event{})
	}
	return kv.Revision, nil
}

// errForkUnresolved means that neither branch of a fork has a known majority of
// the relays yet.
const errForkUnresolved = errors.ConstError("fork of the rules document is not resolved yet")

// resolveFork resolves a fork between the store and this relay. An accepted
// document is in force at more than half of the relays, so the branch of a
// majority wins. Without a majority the relay retries, and after
// forkGracePeriod the branch of more relays wins, or the stored branch if both
// have the same number. A relay that has not synced yet may have its document
// from any neighbour, so its own document does not count.
func (d *Driver) resolveFork(ctx context.Context, kv store.KeyValue, stored, local Document) (store.Revision, error) {
	if !d.IsRelay() {
		return kv.Revision, nil
	}
	graceOver := d.graceOver()
	heads, queried := d.Relays.Heads(ctx)
	ours, theirs := 0, 0
	if d.State.Synced() {
		ours = 1
	}
	for _, a := range heads {
		switch {
		case a.Head.includes(local.Head):
			ours++
		case a.Head.includes(stored.Head):
			theirs++
		}
	}
	total := queried + 1
	if 2*max(ours, theirs) <= total && !graceOver {
		return 0, errForkUnresolved
	}
	winner, loser := stored, local
	if ours > theirs {
		winner, loser = local, stored
	}
	if _, err := winner.parseRules(); err != nil {
		winner, loser = local, stored
	}
	return d.writeBack(ctx, kv, winner.reissue(loser.Head), Event{Kind: EventForked, Stored: stored.Head})
}

// writeBack writes a document to the store, puts it in force, and reports the
// event if it has a kind. If the store has changed since it was read, nothing is
// done and the next synchronization compares again.
func (d *Driver) writeBack(ctx context.Context, kv store.KeyValue, doc Document, e Event) (store.Revision, error) {
	if !d.IsRelay() {
		return kv.Revision, nil
	}
	doc.Position = positionAfter(kv)
	value, err := doc.Encode()
	if err != nil {
		return 0, errors.Trace(err)
	}
	res, err := d.Store.CompareAndSwap(ctx, Key, kv.Revision, value, 0)
	if err != nil || !res.Swapped {
		return kv.Revision, errors.Trace(err)
	}
	if res.Current.Era != kv.Era {
		return 0, errStoreRestored
	}
	if _, err := d.State.adopt(doc); err != nil {
		return 0, errors.Trace(err)
	}
	d.forkSince = time.Time{}
	if e.Kind != "" {
		d.report(e)
	}
	return res.Current.Revision, nil
}

// read returns the key-value pair and the document decoded from it. If the key
// is absent, the document is zero and the pair has only the key.
func read(ctx context.Context, s store.Store) (store.KeyValue, Document, error) {
	kv, err := s.Get(ctx, Key)
	if errors.Is(err, store.ErrNotFound) {
		return store.KeyValue{Key: Key, Era: kv.Era}, Document{}, nil
	}
	if err != nil {
		return store.KeyValue{}, Document{}, errors.Trace(err)
	}
	doc, err := Decode(kv.Value)
	return kv, doc, errors.Trace(err)
}

// backOff waits after a failed synchronization and reports the first failure of
// a series.
func (d *Driver) backOff(ctx context.Context, err error) {
	if d.failures == 0 {
		d.report(Event{Kind: EventStoreDown, Err: err})
	}
	sleep(ctx, backoff(d.Rand, d.failures))
	d.failures++
}

// backoff returns an exponential delay with full jitter.
func backoff(r *rand.Rand, failures int) time.Duration {
	limit := maxBackoff
	if failures < 6 {
		limit = min(limit, minBackoff<<failures)
	}
	return time.Millisecond + time.Duration(r.Int64N(int64(limit)))
}

func (d *Driver) reportInvalid(kv store.KeyValue, err error) {
	if d.reportedInvalid == kv.Revision {
		return
	}
	d.reportedInvalid = kv.Revision
	d.report(Event{Kind: EventInvalid, Err: err})
}

func (d *Driver) report(e Event) {
	e.InForce = d.State.Head()
	d.Report(e)
}

func sleep(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
