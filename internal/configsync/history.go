package configsync

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/store"
)

const (
	// historyPrefix starts the keys of the history. The revision follows with
	// leading zeros, so that the keys sort by revision.
	historyPrefix = Key + "/history/"
	// HistoryLength is how many revisions the history in the store keeps.
	HistoryLength = 100
	// maxTrimPerEdit is how many old revisions one edit removes at most. It is
	// more than one because an editor may stop before it removes any.
	maxTrimPerEdit = 4
)

func historyKey(revision uint64) string {
	return fmt.Sprintf("%s%020d", historyPrefix, revision)
}

// recordHistory adds an accepted document to the history and removes revisions
// beyond HistoryLength. A failure is reported and leaves a gap in the history,
// but does not affect the edit.
func (e *Editor) recordHistory(ctx context.Context, doc Document) {
	value, err := doc.Encode()
	if err == nil {
		// If the key exists, an earlier attempt of the same edit has written it.
		_, err = e.Store.CompareAndSwap(ctx, historyKey(doc.Revision), store.Absent, value, 0)
	}
	for i := uint64(0); err == nil && i < maxTrimPerEdit && doc.Revision > HistoryLength+i; i++ {
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

// HistoryEntry returns the accepted document with the revision. The error is
// store.ErrNotFound if the history does not have it.
func HistoryEntry(ctx context.Context, s store.Store, revision uint64) (Document, error) {
	kv, err := s.Get(ctx, historyKey(revision))
	if err != nil {
		return Document{}, errors.Trace(err)
	}
	d, err := Decode(kv.Value)
	return d, errors.Trace(err)
}

// History returns the heads of up to limit accepted documents, the newest
// first, from the revision newest downwards. It reads one key at a time, because
// listing the keys would return all texts at once, up to 100 MB.
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
