package configsync

import (
	"context"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// at returns the document with the position.
func at(d Document, era model.Era) Document {
	d.Position = Position{Era: era, Replaced: 1}
	return d
}

// storeInEra returns a store in an era that holds the document.
func storeInEra(t *testing.T, era model.Era, d Document) *memoryStore {
	m := newMemoryStore()
	m.era = era
	m.set(t, d)
	return m
}

// Guards against an accepted edit that is lost because a relay takes a restored
// store for the newest state, or replaces it without the answers of a majority.
func TestRestoredStoreIsRecoveredByMajority(t *testing.T) {
	root, a, b, _ := branches()
	root, a, b = at(root, 1), at(a, 2), at(b, 1)
	for name, x := range map[string]struct {
		stored, local Document
		synced        bool
		heads         []RelayHead
		queried       int
		expired       bool
		want          string
	}{
		"a relay without a restart":              {root, a, true, relayHeads(root), 2, false, "a"},
		"the other relays do not respond":        {root, a, true, nil, 2, false, ""},
		"a restarted relay does not count":       {root, root, false, relayHeads(root), 2, false, ""},
		"a restarted relay hears a majority":     {root, a, false, relayHeads(root, root), 2, false, "a"},
		"a late write is overruled":              {b, a, true, relayHeads(a), 2, false, "a"},
		"a late write on the newest is kept":     {b, root, true, relayHeads(root), 2, false, "b"},
		"nobody responds, grace period over":     {root, Document{}, false, nil, 2, true, "root"},
		"nobody responds, the newer one is ours": {root, a, false, nil, 2, true, "a"},
	} {
		now := time.Unix(1e9, 0)
		s := NewState(func() time.Time { return now })
		s.Apply(x.local)
		s.setSynced(x.synced)
		m := storeInEra(t, 3, x.stored)
		d, _ := driver(s, m, always)
		d.Relays = fixedRelays{x.heads, x.queried}
		_, err := d.syncOnce(t.Context())
		if x.expired {
			now = now.Add(forkGracePeriod)
			_, err = d.syncOnce(t.Context())
		}
		stored := m.stored()
		if x.want == "" {
			if err == nil || stored.Hash != x.stored.Hash || s.Synced() != x.synced {
				t.Errorf("%s: %v, the store has edit %s", name, err, stored.EditID)
			}
			continue
		}
		if err != nil || stored.EditID != x.want || stored.Position.Era != 3 || s.Head().Hash != stored.Hash || !s.Synced() {
			t.Errorf("%s: %v, the store has edit %s of era %d", name, err, stored.EditID, stored.Position.Era)
		}
		if x.stored.EditID == "b" && x.want == "a" && stored.statusOf("b") != editOverruled {
			t.Errorf("%s: the late write is not marked as overruled", name)
		}
	}
}

// Guards against an edit that is accepted in a store that is not recovered from a
// restore, that was restored while the relays confirmed it, so that they may have lost
// it in a restart, or that relays have replaced by a document without it.
func TestConfirmInRestoredStore(t *testing.T) {
	root, a, b, c := branches()
	for name, x := range map[string]struct {
		stored  Document
		heads   []RelayHead
		at      writtenAt
		retries int
		want    Outcome
	}{
		"unchanged":             {at(b, 1), relayHeads(at(b, 1), at(c, 1)), writtenAt{1, 1}, 0, Accepted},
		"restored meanwhile":    {at(b, 1), relayHeads(at(b, 1), at(b, 1)), writtenAt{0, 1}, 0, Unknown},
		"confirmed again":       {at(b, 1), relayHeads(at(b, 1), at(b, 1)), writtenAt{0, 1}, 1, Accepted},
		"store not recovered":   {at(b, 0), relayHeads(at(b, 1), at(b, 1)), writtenAt{1, 1}, 1, Unknown},
		"relays have a newer a": {at(b, 1), relayHeads(at(a, 2), at(a, 2)), writtenAt{1, 1}, 1, Unknown},
	} {
		m := storeInEra(t, 1, x.stored)
		e := newEditors(1, m)[0]
		e.Relays = fixedRelays{x.heads, 2}
		e.delay = func(_ context.Context, failures int) error {
			if failures >= x.retries {
				return context.DeadlineExceeded
			}
			return nil
		}
		if res := e.confirm(t.Context(), Request{EditID: "b"}, root, at(b, 1), x.at); res.Outcome != x.want {
			t.Errorf("%s: %+v", name, res)
		}
	}
}

// Guards against an edit that is written to a restored store although only half of
// the relays respond, so that the others may have a newer document.
func TestEditInRestoredStoreNeedsMajority(t *testing.T) {
	root, _, _, _ := branches()
	m := storeInEra(t, 2, at(root, 1))
	editors := newEditors(4, m)
	for _, e := range editors {
		e.State.Apply(at(root, 1))
		e.State.setSynced(false)
	}
	editors[0].State.setSynced(true)
	editors[1].State.setSynced(true)
	if r := edit(t, editors[0], "x", 1, baseText+lineOf("x")); r.Outcome != Unavailable || m.stored().EditID != "root" {
		t.Errorf("got %+v", r)
	}
}

// Guards against a relay that puts a document in force as the newest, although the
// store was restored between its read and its write.
func TestRestoreDuringWriteBack(t *testing.T) {
	root, a, _, _ := branches()
	m := storeInEra(t, 2, at(root, 1))
	s := stateWith(t, at(a, 1))
	s.setSynced(true)
	d, _ := driver(s, m, always)
	d.Relays = fixedRelays{relayHeads(at(root, 1), at(root, 1)), 2}
	m.beforeSwap = func() { m.era = 3 }
	if _, err := d.syncOnce(t.Context()); err == nil || s.Head().Position.Era != 1 {
		t.Errorf("%v, position %+v", err, s.Head().Position)
	}
	if _, err := d.syncOnce(t.Context()); err != nil || m.stored().Position.Era != 3 || s.Head().Position.Era != 3 {
		t.Errorf("second synchronization: %v, position %+v", err, s.Head().Position)
	}
}

// Guards against an accepted edit that is reverted by a late message with a document
// of another branch, and against an instance that ignores the store.
func TestLateDocumentOfAnotherBranch(t *testing.T) {
	_, a, _, c := branches()
	late := at(c, 2)
	s := stateWith(t, at(a, 1))
	if v, err := s.Apply(late); v != Rejected || err != nil {
		t.Errorf("from a neighbour: %v, %v", v, err)
	}
	if v, err := s.adopt(late); v != Applied || err != nil {
		t.Errorf("from the store: %v, %v", v, err)
	}
	if v, err := s.Apply(at(a, 1)); v != Unchanged || err != nil {
		t.Errorf("the older one again: %v, %v", v, err)
	}
}

// Guards against an edit that drops the changes of another one, because the store
// gave the revision that its text is based on to a second edit after a restore.
func TestRevisionOfAnotherEditIsNoBase(t *testing.T) {
	m := newMemoryStore()
	e := newEditors(1, m)[0]
	edit(t, e, "a", 0, baseText)
	r := e.Edit(t.Context(), Request{Text: baseText + lineOf("c"), Author: "C", EditID: "c", Base: 1, BaseEditID: "b"})
	if r.Outcome != Conflict || r.Head.EditID != "a" {
		t.Errorf("got %+v", r)
	}
}

// staleRelays is a RelayClient whose relays lose their documents after they have
// reported their heads.
type staleRelays struct {
	fixedRelays
	left Document
}

func (r staleRelays) Fetch(context.Context, model.InstanceID) (Document, error) { return r.left, nil }

// Guards against an accepted edit that is lost because a relay restarts between its
// report of the newest document and the transfer of it.
func TestRelayRestartsBeforeFetch(t *testing.T) {
	root, a, _, _ := branches()
	m := storeInEra(t, 2, at(root, 1))
	s := stateWith(t, at(root, 1))
	s.setSynced(true)
	d, _ := driver(s, m, always)
	d.Relays = staleRelays{fixedRelays{relayHeads(at(a, 1)), 2}, at(root, 1)}
	if _, err := d.syncOnce(t.Context()); err == nil || m.stored().Position.Era != 1 {
		t.Errorf("%v, position %+v", err, m.stored().Position)
	}
}

// Guards against a restored position that spreads as the full text, or not at all.
func TestPositionSpreadsWithoutText(t *testing.T) {
	doc := at(documentChain(1, largeText(1000))[0], 1)
	behind, ahead := stateWith(t, doc), stateWith(t, at(doc, 2))
	news := ahead.News(behind.Digest())
	if changed, err := behind.Merge(news); !changed || err != nil || behind.Head().Position.Era != 2 || len(news) > 200 {
		t.Errorf("changed %v, %v; %d bytes of news, era %d", changed, err, len(news), behind.Head().Position.Era)
	}
	if behind.News(ahead.Digest()) != nil || ahead.News(behind.Digest()) != nil {
		t.Error("there is news between instances with the same position")
	}
}
