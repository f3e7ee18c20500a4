package configsync

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/store"
)

const (
	// historyPrefix is followed by the revision with leading zeros, so that
	// keys sort by revision.
	historyPrefix = Key + "/history/"
	// HistoryLength is how many revisions the store keeps.
	HistoryLength = 100
	// trimAtOnce is how many revisions one edit removes at most. More than
	// one, as an editor may stop before it removes any.
	trimAtOnce = 4
)

func historyKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", historyPrefix, revision)
}

// keepHistory writes an accepted document to the history and removes what is
// too old. A failure leaves a gap in the history and nothing else.
func (e *Editor) keepHistory(ctx context.Context, doc Document) {
	value, err := doc.Encode()
	if err == nil {
		// If the key exists, another attempt of the same edit has written it.
		_, err = e.Store.CompareAndSwap(ctx, historyKey(doc.Revision), store.Absent, value, 0)
	}
	for i := uint64(0); err == nil && i < trimAtOnce && doc.Revision > HistoryLength+i; i++ {
		err = e.remove(ctx, historyKey(doc.Revision-HistoryLength-i))
	}
	if err != nil {
		e.Report(Event{Kind: EventHistory, InForce: doc.Head, Err: err})
	}
}

func (e *Editor) remove(ctx context.Context, key string) error {
	kv, err := e.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err == nil {
		_, err = e.Store.CompareAndSwap(ctx, key, kv.Revision, nil, 0)
	}
	return errors.Trace(err)
}

// HistoryEntry returns an earlier document or store.ErrNotFound.
func HistoryEntry(ctx context.Context, s store.Store, revision uint64) (Document, error) {
	kv, err := s.Get(ctx, historyKey(revision))
	if err != nil {
		return Document{}, errors.Trace(err)
	}
	d, err := Decode(kv.Value)
	return d, errors.Trace(err)
}

// History returns up to limit earlier documents without their texts, the
// newest first, from the revision newest on. Each is read by itself: a listing
// would return all texts, up to 100 MB.
func History(ctx context.Context, s store.Store, newest uint64, limit int) ([]Head, error) {
	var heads []Head
	for i := uint64(0); i < HistoryLength && i < newest && len(heads) < limit; i++ {
		d, err := HistoryEntry(ctx, s, newest-i)
		if errors.Is(err, store.ErrNotFound) || errors.Is(err, ErrMalformed) {
			continue
		}
		if err != nil {
			return nil, errors.Trace(err)
		}
		heads = append(heads, d.Head)
	}
	return heads, nil
}
