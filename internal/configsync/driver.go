package configsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/store"
)

const (
	// startWait is how long a starting instance waits for its neighbours
	// before it reads the store.
	startWait = 2 * time.Second
	// watchTime bounds one watch. A store restored to an older copy may take
	// long to reach the watched revision again, so that the key is read after
	// each watch. 20 relays then cause 4 reads a second.
	watchTime = 5 * time.Second
	// relayPoll is how often an instance checks whether it is a relay.
	relayPoll = 250 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call of the
	// store. The maximum leaves half of the 4 s of P8 after an outage.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// forkPause is how long a relay waits before it looks at a fork again.
	forkPause = 200 * time.Millisecond
	// storeTimeout bounds one call of the store except a watch.
	storeTimeout = 2 * time.Second
)

// EventKind names what a Driver or Editor reports.
type EventKind string

// The events.
const (
	// EventInForce: a document came into force through the store.
	EventInForce EventKind = "rules-in-force"
	// EventStoreBehind: the store held an older document than this instance;
	// it was written back.
	EventStoreBehind EventKind = "rules-store-behind"
	// EventForked: the store held a document that does not descend from the
	// one in force here; one of the two was issued again with a higher
	// revision and overrules the other.
	EventForked EventKind = "rules-forked"
	// EventInvalid: the store holds a value that cannot be used.
	EventInvalid EventKind = "rules-invalid"
	// EventStoreDown and EventStoreUp: calls of the store fail, or succeed
	// again.
	EventStoreDown EventKind = "rules-store-down"
	EventStoreUp   EventKind = "rules-store-up"
	// EventHistory: the history of the rules could not be written.
	EventHistory EventKind = "rules-history-failed"
)

// Event is something an operator may want to know.
type Event struct {
	Kind EventKind
	// InForce is in force here after the event.
	InForce Head
	// Stored is what the store held before it.
	Stored Head
	Err    error
}

// Driver connects the State of one instance with the store.
type Driver struct {
	// All exported fields are needed. Rand is used by the goroutine of Run
	// only.
	State   *State
	Store   store.Store
	Relays  RelayClient
	IsRelay func() bool
	Rand    *rand.Rand
	Report  func(Event)

	failures int
	// forkSince is when the present fork was first seen, or zero.
	forkSince time.Time
	// reported keeps one invalid value of the store from being reported again.
	reported store.Revision
}

// Run works until the context ends. A relay watches the store. Any other
// instance calls the store only at the start, if no neighbour is in contact
// within startWait.
func (d *Driver) Run(ctx context.Context) {
	d.awaitNeighbours(ctx)
	for ctx.Err() == nil {
		if !d.IsRelay() && (d.State.Ready() || d.State.Contacted()) {
			d.State.setInformed(false)
			pause(ctx, relayPoll)
			continue
		}
		d.step(ctx)
	}
}

// awaitNeighbours also holds back relays: a document of the store may be older
// than what the neighbours have.
func (d *Driver) awaitNeighbours(ctx context.Context) {
	for waited := time.Duration(0); waited < startWait && !d.State.Ready() && ctx.Err() == nil; waited += relayPoll {
		pause(ctx, relayPoll)
	}
}

// step reads the store, acts on it, and waits for the next change.
func (d *Driver) step(ctx context.Context) {
	revision, err := d.pass(ctx)
	if err == nil {
		err = d.await(ctx, revision)
	}
	switch {
	case ctx.Err() != nil:
	case errors.Is(err, errForkOpen):
		pause(ctx, forkPause)
	case err != nil:
		d.backOff(ctx, err)
	case d.failures > 0:
		// Only a whole step ends a run of failures: otherwise a store on which
		// just watches fail would be called without growing pauses.
		d.failures = 0
		d.report(Event{Kind: EventStoreUp})
	}
}

// await waits until the store may have changed.
func (d *Driver) await(ctx context.Context, after store.Revision) error {
	if !d.IsRelay() {
		// Only an instance without a document and without neighbours is here.
		pause(ctx, maxBackoff)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, watchTime)
	defer cancel()
	_, err := d.Store.Watch(ctx, Key, after)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Trace(err)
}

// pass compares the store with the document in force once and repairs the one
// that is behind. It returns the store's revision of the key.
func (d *Driver) pass(ctx context.Context) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	kv, stored, err := read(ctx, d.Store)
	if errors.Is(err, ErrMalformed) {
		d.reportInvalid(kv, err)
		d.State.setInformed(true)
		return kv.Revision, nil
	}
	if err != nil {
		return 0, errors.Trace(err)
	}
	revision, err := d.reconcile(ctx, kv, stored, d.State.Document())
	if err == nil {
		d.State.setInformed(true)
	}
	return revision, err
}

func (d *Driver) reconcile(ctx context.Context, kv store.KeyValue, stored, local Document) (store.Revision, error) {
	switch stored.relate(local.Head) {
	case newer:
		v, err := d.State.Apply(stored)
		if err != nil {
			d.reportInvalid(kv, err)
		}
		if v == Applied {
			d.report(Event{Kind: EventInForce, Stored: stored.Head})
		}
		return kv.Revision, nil
	case older:
		return d.writeBack(ctx, kv, local, Event{Kind: EventStoreBehind, Stored: stored.Head})
	case forked:
		return d.resolve(ctx, kv, stored, local)
	}
	d.forkSince = time.Time{}
	if other, stale := d.State.staleFork(); stale {
		return d.writeBack(ctx, kv, local.reissue(other), Event{Kind: EventForked, Stored: stored.Head})
	}
	return kv.Revision, nil
}

// errForkOpen means that a fork waits for relays that do not answer.
const errForkOpen = errors.ConstError("fork of the rules not yet resolved")

// resolve ends a fork between the store and this relay. An accepted document
// is in force at more than half of the relays, so that the branch of a
// majority wins. Without a majority the relay asks again, and after forkGrace
// the branch of more relays wins; of as many, the store's. A relay that has
// just started has its document from any neighbour, so that its own does not
// count.
func (d *Driver) resolve(ctx context.Context, kv store.KeyValue, stored, local Document) (store.Revision, error) {
	if !d.IsRelay() {
		return kv.Revision, nil
	}
	now := d.State.now()
	if d.forkSince.IsZero() {
		d.forkSince = now
	}
	answers, asked := d.Relays.Heads(ctx)
	ours, theirs := 0, 0
	if d.State.Synced() {
		ours = 1
	}
	for _, a := range answers {
		switch {
		case a.Head.builtOn(local.Head):
			ours++
		case a.Head.builtOn(stored.Head):
			theirs++
		}
	}
	all := asked + 1
	if 2*max(ours, theirs) <= all && now.Sub(d.forkSince) < forkGrace {
		return 0, errForkOpen
	}
	winner, loser := stored, local
	if ours > theirs {
		winner, loser = local, stored
	}
	if _, err := winner.valid(); err != nil {
		winner, loser = local, stored
	}
	return d.writeBack(ctx, kv, winner.reissue(loser.Head), Event{Kind: EventForked, Stored: stored.Head})
}

// writeBack puts a document into the store and in force. If the store has
// changed meanwhile, the next pass looks at it again.
func (d *Driver) writeBack(ctx context.Context, kv store.KeyValue, doc Document, e Event) (store.Revision, error) {
	if !d.IsRelay() {
		return kv.Revision, nil
	}
	value, err := doc.Encode()
	if err != nil {
		return 0, errors.Trace(err)
	}
	res, err := d.Store.CompareAndSwap(ctx, Key, kv.Revision, value, 0)
	if err != nil || !res.Swapped {
		return kv.Revision, errors.Trace(err)
	}
	if _, err := d.State.Apply(doc); err != nil {
		return 0, errors.Trace(err)
	}
	d.report(e)
	return res.Current.Revision, nil
}

// read returns the key and the document in it. Both are zero if there is none.
func read(ctx context.Context, s store.Store) (store.KeyValue, Document, error) {
	kv, err := s.Get(ctx, Key)
	if errors.Is(err, store.ErrNotFound) {
		return store.KeyValue{Key: Key}, Document{}, nil
	}
	if err != nil {
		return store.KeyValue{}, Document{}, errors.Trace(err)
	}
	doc, err := Decode(kv.Value)
	return kv, doc, errors.Trace(err)
}

func (d *Driver) backOff(ctx context.Context, err error) {
	if d.failures == 0 {
		d.report(Event{Kind: EventStoreDown, Err: err})
	}
	pause(ctx, backoff(d.Rand, d.failures))
	d.failures++
}

// backoff returns a pause with full jitter that doubles with each failure.
func backoff(r *rand.Rand, failures int) time.Duration {
	limit := maxBackoff
	if failures < 6 {
		limit = min(limit, minBackoff<<failures)
	}
	return time.Millisecond + time.Duration(r.Int64N(int64(limit)))
}

func (d *Driver) reportInvalid(kv store.KeyValue, err error) {
	if d.reported == kv.Revision {
		return
	}
	d.reported = kv.Revision
	d.report(Event{Kind: EventInvalid, Err: err})
}

func (d *Driver) report(e Event) {
	e.InForce = d.State.Head()
	d.Report(e)
}

func pause(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
