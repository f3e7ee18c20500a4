package configsync

import (
	"context"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/store"
)

// errStoreRestored means that the store was restored during an operation, which
// has to start again.
const errStoreRestored = errors.ConstError("the store was restored meanwhile")

// recover makes the stored document the newest one again after a restore of the
// store. Accepted documents are in force at more than half of the relays, so the
// newest document of a majority is at least as new as each of them. A relay that
// has not synced may have lost its document in a restart and does not count. After
// forkGracePeriod without a majority, the newest known document is used.
func (d *Driver) recover(ctx context.Context, kv store.KeyValue, stored Document) (store.Revision, error) {
	if !d.IsRelay() {
		return 0, errForkUnresolved
	}
	graceOver := d.graceOver()
	heads, queried := d.Relays.Heads(ctx)
	confirmed := len(heads)
	if d.State.Synced() {
		confirmed++
	}
	majority := 2*confirmed > queried+1
	if !majority && !graceOver {
		return 0, errForkUnresolved
	}
	newest, err := newestOf(ctx, d.State.Document(), d.Relays, heads)
	if err != nil {
		return 0, errors.Trace(err)
	}
	doc, e := newest.recovered(stored, majority)
	if doc.Revision == 0 {
		return kv.Revision, nil
	}
	return d.writeBack(ctx, kv, doc, e)
}

// graceOver reports whether forkGracePeriod has passed since its first call for the
// current fork or restore.
func (d *Driver) graceOver() bool {
	now := d.State.now()
	if d.forkSince.IsZero() {
		d.forkSince = now
	}
	return now.Sub(d.forkSince) >= forkGracePeriod
}

// recovered returns the document that replaces an uncertified one, and the event to
// report. The stored document is kept if it continues d. If it is on another branch,
// it was overruled before the restore or written by a late write, and is overruled
// again. Without a majority, d may be outdated, and the newer document is kept.
func (d Document) recovered(stored Document, majority bool) (Document, Event) {
	_, err := stored.parseRules()
	newerStored := !majority && stored.relate(d.Head) == newer
	switch {
	case stored.Hash == d.Hash:
		return d, Event{}
	case err == nil && (stored.continues(d.Head) || newerStored):
		return stored, Event{Kind: EventInForce, Stored: stored.Head}
	case d.continues(stored.Head):
		return d, Event{Kind: EventStoreBehind, Stored: stored.Head}
	}
	return d.reissue(stored.Head), Event{Kind: EventForked, Stored: stored.Head}
}

// newestOf returns the newest of the local document and those of the relays. It fails
// if it cannot tell which of two is newer.
func newestOf(ctx context.Context, local Document, relays RelayClient, heads []RelayHead) (Document, error) {
	for _, h := range heads {
		r := h.Head.relate(local.Head)
		if r == forked {
			return local, errors.Annotatef(errForkUnresolved, "revision %d", h.Head.Revision)
		}
		if r != newer {
			continue
		}
		d, err := relays.Fetch(ctx, h.From)
		if err != nil {
			return local, errors.Annotatef(err, "revision %d cannot be read from %s", h.Head.Revision, h.From)
		}
		// The relay may have restarted since it reported its head.
		if r := d.relate(h.Head); r != same && r != newer {
			return local, errors.Errorf("%s no longer has revision %d", h.From, h.Head.Revision)
		}
		local = d
	}
	_, err := local.parseRules()
	if local.Revision > 0 && err != nil {
		return local, errors.Trace(err)
	}
	return local, nil
}
